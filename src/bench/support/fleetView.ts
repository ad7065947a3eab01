/** Builds configuration views of a given size for benchmarks, without parsing a document. */
import type {
  ConfigurationView,
  CustomerConfig,
  PoolConfig,
  UpstreamConfig,
} from '../../core/types.js';

export interface FleetViewOptions {
  readonly version?: number;
  readonly customers: number;
  readonly upstreams: number;
  readonly pools?: number;
  readonly domains?: number;
  readonly regions?: number;
  readonly slots?: number;
}

const UNLIMITED = { waitingRequests: 1e9, waitingBytes: 1e15, concurrency: 1e9, rate: 1e9 };

/** Customer n (from 1) has the key hash `hash-n`. Upstream i is in domain `d<i mod domains>`. */
export function createFleetView(options: FleetViewOptions): ConfigurationView {
  const pools = range(options.pools ?? 1).map(createPool);
  const customers = range(options.customers).map(createCustomer);
  const upstreams = range(options.upstreams).map((i) => createUpstream(i, pools, options));
  return {
    version: options.version ?? 1,
    customers: new Map(customers.map((customer) => [customer.number, customer])),
    customersByKey: new Map(customers.map(({ number }) => [`hash-${number}`, number])),
    customersById: new Map(customers.map(({ id, number }) => [id, number])),
    pools: new Map(pools.map((pool) => [pool.id, pool])),
    poolsByNumber: new Map(pools.map((pool) => [pool.number, pool])),
    upstreams: new Map(upstreams.map((upstream) => [upstream.id, upstream])),
    upstreamsByPool: new Map(
      pools.map(({ id }) => [id, upstreams.filter((upstream) => upstream.pool === id)]),
    ),
    routes: [],
    plannedStops: new Map(),
    fairness: { scope: 'pool', debtCap: 1e6, chargeStep: 100 },
    placement: [],
    weightOf: () => 1,
  };
}

/** Returns the name of a failure domain. */
export function domainName(index: number): string {
  return `d${index}`;
}

/** Returns the name of the region that contains a failure domain. */
export function regionName(domain: number, regions: number): string {
  return `r${domain % regions}`;
}

function createPool(index: number): PoolConfig {
  return {
    id: `pool${index}`,
    number: index + 1,
    kind: 'model',
    cost: { perPromptToken: 1, perOutputToken: 2, perSlotMs: 0 },
    crossRegion: true,
    crossRegionPriceMs: 100,
    suspendShare: 0.25,
    idempotentByDefault: true,
  };
}

function createCustomer(index: number): CustomerConfig {
  const number = index + 1;
  return { id: `customer${number}`, number, keyHashes: [`hash-${number}`], limits: UNLIMITED };
}

function createUpstream(
  index: number,
  pools: readonly PoolConfig[],
  options: FleetViewOptions,
): UpstreamConfig {
  const domain = index % (options.domains ?? 1);
  return {
    id: `engine${index}`,
    pool: pools[index % pools.length]?.id ?? '',
    url: 'http://127.0.0.1:9',
    domain: domainName(domain),
    region: regionName(domain, options.regions ?? 1),
    slots: options.slots ?? 8,
    checksOrders: true,
    reportsLoad: true,
  };
}

function range(length: number): readonly number[] {
  return Array.from({ length }, (_, i) => i);
}
