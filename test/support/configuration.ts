/** Creates small configurations for tests of the core. */
import type {
  ConfigurationView,
  CustomerLimits,
  PoolConfig,
  UpstreamConfig,
} from '../../src/core/types.js';

export const TEST_KEY_HASH = 'hash-1';

export interface TestViewOptions {
  readonly version?: number;
  readonly customers?: number;
  readonly upstreams?: readonly Partial<UpstreamConfig>[];
  readonly pool?: Partial<PoolConfig>;
  readonly weights?: ReadonlyMap<number, number>;
  readonly limits?: Partial<CustomerLimits>;
}

const DEFAULT_POOL: PoolConfig = {
  id: 'chat',
  number: 1,
  kind: 'model',
  cost: { perPromptToken: 1, perOutputToken: 2, perSlotMs: 0 },
  crossRegion: true,
  crossRegionPriceMs: 100,
  suspendShare: 0.25,
  idempotentByDefault: true,
};

const DEFAULT_UPSTREAM: UpstreamConfig = {
  id: 'e1',
  pool: 'chat',
  url: 'http://127.0.0.1:9',
  domain: 'd1',
  region: 'r1',
  slots: 2,
  checksOrders: true,
  reportsLoad: true,
};

const DEFAULT_LIMITS: CustomerLimits = {
  waitingRequests: 1_000,
  waitingBytes: 1e9,
  concurrency: 1_000,
  rate: 1e6,
};

/** Creates a view with one pool. Customers are numbered from 1; customer n has the key hash `hash-n`. */
export function createTestView(options: TestViewOptions = {}): ConfigurationView {
  const pool = { ...DEFAULT_POOL, ...options.pool };
  const upstreams = (options.upstreams ?? [{}]).map((upstream) => ({
    ...DEFAULT_UPSTREAM,
    ...upstream,
  }));
  const customerNumbers = Array.from({ length: options.customers ?? 2 }, (_, i) => i + 1);
  const limits = { ...DEFAULT_LIMITS, ...options.limits };
  return {
    version: options.version ?? 1,
    customers: new Map(
      customerNumbers.map((number) => [
        number,
        { id: `c${number}`, number, keyHashes: [`hash-${number}`], limits },
      ]),
    ),
    customersByKey: new Map(customerNumbers.map((number) => [`hash-${number}`, number])),
    customersById: new Map(customerNumbers.map((number) => [`c${number}`, number])),
    pools: new Map([[pool.id, pool]]),
    poolsByNumber: new Map([[pool.number, pool]]),
    upstreams: new Map(upstreams.map((upstream) => [upstream.id, upstream])),
    upstreamsByPool: new Map([[pool.id, upstreams]]),
    routes: [],
    plannedStops: new Map(),
    fairness: { scope: 'pool', debtCap: 1e6, chargeStep: 100 },
    placement: [],
    weightOf: (customer) => options.weights?.get(customer) ?? 1,
  };
}
