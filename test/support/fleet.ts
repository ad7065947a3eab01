/** Starts an in-process fleet: engines, a service, a platform and the instances that route to them. */
import { createHash } from 'node:crypto';
import { createInstance, type Instance, type InstanceOptions } from '../../src/daemon/instance.js';
import type { ConfigurationView, UpstreamConfig } from '../../src/core/types.js';
import {
  createEngineStandin,
  createPlatformStandin,
  createServiceStandin,
  type EngineOptions,
  type EngineStandin,
  type PlatformStandin,
  type ServiceStandin,
} from '../../src/standins/index.js';
import { createTestView } from './configuration.js';

export const TEST_KEY = 'key-1';

export interface TestFleetOptions {
  readonly instances?: number;
  readonly engines?: readonly EngineOptions[];
  readonly instance?: Partial<InstanceOptions>;
  /** Maximum number of waiting requests per customer across the fleet. */
  readonly waitingRequests?: number;
}

export interface TestFleet {
  readonly engines: readonly EngineStandin[];
  readonly service: ServiceStandin;
  readonly platform: PlatformStandin;
  readonly instances: readonly Instance[];
  /** Base URLs of the callers' ports. */
  readonly urls: readonly string[];
  readonly operatorUrls: readonly string[];
  readonly close: () => Promise<void>;
}

const LOCATION = { domain: 'd1', region: 'r1' };

export const keyHashOf = (key: string): string => createHash('sha256').update(key).digest('hex');

/** Creates the view of the fleet; customer n has the key `key-n`. */
function createFleetView(
  engines: readonly EngineStandin[],
  service: ServiceStandin,
  waitingRequests?: number,
): ConfigurationView {
  const upstreams: UpstreamConfig[] = engines.map(({ url }, i) => ({
    ...LOCATION,
    id: `e${i + 1}`,
    pool: 'chat',
    url,
    slots: 8,
    checksOrders: true,
    reportsLoad: true,
  }));
  const view = createTestView({
    upstreams,
    ...(waitingRequests === undefined ? {} : { limits: { waitingRequests } }),
  });
  const chat = view.pools.get('chat');
  if (chat === undefined) throw new Error('The test view does not contain the pool "chat".');
  const app = {
    ...chat,
    id: 'app',
    number: 2,
    kind: 'service',
    idempotentByDefault: false,
  } as const;
  const appUpstream: UpstreamConfig = {
    ...LOCATION,
    id: 's1',
    pool: 'app',
    url: service.url,
    slots: 16,
    checksOrders: false,
    reportsLoad: false,
  };
  const customerNumbers = [...view.customers.keys()];
  return {
    ...view,
    customersByKey: new Map(customerNumbers.map((number) => [keyHashOf(`key-${number}`), number])),
    pools: new Map([...view.pools, [app.id, app]]),
    poolsByNumber: new Map([...view.poolsByNumber, [app.number, app]]),
    upstreams: new Map([...view.upstreams, [appUpstream.id, appUpstream]]),
    upstreamsByPool: new Map([...view.upstreamsByPool, [app.id, [appUpstream]]]),
  };
}

export async function startTestFleet(options: TestFleetOptions = {}): Promise<TestFleet> {
  const engines = await Promise.all((options.engines ?? [{}]).map(createEngineStandin));
  const service = await createServiceStandin();
  const platform = await createPlatformStandin();
  const view = createFleetView(engines, service, options.waitingRequests);
  const instances = Array.from({ length: options.instances ?? 1 }, (_, i) =>
    createInstance({
      id: `i${i + 1}`,
      ...LOCATION,
      platformUrl: platform.url,
      log: { threshold: 'error' },
      initialConfiguration: view,
      seed: i + 1,
      ...options.instance,
    }),
  );
  const addresses = await Promise.all(instances.map(async (instance) => instance.start()));
  platform.setInstances(
    addresses.map(({ peers }, i) => ({
      ...LOCATION,
      id: `i${i + 1}`,
      address: peers,
      state: 'live',
    })),
  );
  return {
    engines,
    service,
    platform,
    instances,
    urls: addresses.map(({ callers }) => `http://${callers}`),
    operatorUrls: addresses.map(({ operators }) => `http://${operators}`),
    close: async () => {
      await Promise.all(instances.map(async (instance) => instance.kill()));
      await Promise.all([...engines, service, platform].map(async ({ stop }) => stop()));
    },
  };
}

export interface CompletionOptions {
  readonly tokens?: number;
  readonly stream?: boolean;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}

/** Sends a completion request with `question` as its only message. */
export async function sendCompletion(
  url: string,
  question: string,
  options: CompletionOptions = {},
): Promise<Response> {
  return fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${TEST_KEY}`, ...options.headers },
    signal: options.signal ?? null,
    body: JSON.stringify({
      model: 'chat',
      stream: options.stream ?? true,
      max_tokens: options.tokens ?? 5,
      messages: [{ role: 'user', content: question }],
    }),
  });
}

/** Returns the text of a streamed response; throws if the final `[DONE]` event is missing. */
export function parseStreamText(answer: string): string {
  const events = answer.split('\n\n').filter((event) => event !== '');
  if (events.at(-1) !== 'data: [DONE]')
    throw new Error(`The stream has no final [DONE] event: ${answer}`);
  return events
    .slice(0, -1)
    .map((event) => JSON.parse(event.slice('data: '.length)) as StreamChunk)
    .map(({ choices }) => choices[0]?.delta.content ?? '')
    .join('');
}

interface StreamChunk {
  readonly choices: readonly { readonly delta: { readonly content?: string } }[];
}
