/**
 * Assigns each free slot of an owned upstream to the waiting customer with the least virtual
 * service. Among the upstreams with free slots, it selects the one that caches the longest prefix
 * of the customer's next request, unless another is less loaded by more than the configured margin.
 */
import { sendToInstance, type CoreContext } from '../context.js';
import type { Millis } from '../clock.js';
import { acceptsNewRequests } from '../drain/upstreams.js';
import { isOutdated } from '../orders/outdated.js';
import { ownedUpstreams } from '../ownership/ownership.js';
import { exchangeInterval } from '../shares/exchangeInterval.js';
import { leastServed, reserve } from '../shares/shares.js';
import type { CoreState } from '../state.js';
import type {
  CustomerNumber,
  InstanceId,
  PoolConfig,
  PoolId,
  UpstreamConfig,
  UpstreamId,
} from '../types.js';
import { cachedBlocks } from './cache.js';
import { decrementWaiting } from './demand.js';
import type { IssuedGrant, PoolDemand, WaitingCount } from './dispatchState.js';
import { setAnnounceTimer } from './queues.js';
import {
  endReservation,
  resetLoadReports,
  slotsUsedByOthers,
  freeSlots,
  slotsOf,
} from './slots.js';
import { requestSuspension, resumeNextSuspended } from './suspension.js';

/** Number of exchanges after which the service sums include the service under a new grant. */
const RESERVATION_EXCHANGES = 3;

/** Maximum consecutive grants to local requests while other instances have waiting work. */
const MAX_LOCAL_STREAK = 4;

/** Number of announce intervals for which work is not granted an upstream that it has returned. */
const RETURNED_BACKOFF_INTERVALS = 5;

export function ownedUpstreamsInPool(state: CoreState, pool: PoolId): readonly UpstreamConfig[] {
  return ownedUpstreamsByPool(state).get(pool) ?? [];
}

/** Groups the owned upstreams by pool; cached until the list of owned upstreams is replaced. */
export function ownedUpstreamsByPool(
  state: CoreState,
): ReadonlyMap<PoolId, readonly UpstreamConfig[]> {
  const { dispatch } = state;
  const owned = ownedUpstreams(state);
  if (dispatch.ownedSource === owned) return dispatch.ownedByPool;
  const byPool = new Map<PoolId, UpstreamConfig[]>();
  owned.forEach((upstream) => {
    const ofPool = byPool.get(upstream.pool) ?? [];
    byPool.set(upstream.pool, ofPool);
    ofPool.push(upstream);
  });
  dispatch.ownedByPool = byPool;
  dispatch.ownedSource = owned;
  resetLoadReports(state, owned);
  return byPool;
}

/** Assigns free slots in every pool with owned upstreams. */
export function assignAll(ctx: CoreContext): void {
  ownedUpstreamsByPool(ctx.state).forEach((_, pool) => assignPool(ctx, pool));
}

/** Assigns free slots of a pool until no slot is free or no request waits. */
export function assignPool(ctx: CoreContext, poolId: PoolId): void {
  const { state } = ctx;
  const pool = state.configuration.view?.pools.get(poolId);
  if (pool === undefined) return;
  const skipped = new Set<CustomerNumber>();
  for (;;) {
    const free = upstreamsWithFreeSlots(ctx, poolId);
    if (free.length === 0) {
      requestSuspensionThrottled(ctx, pool, skipped);
      return;
    }
    const customer = nextCustomer(state, poolId, skipped);
    if (resumeNextSuspended(ctx, pool, free, customer)) continue;
    if (customer === undefined) return;
    if (!tryGrant(ctx, pool, customer, free)) skipped.add(customer);
  }
}

/** Retries the suspension of streams in the pools where rate limiting deferred it. */
export function retryDeferredSuspensions(ctx: CoreContext): void {
  const { relievePools } = ctx.state.dispatch;
  const due = [...relievePools];
  relievePools.clear();
  due.forEach((pool) => assignPool(ctx, pool));
}

/** Requests the suspension of a stream, at most once per announce interval. */
function requestSuspensionThrottled(
  ctx: CoreContext,
  pool: PoolConfig,
  skipped: ReadonlySet<CustomerNumber>,
): void {
  const { dispatch, settings } = ctx.state;
  const next = (dispatch.relievedAt.get(pool.id) ?? -Infinity) + settings.announceMs;
  if (pool.suspendShare <= 0 || dispatch.demand.get(pool.id) === undefined) return;
  if (next > ctx.now) {
    dispatch.relievePools.add(pool.id);
    setAnnounceTimer(ctx, next);
    return;
  }
  dispatch.relievedAt.set(pool.id, ctx.now);
  const customer = nextCustomer(ctx.state, pool.id, skipped);
  if (customer !== undefined) requestSuspension(ctx, pool, customer);
}

/** Records a returned grant: its entry has no request that may currently run on the upstream. */
export function recordReturnedGrant(ctx: CoreContext, grant: IssuedGrant): void {
  const until = ctx.now + RETURNED_BACKOFF_INTERVALS * ctx.state.settings.announceMs;
  ctx.state.dispatch.returned.set(
    returnedPairKey(grant.entry, grant.customer, grant.upstream),
    until,
  );
}

/** Drops expired records of returned grants and, if there were any, assigns slots again. */
export function retryReturnedGrants(ctx: CoreContext): void {
  const { returned } = ctx.state.dispatch;
  const before = returned.size;
  returned.forEach((until, key) => {
    if (until <= ctx.now) returned.delete(key);
  });
  if (returned.size < before) assignAll(ctx);
}

function nextCustomer(
  state: CoreState,
  pool: PoolId,
  skipped: ReadonlySet<CustomerNumber>,
): CustomerNumber | undefined {
  const demand = state.dispatch.demand.get(pool);
  if (demand === undefined) return undefined;
  if (skipped.size === 0) return leastServed(state, demand.keys(), pool);
  const eligible = [...demand.keys()].filter((customer) => !skipped.has(customer));
  return leastServed(state, eligible, pool);
}

/** Grants one slot to a customer; returns false if none of its work may use a free upstream. */
function tryGrant(
  ctx: CoreContext,
  pool: PoolConfig,
  customer: CustomerNumber,
  free: readonly UpstreamConfig[],
): boolean {
  const { state } = ctx;
  const demand = state.dispatch.demand.get(pool.id);
  const usableFor = (entry: InstanceId) =>
    free.filter(({ id }) => !state.dispatch.returned.has(returnedPairKey(entry, customer, id)));
  const waiting = demand && chooseEntry(ctx, demand, customer, usableFor);
  if (demand === undefined || waiting === undefined) return false;
  const upstream = chooseUpstream(ctx, usableFor(waiting.entry), waiting.heads);
  decrementWaiting(demand, customer, waiting.entry);
  const cachedPercent = cachedPercentOf(state, upstream, waiting.heads);
  issueGrant(ctx, waiting.entry, pool, customer, upstream, cachedPercent);
  return true;
}

function returnedPairKey(
  entry: InstanceId,
  customer: CustomerNumber,
  upstream: UpstreamId,
): string {
  return `${entry} ${customer} ${upstream}`;
}

/** Returns the owned upstreams of a pool that accept new work and have free slots. */
export function upstreamsWithFreeSlots(ctx: CoreContext, pool: PoolId): readonly UpstreamConfig[] {
  const { state } = ctx;
  return ownedUpstreamsInPool(state, pool).filter(
    (upstream) =>
      acceptsNewRequests(state, upstream.id) &&
      !isOutdated(state, upstream) &&
      freeSlots(state, upstream, ctx.now) > 0,
  );
}

/** Prefers local requests, which cost no message, but bounds how often they precede others. */
function chooseEntry(
  ctx: CoreContext,
  demand: PoolDemand,
  customer: CustomerNumber,
  usableFor: (entry: InstanceId) => readonly UpstreamConfig[],
): WaitingCount | undefined {
  const { dispatch, self } = ctx.state;
  const entries = demand.get(customer);
  if (entries === undefined) return undefined;
  const own = entries.get(self.id);
  const isOwnUsable = own !== undefined && usableFor(self.id).length > 0;
  if (isOwnUsable && (entries.size === 1 || dispatch.localStreak < MAX_LOCAL_STREAK)) {
    dispatch.localStreak = entries.size === 1 ? 0 : dispatch.localStreak + 1;
    return own;
  }
  dispatch.localStreak = 0;
  for (const waiting of entries.values()) {
    if (waiting.entry !== self.id && usableFor(waiting.entry).length > 0) return waiting;
  }
  return isOwnUsable ? own : undefined;
}

/** Selects the upstream with the longest cached prefix among those within the load margin. */
function chooseUpstream(
  ctx: CoreContext,
  free: readonly UpstreamConfig[],
  heads: readonly number[],
): UpstreamConfig {
  const { state } = ctx;
  const loads = free.map((upstream) => loadOf(state, upstream, ctx.now));
  const leastLoad = Math.min(...loads);
  let best = free[0] as UpstreamConfig;
  let bestBlocks = -1;
  let bestLoad = Infinity;
  free.forEach((upstream, i) => {
    const load = loads[i] ?? 0;
    const isWithinMargin = load - leastLoad <= state.settings.prefixLoadMargin;
    const blocks = isWithinMargin ? cachedBlocks(state, upstream.id, heads) : 0;
    if (blocks > bestBlocks || (blocks === bestBlocks && load < bestLoad)) {
      best = upstream;
      bestBlocks = blocks;
      bestLoad = load;
    }
  });
  return best;
}

function cachedPercentOf(
  state: CoreState,
  upstream: UpstreamConfig,
  heads: readonly number[],
): number {
  if (heads.length === 0) return 0;
  return Math.floor((100 * cachedBlocks(state, upstream.id, heads)) / heads.length);
}

function loadOf(state: CoreState, upstream: UpstreamConfig, now: Millis): number {
  const slots = slotsOf(state, upstream);
  return (slots.inUse + slotsUsedByOthers(slots, now)) / Math.max(1, slots.limit);
}

function issueGrant(
  ctx: CoreContext,
  entry: InstanceId,
  pool: PoolConfig,
  customer: CustomerNumber,
  upstream: UpstreamConfig,
  cachedPercent: number,
): void {
  const { dispatch, settings, configuration } = ctx.state;
  const grantId = dispatch.nextGrant;
  dispatch.nextGrant += 1;
  const grant: IssuedGrant = {
    grantId,
    entry,
    pool: pool.id,
    customer,
    upstream: upstream.id,
    issuedAt: ctx.now,
    expiresAt: ctx.now + settings.grantTimeoutMs + settings.holdReportMs,
    phase: 'held',
    phaseSince: ctx.now,
    canSuspend: pool.kind === 'model',
    reserved: configuration.view?.fairness.chargeStep ?? 0,
  };
  dispatch.issued.set(grantId, grant);
  const slots = slotsOf(ctx.state, upstream);
  slots.inUse += 1;
  slots.lastUsedAt = ctx.now;
  reserve(ctx.state, customer, pool.id, grant.reserved);
  sendToInstance(ctx, entry, {
    $case: 'grant',
    value: {
      grantId,
      pool: pool.number,
      customer,
      upstream: upstream.id,
      expiresInMs: settings.grantTimeoutMs,
      cachedPercent,
    },
  });
}

/** Releases the reservations of grants whose service the sums now include. */
export function settleReservations(ctx: CoreContext): void {
  const { dispatch } = ctx.state;
  const cutoff = ctx.now - RESERVATION_EXCHANGES * exchangeInterval(ctx.state);
  dispatch.issued.forEach((grant) => {
    if (grant.reserved > 0 && grant.issuedAt <= cutoff) endReservation(ctx.state, grant);
  });
}
