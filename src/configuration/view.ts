/**
 * Builds the indexed view that the core uses from a parsed document. Maps of unchanged sections are
 * reused, so that a small edit is cheap; the others are built incrementally.
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

/** Cost of indexing one entry, relative to parsing one. */
const ENTRY_INDEX_COST = 0.02;
const ENTRIES_PER_STEP = 256;

/** Numbers assigned to customers and pools. A number is never reused. */
export interface NumberAssignments {
  readonly customers: ReadonlyMap<CustomerId, CustomerNumber>;
  readonly nextCustomer: number;
  readonly pools: ReadonlyMap<PoolId, PoolNumber>;
  readonly nextPool: number;
}

export const NO_ASSIGNMENTS: NumberAssignments = {
  customers: new Map(),
  nextCustomer: 1,
  pools: new Map(),
  nextPool: 1,
};

/** A view and the inputs from which it was built. */
export interface BuiltView {
  readonly view: ConfigurationView;
  readonly document: ConfigurationDocument;
  readonly numbers: NumberAssignments;
}

/** Assigns numbers to new customers and pools and drops the numbers of removed ones. */
export function assignNumbers(
  document: ConfigurationDocument,
  previous: NumberAssignments,
): NumberAssignments {
  const customers = assignStableNumbers(
    document.customers,
    previous.customers,
    previous.nextCustomer,
  );
  const pools = assignStableNumbers(document.pools, previous.pools, previous.nextPool);
  return {
    customers: customers.numbers,
    nextCustomer: customers.next,
    pools: pools.numbers,
    nextPool: pools.next,
  };
}

function assignStableNumbers(
  entries: ReadonlyMap<string, Entry>,
  previous: ReadonlyMap<string, number>,
  nextFree: number,
) {
  const isUnchanged =
    entries.size === previous.size && [...entries.keys()].every((key) => previous.has(key));
  if (isUnchanged) return { numbers: previous, next: nextFree };
  let next = nextFree;
  const numbers = new Map<string, number>();
  // Sorted, so that the assignment does not depend on the order of entries in the source.
  for (const key of [...entries.keys()].sort()) {
    const known = previous.get(key);
    numbers.set(key, known ?? next);
    if (known === undefined) next += 1;
  }
  return { numbers, next };
}

/** Builds a view. */
export function createView(
  document: ConfigurationDocument,
  numbers: NumberAssignments,
  version: number,
): ConfigurationView {
  return runSteps(createViewSteps(document, numbers, version)).view;
}

/** Builds a view incrementally, reusing the parts of `previous` whose sections are unchanged. */
export function* createViewSteps(
  document: ConfigurationDocument,
  numbers: NumberAssignments,
  version: number,
  previous?: BuiltView,
): Steps<BuiltView> {
  const customers = yield* indexCustomers(document, numbers, previous);
  const pools = indexPools(document, numbers);
  const upstreams = yield* indexUpstreams(document, previous);
  const weightOf = yield* indexWeights(document, numbers, previous);
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
  numbers: NumberAssignments,
  previous: BuiltView | undefined,
): Steps<Pick<ConfigurationView, 'customers' | 'customersByKey' | 'customersById'>> {
  if (
    previous?.document.customers === document.customers &&
    previous.document.limits === document.limits &&
    previous.numbers.customers === numbers.customers
  ) {
    const { customers, customersByKey, customersById } = previous.view;
    return { customers, customersByKey, customersById };
  }
  const defaults = defaultLimitsOf(document);
  const customers = new Map<CustomerNumber, CustomerConfig>();
  const customersByKey = new Map<KeyHash, CustomerNumber>();
  let processed = 0;
  for (const [id, { value }] of document.customers) {
    const number = numbers.customers.get(id);
    if (number !== undefined) {
      const limits = { ...defaults, ...value.limits };
      customers.set(number, { id, number, keyHashes: value.keyHashes, limits });
      value.keyHashes.forEach((hash) => customersByKey.set(hash, number));
    }
    processed += 1;
    if (processed % ENTRIES_PER_STEP === 0) yield ENTRIES_PER_STEP * ENTRY_INDEX_COST;
  }
  return { customers, customersByKey, customersById: numbers.customers };
}

function defaultLimitsOf(document: ConfigurationDocument): CustomerLimits {
  return {
    waitingRequests: limitOf(document, 'waitingRequests'),
    waitingBytes: limitOf(document, 'waitingBytes'),
    concurrency: limitOf(document, 'concurrency'),
    rate: limitOf(document, 'rate'),
  };
}

function limitOf(document: ConfigurationDocument, key: keyof CustomerLimits): number {
  return document.limits.get(key)?.value ?? FIELD_DEFAULTS[key];
}

/** Returns the maximum number of concurrent model loads in the fleet. */
export function concurrentLoadsOf(document: ConfigurationDocument): number {
  return document.limits.get('concurrentLoads')?.value ?? FIELD_DEFAULTS.concurrentLoads;
}

function indexPools(
  document: ConfigurationDocument,
  numbers: NumberAssignments,
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
  previous: BuiltView | undefined,
): Steps<Pick<ConfigurationView, 'upstreams' | 'upstreamsByPool'>> {
  if (
    previous?.document.upstreams === document.upstreams &&
    previous.document.pools === document.pools
  ) {
    const { upstreams, upstreamsByPool } = previous.view;
    return { upstreams, upstreamsByPool };
  }
  const upstreams = new Map<UpstreamId, UpstreamConfig>();
  const byPool = new Map<PoolId, UpstreamConfig[]>();
  for (const pool of document.pools.keys()) byPool.set(pool, []);
  let processed = 0;
  for (const [id, { value }] of document.upstreams) {
    const known = previous?.document.upstreams.get(id);
    const reused = known?.value === value ? previous?.view.upstreams.get(id) : undefined;
    const upstream: UpstreamConfig = reused ?? { id, ...value };
    upstreams.set(id, upstream);
    byPool.get(upstream.pool)?.push(upstream);
    processed += 1;
    if (processed % ENTRIES_PER_STEP === 0) yield ENTRIES_PER_STEP * ENTRY_INDEX_COST;
  }
  return { upstreams, upstreamsByPool: byPool };
}

function* indexWeights(
  document: ConfigurationDocument,
  numbers: NumberAssignments,
  previous: BuiltView | undefined,
): Steps<ConfigurationView['weightOf']> {
  if (
    previous?.document.entitlements === document.entitlements &&
    previous.numbers.customers === numbers.customers
  ) {
    return previous.view.weightOf;
  }
  const weights = new Map<CustomerNumber, Readonly<Record<PoolId, number>>>();
  let processed = 0;
  for (const [id, { value }] of document.entitlements) {
    const number = numbers.customers.get(id);
    if (number !== undefined) weights.set(number, value);
    processed += 1;
    if (processed % ENTRIES_PER_STEP === 0) yield ENTRIES_PER_STEP * ENTRY_INDEX_COST;
  }
  return (customer, pool) => weights.get(customer)?.[pool] ?? 1;
}

/** Lists routes with the longest prefix first, so that the first match is the most specific. */
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
