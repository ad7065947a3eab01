/** A routing core for tests, without hosts: takes events and returns their effects. */
import { createRouting, type Routing } from '../../../src/routing/routing.js';
import type { RoutingSettings } from '../../../src/routing/settings.js';
import type {
  AttemptPlan,
  ListedUpstream,
  LocalAnswer,
  Route,
  RoutingConfiguration,
  RoutingEffect,
  RoutingEvent,
  RequestFacts,
} from '../../../src/routing/types.js';

export const HOST = 'orchard.example';
export const KEY = 'key-of-a';

export const MODEL_ROUTE: Route = {
  name: 'draft',
  host: HOST,
  pathPrefix: '/draft/',
  mode: 'stream',
  targets: [{ pool: 'models', weight: 1 }],
  maxUpstreams: 2,
  timeoutMs: 10_000,
  objectiveMs: 500,
  isPublic: false,
};

export const CHAT_ROUTE: Route = {
  ...MODEL_ROUTE,
  name: 'chat',
  pathPrefix: '/chat/',
  mode: 'resumableStream',
};

export const BOOK_ROUTE: Route = {
  ...MODEL_ROUTE,
  name: 'book',
  pathPrefix: '/book/',
  mode: 'nonIdempotent',
  targets: [{ pool: 'desk', weight: 1 }],
};

export const LOOK_ROUTE: Route = {
  ...BOOK_ROUTE,
  name: 'look',
  pathPrefix: '/look/',
  mode: 'idempotent',
};

export function createConfiguration(
  changes: Partial<RoutingConfiguration> = {},
): RoutingConfiguration {
  return {
    version: 1,
    routes: [MODEL_ROUTE, CHAT_ROUTE, BOOK_ROUTE, LOOK_ROUTE],
    pools: new Map([
      ['models', { id: 'models', maxConnections: 200 }],
      ['desk', { id: 'desk', maxConnections: 200 }],
    ]),
    hasCustomers: true,
    customersByKey: new Map([
      [KEY, 'customer-a'],
      ['key-of-b', 'customer-b'],
    ]),
    callerLimits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    ...changes,
  };
}

export function createUpstreamEntry(
  id: string,
  changes: Partial<ListedUpstream> = {},
): ListedUpstream {
  return {
    id,
    pool: 'models',
    address: `10.0.0.1:${1_000 + Number(id.replace(/\D/g, '') || 0)}`,
    domain: 'domain-a',
    slots: 32,
    version: 'v1',
    phase: 'ready',
    startedAt: 1,
    beat: 1,
    ...changes,
  };
}

/** Creates twelve model upstreams, in addition to the two that a test core starts with. */
export function createManyUpstreams(): readonly ListedUpstream[] {
  return Array.from({ length: 12 }, (_, i) => createUpstreamEntry(`i-${i + 10}`));
}

/** Facts of a request whose prompt has a long shared part and a part of its own. */
export function sharedFacts(
  shared: string,
  own: string,
): Pick<RequestFacts, 'promptTokens' | 'prefix'> {
  return {
    promptTokens: 6_500,
    prefix: [
      { id: 'c0', tokens: 500 },
      { id: shared, tokens: 5_000 },
      { id: own, tokens: 1_000 },
    ],
  };
}

type EffectOf<K extends RoutingEffect['kind']> = Extract<RoutingEffect, { readonly kind: K }>;

export interface TestCore {
  readonly routing: Routing;
  readonly now: () => number;
  readonly advance: (ms: number) => void;
  /** Passes an event to the core and returns its effects. */
  readonly dispatch: (event: RoutingEvent) => readonly RoutingEffect[];
  readonly configure: (configuration?: RoutingConfiguration) => readonly RoutingEffect[];
  readonly list: (...upstreams: readonly ListedUpstream[]) => readonly RoutingEffect[];
  /** Has a request arrive and returns the effects. */
  readonly arrive: (facts?: Partial<RequestFacts>) => readonly RoutingEffect[];
  readonly nextRequest: () => number;
}

/** Facts of a request with the given properties. */
export function createFacts(request: number, facts: Partial<RequestFacts> = {}): RequestFacts {
  return {
    request,
    requestId: `r${request}`,
    host: HOST,
    path: '/draft/1',
    key: KEY,
    promptTokens: 1_000,
    outputTokens: 50,
    prefix: [],
    model: 'm',
    fingerprint: request,
    ...facts,
  };
}

/** Creates a core with a configuration and two upstreams in each pool. */
export function createTestCore(settings: Partial<RoutingSettings> = {}): TestCore {
  let now = 1_000_000;
  let cursor = 1;
  let request = 0;
  const routing = createRouting({
    self: {
      id: 'instance-1',
      incarnation: 1,
      address: '10.0.0.9:7400',
      domain: 'domain-a',
      region: 'region-a',
    },
    regions: new Map([
      ['domain-a', 'region-a'],
      ['domain-b', 'region-b'],
    ]),
    settings,
    seed: 1,
  });
  const dispatch = (event: RoutingEvent) => routing.reduce(event, now);
  const core: TestCore = {
    routing,
    now: () => now,
    advance: (ms) => {
      now += ms;
    },
    dispatch,
    configure: (configuration = createConfiguration()) => {
      cursor += 1;
      return dispatch({
        kind: 'configurationPolled',
        askedAt: now,
        isWhole: false,
        outcome: { kind: 'answered', cursor, changes: [{ kind: 'configured', configuration }] },
      });
    },
    list: (...upstreams) => {
      cursor += 1;
      const changes = upstreams.map((upstream) => ({ kind: 'listed', upstream }) as const);
      const outcome = { kind: 'answered', cursor, changes } as const;
      return dispatch({ kind: 'upstreamsPolled', askedAt: now, isWhole: false, outcome });
    },
    arrive: (facts = {}) => {
      request += 1;
      return dispatch({ kind: 'requestArrived', facts: createFacts(request, facts) });
    },
    nextRequest: () => request,
  };
  core.configure();
  core.list(
    createUpstreamEntry('i-1'),
    createUpstreamEntry('i-2'),
    createUpstreamEntry('i-3', { pool: 'desk' }),
    createUpstreamEntry('i-4', { pool: 'desk' }),
  );
  return core;
}

/** Returns the effects of one kind. */
export function effectsOf<K extends RoutingEffect['kind']>(
  effects: readonly RoutingEffect[],
  kind: K,
): readonly EffectOf<K>[] {
  return effects.filter((effect): effect is EffectOf<K> => effect.kind === kind);
}

/** Returns the plan of the first attempt that was sent. */
export function planOf(effects: readonly RoutingEffect[]): AttemptPlan {
  const [send] = effectsOf(effects, 'send');
  if (send === undefined) throw new Error('no attempt was sent');
  return send.plan;
}

/** Returns the answer that the instance generated itself, if there is one. */
export function answerOf(effects: readonly RoutingEffect[]): LocalAnswer | undefined {
  return effectsOf(effects, 'answer')[0]?.answer;
}
