/**
 * Builds the view that the core works with from a parsed document. A section that has not changed
 * keeps its maps, so a small edit costs little; the rest is built in pieces.
 */
import { FIELD_DEFAULTS } from './schema.js';
import { runSteps, type ConfigurationDocument, type Entry, type Steps } from './types.js';
import type {
  ConfigurationView,
  CustomerConfig,
  CustomerId,
  CustomerLimits,
  CustomerNumber,
  FairnessConfig,
  KeyHash,
  PlacementConfig,
  PoolConfig,
  PoolId,
  PoolNumber,
  RouteConfig,
  UpstreamConfig,
  UpstreamId,
} from '../core/types.js';

/** Work of indexing one entry, in units of parsing one. */
const ENTRY_INDEX_WORK = 0.02;
const ENTRIES_PER_STEP = 256;

/** Numbers given to customers and pools; a number is given once and never again. */
export interface Numbers {
  readonly customers: ReadonlyMap<CustomerId, CustomerNumber>;
  readonly nextCustomer: number;
  readonly pools: ReadonlyMap<PoolId, PoolNumber>;
  readonly nextPool: number;
}

export const NO_NUMBERS: Numbers = {
  customers: new Map(),
  nextCustomer: 1,
  pools: new Map(),
  nextPool: 1,
};

/** A view together with what it was built from. */
export interface BuiltView {
  readonly view: ConfigurationView;
  readonly document: ConfigurationDocument;
  readonly numbers: Numbers;
}

/** Gives numbers to new customers and pools and forgets those of removed ones. */
export function assignNumbers(document: ConfigurationDocument, earlier: Numbers): Numbers {
  const customers = assign(document.customers, earlier.customers, earlier.nextCustomer);
  const pools = assign(document.pools, earlier.pools, earlier.nextPool);
  return {
    customers: customers.numbers,
    nextCustomer: customers.next,
    pools: pools.numbers,
    nextPool: pools.next,
  };
}

function assign(
  entries: ReadonlyMap<string, Entry>,
  earlier: ReadonlyMap<string, number>,
  firstFree: number,
) {
  const isUnchanged =
    entries.size === earlier.size && [...entries.keys()].every((key) => earlier.has(key));
  if (isUnchanged) return { numbers: earlier, next: firstFree };
  let next = firstFree;
  const numbers = new Map<string, number>();
  // In the order of names, so that the order of entries in the source has no influence.
  for (const key of [...entries.keys()].sort()) {
    const known = earlier.get(key);
    numbers.set(key, known ?? next);
    if (known === undefined) next += 1;
  }
  return { numbers, next };
}

/** Builds a view at once. */
export function createView(
  document: ConfigurationDocument,
  numbers: Numbers,
  version: number,
): ConfigurationView {
  return runSteps(createViewSteps(document, numbers, version)).view;
}

/** Builds a view in pieces, reusing the parts of `earlier` whose sections are the same. */
export function* createViewSteps(
  document: ConfigurationDocument,
  numbers: Numbers,
  version: number,
  earlier?: BuiltView,
): Steps<BuiltView> {
  const customers = yield* indexCustomers(document, numbers, earlier);
  const pools = indexPools(document, numbers);
  const upstreams = yield* indexUpstreams(document, earlier);
  const weightOf = yield* indexWeights(document, numbers, earlier);
  const view: ConfigurationView = {
    version,
    ...customers,
    ...pools,
    ...upstreams,
    routes: routesOf(document),
    plannedStops: new Map(
      [...document.plannedStops].map(([upstream, { value }]) => [upstream, { upstream, ...value }]),
    ),
    fairness: fairnessOf(document),
    placement: placementOf(document),
    concurrentLoads: concurrentLoadsOf(document),
    weightOf,
  };
  return { view, document, numbers };
}

function* indexCustomers(
  document: ConfigurationDocument,
  numbers: Numbers,
  earlier: BuiltView | undefined,
): Steps<Pick<ConfigurationView, 'customers' | 'customersByKey' | 'customersById'>> {
  if (
    earlier?.document.customers === document.customers &&
    earlier.document.limits === document.limits &&
    earlier.numbers.customers === numbers.customers
  ) {
    const { customers, customersByKey, customersById } = earlier.view;
    return { customers, customersByKey, customersById };
  }
  const defaults = defaultLimitsOf(document);
  const customers = new Map<CustomerNumber, CustomerConfig>();
  const customersByKey = new Map<KeyHash, CustomerNumber>();
  let pending = 0;
  for (const [id, { value }] of document.customers) {
    const number = numbers.customers.get(id);
    if (number !== undefined) {
      const limits = { ...defaults, ...value.limits };
      customers.set(number, { id, number, keyHashes: value.keyHashes, limits });
      value.keyHashes.forEach((hash) => customersByKey.set(hash, number));
    }
    pending += 1;
    if (pending % ENTRIES_PER_STEP === 0) yield ENTRIES_PER_STEP * ENTRY_INDEX_WORK;
  }
  return { customers, customersByKey, customersById: numbers.customers };
}

function defaultLimitsOf(document: ConfigurationDocument): CustomerLimits {
  return {
    waitingRequests: numberOf(document, 'waitingRequests'),
    waitingBytes: numberOf(document, 'waitingBytes'),
    concurrency: numberOf(document, 'concurrency'),
    rate: numberOf(document, 'rate'),
  };
}

function numberOf(document: ConfigurationDocument, key: keyof CustomerLimits): number {
  return document.limits.get(key)?.value ?? FIELD_DEFAULTS[key];
}

/** Model loads that may be under way at a time in the whole fleet. */
export function concurrentLoadsOf(document: ConfigurationDocument): number {
  return document.limits.get('concurrentLoads')?.value ?? FIELD_DEFAULTS.concurrentLoads;
}

function indexPools(
  document: ConfigurationDocument,
  numbers: Numbers,
): Pick<ConfigurationView, 'pools' | 'poolsByNumber'> {
  const pools = new Map<PoolId, PoolConfig>();
  const poolsByNumber = new Map<PoolNumber, PoolConfig>();
  for (const [id, { value }] of document.pools) {
    const pool: PoolConfig = { id, number: numbers.pools.get(id) ?? 0, ...value };
    pools.set(id, pool);
    poolsByNumber.set(pool.number, pool);
  }
  return { pools, poolsByNumber };
}

function* indexUpstreams(
  document: ConfigurationDocument,
  earlier: BuiltView | undefined,
): Steps<Pick<ConfigurationView, 'upstreams' | 'upstreamsByPool'>> {
  if (
    earlier?.document.upstreams === document.upstreams &&
    earlier.document.pools === document.pools
  ) {
    const { upstreams, upstreamsByPool } = earlier.view;
    return { upstreams, upstreamsByPool };
  }
  const upstreams = new Map<UpstreamId, UpstreamConfig>();
  const byPool = new Map<PoolId, UpstreamConfig[]>();
  for (const pool of document.pools.keys()) byPool.set(pool, []);
  let pending = 0;
  for (const [id, { value }] of document.upstreams) {
    const known = earlier?.document.upstreams.get(id);
    const reused = known?.value === value ? earlier?.view.upstreams.get(id) : undefined;
    const upstream: UpstreamConfig = reused ?? { id, ...value };
    upstreams.set(id, upstream);
    byPool.get(upstream.pool)?.push(upstream);
    pending += 1;
    if (pending % ENTRIES_PER_STEP === 0) yield ENTRIES_PER_STEP * ENTRY_INDEX_WORK;
  }
  return { upstreams, upstreamsByPool: byPool };
}

function* indexWeights(
  document: ConfigurationDocument,
  numbers: Numbers,
  earlier: BuiltView | undefined,
): Steps<ConfigurationView['weightOf']> {
  if (
    earlier?.document.entitlements === document.entitlements &&
    earlier.numbers.customers === numbers.customers
  ) {
    return earlier.view.weightOf;
  }
  const weights = new Map<CustomerNumber, Readonly<Record<PoolId, number>>>();
  let pending = 0;
  for (const [id, { value }] of document.entitlements) {
    const number = numbers.customers.get(id);
    if (number !== undefined) weights.set(number, value);
    pending += 1;
    if (pending % ENTRIES_PER_STEP === 0) yield ENTRIES_PER_STEP * ENTRY_INDEX_WORK;
  }
  return (customer, pool) => weights.get(customer)?.[pool] ?? 1;
}

/** Longest prefixes first, so that the first match decides. */
function routesOf(document: ConfigurationDocument): readonly RouteConfig[] {
  const routes = [...document.routes].flatMap(([pool, { value }]) =>
    value.map((route) => ({ pool, ...route })),
  );
  return routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
}

function fairnessOf(document: ConfigurationDocument): FairnessConfig {
  const { fairness } = document;
  return {
    scope: fairness.get('scope')?.value === 'fleet' ? 'fleet' : 'pool',
    debtCap: Number(fairness.get('debtCap')?.value ?? FIELD_DEFAULTS.debtCap),
    chargeStep: Number(fairness.get('chargeStep')?.value ?? FIELD_DEFAULTS.chargeStep),
  };
}

function placementOf(document: ConfigurationDocument): readonly PlacementConfig[] {
  return [...document.placement].map(([pool, { value }]) => ({ pool, ...value }));
}
