/** A small fleet on stand-ins of the platform, connected by real sockets. */
import { request } from 'undici';
import { createRequestProtocol } from '../../../platform/headers.js';
import { createStorePlatform } from '../../../platform/store.js';
import {
  createRoutingInstance,
  type RoutingAddresses,
  type RoutingInstance,
} from '../../../src/daemon/routingInstance.js';
import type { RoutingLog } from '../../../src/hosts/routing/routingLog.js';
import type { RoutingSettings } from '../../../src/routing/settings.js';
import type { LogFields } from '../../../src/routing/types.js';
import {
  startBatchEngine,
  type BatchEngine,
  type BatchEngineOptions,
} from '../../../src/standins/platform/batchEngine.js';
import { startLogStore, type LogStore } from '../../../src/standins/platform/logStore.js';

export interface LoggedEvent {
  readonly event: string;
  readonly fields: LogFields;
}

export interface StartedInstance {
  readonly instance: RoutingInstance;
  readonly addresses: RoutingAddresses;
  readonly logged: LoggedEvent[];
}

export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

export const KEY = 'key-of-a';
export const HOST = 'orchard.example';

const LISTEN = { host: '127.0.0.1', port: 0 };

/** Polls until `condition` holds; throws after 2000 polls at intervals of 5 ms. */
export async function until(condition: () => boolean, what: string): Promise<void> {
  const attempts = 2_000;
  for (let i = 0; i < attempts; i += 1) {
    if (condition()) return;
    // eslint-disable-next-line no-await-in-loop -- polling
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  throw new Error(`timed out waiting until ${what}`);
}

/** Returns an operator configuration in the platform's format. */
export function createOperatorConfiguration(version: number, changes: object = {}): string {
  const route = { Host: HOST, TimeoutMs: 4_000, SloMs: 500, Priority: 1, Public: false };
  return JSON.stringify({
    Version: version,
    Routes: [
      {
        ...route,
        Name: 'draft',
        PathPrefix: '/draft/',
        Kind: 'streaming',
        Service: 'models',
        Attempts: 1,
      },
      {
        ...route,
        Name: 'chat',
        PathPrefix: '/chat/',
        Kind: 'streaming',
        Service: 'models',
        Attempts: 2,
        Resumable: true,
      },
      {
        ...route,
        Name: 'book',
        PathPrefix: '/book/',
        Kind: 'non_idempotent',
        Service: 'desk',
        Attempts: 2,
      },
      {
        ...route,
        Name: 'look',
        PathPrefix: '/look/',
        Kind: 'idempotent',
        Service: 'desk',
        Attempts: 2,
      },
    ],
    Services: [
      { Name: 'models', HealthPath: '/healthz', MaxConns: 100 },
      { Name: 'desk', HealthPath: '/healthz', MaxConns: 100 },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 65_536,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
      TokensPerS: 100_000,
    },
    Tenants: [{ Name: 'customer-a', ApiKeys: [KEY], Priority: 1 }],
    ...changes,
  });
}

export interface PlatformFleet {
  readonly store: LogStore;
  readonly listEngine: (engine: BatchEngine, pool: string, changes?: object) => void;
  /** Lists an upstream that a test has started itself, as `raw-POOL`. */
  readonly listAddress: (address: string, pool: string, changes?: object) => void;
  readonly configure: (version: number, changes?: object) => void;
  /** Starts an engine and lists it; `changes` replace fields of its entry. */
  readonly addEngine: (
    pool: string,
    options?: Partial<BatchEngineOptions>,
    changes?: object,
  ) => Promise<BatchEngine>;
  readonly addInstance: (settings?: Partial<RoutingSettings>) => Promise<StartedInstance>;
  readonly close: () => Promise<void>;
}

/** Creates a fleet; `close` closes all of its parts. */
export async function createPlatformFleet(): Promise<PlatformFleet> {
  const store: LogStore = await startLogStore();
  const engines: BatchEngine[] = [];
  const instances: StartedInstance[] = [];
  let sequence = 0;

  function listEngine(engine: BatchEngine, pool: string, changes: object = {}): void {
    listUpstream(engine.id, engine.address, pool, changes);
  }

  function listUpstream(id: string, address: string, pool: string, changes: object = {}): void {
    sequence += 1;
    const entry = {
      Service: pool,
      Address: address,
      Zone: 'domain-a',
      Version: 'v1',
      Slots: 8,
      State: 'ready',
      ColdLeftMs: 0,
      Seq: sequence,
      born: 1,
      ...changes,
    };
    store.append('keyed.servers', id, JSON.stringify(entry));
  }

  return {
    store,
    listEngine,
    listAddress: (address, pool, changes) => listUpstream(`raw-${pool}`, address, pool, changes),
    configure: (version: number, changes: object = {}) =>
      store.append('keyed.op', 'config', createOperatorConfiguration(version, changes)),
    addEngine: async (pool, options = {}, changes = {}) => {
      const id = options.id ?? `i-${engines.length + 1}`;
      const engine = await startBatchEngine({ isStream: pool === 'models', ...options, id });
      engines.push(engine);
      listEngine(engine, pool, changes);
      return engine;
    },
    addInstance: async (settings: Partial<RoutingSettings> = {}): Promise<StartedInstance> => {
      const logged: LoggedEvent[] = [];
      const log: RoutingLog = {
        write: (_level, event, fields) => logged.push({ event, fields }),
        omitted: () => 0,
        flush: async () => Promise.resolve(),
      };
      const instance = createRoutingInstance({
        id: `instance-${instances.length + 1}`,
        domain: 'domain-a',
        region: 'region-a',
        regions: new Map([['domain-a', 'region-a']]),
        callers: LISTEN,
        peers: LISTEN,
        readiness: LISTEN,
        readinessPath: '/ready',
        operators: LISTEN,
        metricsPath: '/metrics',
        protocol: createRequestProtocol(),
        platform: createStorePlatform(store.url),
        settings: { upstreamPollMs: 30, drainMs: 75, configurationWaitMs: 200, ...settings },
        log,
        seed: 1,
      });
      const addresses = await instance.start();
      const started = { instance, addresses, logged };
      instances.push(started);
      return started;
    },
    close: async () => {
      await Promise.all(instances.map(async ({ instance }) => instance.kill()));
      await Promise.all(engines.map(async (engine) => engine.close()));
      await store.close();
    },
  };
}

let nextId = 1;

/** Sends a request to an instance's caller port. */
export async function call(
  { addresses }: StartedInstance,
  path: string,
  options: {
    readonly method?: 'GET' | 'POST' | 'PUT';
    readonly key?: string | undefined;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly signal?: AbortSignal;
  } = {},
): Promise<Answer> {
  const { method = 'POST', body, headers = {}, signal } = options;
  const key = 'key' in options ? options.key : KEY;
  nextId += 1;
  const answer = await request(`http://${addresses.callers}${path}`, {
    method,
    headers: {
      host: HOST,
      'request-id': `r${nextId}`,
      'deadline-ms': '5000',
      ...(key === undefined ? {} : { authorization: `Token ${key}` }),
      ...headers,
    },
    ...(body === undefined ? {} : { body }),
    ...(signal === undefined ? {} : { signal }),
  });
  return {
    status: answer.statusCode,
    headers: answer.headers,
    text: await answer.body.text(),
  };
}

/** Adds an instance and waits until it is ready. */
export async function addReadyInstance(
  fleet: PlatformFleet,
  settings: Partial<RoutingSettings> = {},
): Promise<StartedInstance> {
  const started = await fleet.addInstance(settings);
  await until(() => started.instance.isReady(), 'the instance is ready');
  return started;
}

/** Returns whether an instance has logged an event. */
export function hasLogged({ logged }: StartedInstance, wanted: string): boolean {
  return logged.some(({ event }) => event === wanted);
}
