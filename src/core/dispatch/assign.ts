/**
 * Assignment: gives each free slot of an owned upstream to the waiting customer with the least
 * virtual service. Among the free upstreams, the one with the longest cached prefix of the
 * customer's next request is chosen, unless another is less loaded by more than a set margin.
 */
import { sendTo, type CoreContext } from '../context.js';
import type { Millis } from '../clock.js';
import { takesNewWork } from '../drain/upstreams.js';
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
import { takeOne } from './demand.js';
import type { IssuedGrant, PoolDemand, WaitingCount } from './dispatchState.js';
import { wakeAnnouncer } from './queues.js';
import { endReservation, forgetReports, foreignUse, freeSlots, slotsOf } from './slots.js';
import { relieve, resumeNext } from './suspension.js';

/** Exchanges after which the service of a new grant shows in the sums. */
const RESERVATION_EXCHANGES = 3;

/** Grants in a row to local requests after which another instance's request goes first. */
const LOCAL_STREAK = 4;

/** Announce intervals for which a pair of work and upstream is skipped after a returned grant. */
const RETURN_INTERVALS = 5;

/** Returns the owned upstreams of a pool. */
export function ownedInPool(state: CoreState, pool: PoolId): readonly UpstreamConfig[] {
  return ownedByPool(state).get(pool) ?? [];
}

export function ownedByPool(state: CoreState): ReadonlyMap<PoolId, readonly UpstreamConfig[]> {
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
  forgetReports(state, owned);
  return byPool;
}

/** Grants free slots in all pools of the owned upstreams. */
export function assignAll(ctx: CoreContext): void {
  ownedByPool(ctx.state).forEach((_, pool) => assignPool(ctx, pool));
}

/** Grants free slots of a pool until none is free or nobody waits. */
export function assignPool(ctx: CoreContext, poolId: PoolId): void {
  const { state } = ctx;
  const pool = state.configuration.view?.pools.get(poolId);
  if (pool === undefined) return;
  const skipped = new Set<CustomerNumber>();
  for (;;) {
    const free = usableUpstreams(ctx, poolId);
    if (free.length === 0) {
      relieveOnce(ctx, pool, skipped);
      return;
    }
    const customer = nextCustomer(state, poolId, skipped);
    if (resumeNext(ctx, pool, free, customer)) continue;
    if (customer === undefined) return;
    if (!grantTo(ctx, pool, customer, free)) skipped.add(customer);
  }
}

/** Looks for a stream to suspend in the pools where that was put off. */
export function relieveLater(ctx: CoreContext): void {
  const { relievePools } = ctx.state.dispatch;
  const due = [...relievePools];
  relievePools.clear();
  due.forEach((pool) => assignPool(ctx, pool));
}

/** Looks for a stream to suspend, at most once in an announce interval. */
function relieveOnce(
  ctx: CoreContext,
  pool: PoolConfig,
  skipped: ReadonlySet<CustomerNumber>,
): void {
  const { dispatch, settings } = ctx.state;
  const next = (dispatch.relievedAt.get(pool.id) ?? -Infinity) + settings.announceMs;
  if (pool.suspendShare <= 0 || dispatch.demand.get(pool.id) === undefined) return;
  if (next > ctx.now) {
    dispatch.relievePools.add(pool.id);
    wakeAnnouncer(ctx, next);
    return;
  }
  dispatch.relievedAt.set(pool.id, ctx.now);
  const customer = nextCustomer(ctx.state, pool.id, skipped);
  if (customer !== undefined) relieve(ctx, pool, customer);
}

/** Notes a grant that came back: its entry has nothing that may run on the upstream just now. */
export function noteReturned(ctx: CoreContext, grant: IssuedGrant): void {
  const until = ctx.now + RETURN_INTERVALS * ctx.state.settings.announceMs;
  ctx.state.dispatch.returned.set(pairKey(grant.entry, grant.customer, grant.upstream), until);
}

/** Grants again where grants came back some time ago. */
export function retryReturned(ctx: CoreContext): void {
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
  const left = [...demand.keys()].filter((customer) => !skipped.has(customer));
  return leastServed(state, left, pool);
}

/** Grants one slot to a customer; returns whether there was a pair of work and upstream for it. */
function grantTo(
  ctx: CoreContext,
  pool: PoolConfig,
  customer: CustomerNumber,
  free: readonly UpstreamConfig[],
): boolean {
  const { state } = ctx;
  const demand = state.dispatch.demand.get(pool.id);
  const usable = (entry: InstanceId) =>
    free.filter(({ id }) => !state.dispatch.returned.has(pairKey(entry, customer, id)));
  const waiting = demand && chooseEntry(ctx, demand, customer, usable);
  if (demand === undefined || waiting === undefined) return false;
  const upstream = chooseUpstream(ctx, usable(waiting.entry), waiting.heads);
  takeOne(demand, customer, waiting.entry);
  const cachedPercent = cachedPercentOf(state, upstream, waiting.heads);
  issueGrant(ctx, waiting.entry, pool, customer, upstream, cachedPercent);
  return true;
}

function pairKey(entry: InstanceId, customer: CustomerNumber, upstream: UpstreamId): string {
  return `${entry} ${customer} ${upstream}`;
}

/** Returns the owned upstreams of a pool with free slots. */
export function usableUpstreams(ctx: CoreContext, pool: PoolId): readonly UpstreamConfig[] {
  const { state } = ctx;
  return ownedInPool(state, pool).filter(
    (upstream) =>
      takesNewWork(state, upstream.id) &&
      !isOutdated(state, upstream) &&
      freeSlots(state, upstream, ctx.now) > 0,
  );
}

/** Requests of this instance cost no message, but others have their turn. */
function chooseEntry(
  ctx: CoreContext,
  demand: PoolDemand,
  customer: CustomerNumber,
  usable: (entry: InstanceId) => readonly UpstreamConfig[],
): WaitingCount | undefined {
  const { dispatch, self } = ctx.state;
  const entries = demand.get(customer);
  if (entries === undefined) return undefined;
  const own = entries.get(self.id);
  const isOwnUsable = own !== undefined && usable(self.id).length > 0;
  if (isOwnUsable && (entries.size === 1 || dispatch.localStreak < LOCAL_STREAK)) {
    dispatch.localStreak = entries.size === 1 ? 0 : dispatch.localStreak + 1;
    return own;
  }
  dispatch.localStreak = 0;
  for (const waiting of entries.values()) {
    if (waiting.entry !== self.id && usable(waiting.entry).length > 0) return waiting;
  }
  return isOwnUsable ? own : undefined;
}

function chooseUpstream(
  ctx: CoreContext,
  free: readonly UpstreamConfig[],
  heads: readonly number[],
): UpstreamConfig {
  const { state } = ctx;
  const loads = free.map((upstream) => loadOf(state, upstream, ctx.now));
  const least = Math.min(...loads);
  let best = free[0] as UpstreamConfig;
  let bestBlocks = -1;
  let bestLoad = Infinity;
  free.forEach((upstream, i) => {
    const load = loads[i] ?? 0;
    const isNear = load - least <= state.settings.prefixLoadMargin;
    const blocks = isNear ? cachedBlocks(state, upstream.id, heads) : 0;
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
  return (slots.inUse + foreignUse(slots, now)) / Math.max(1, slots.limit);
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
  sendTo(ctx, entry, {
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

/** Ends the reservations of grants whose service shows in the sums by now. */
export function settleReservations(ctx: CoreContext): void {
  const { dispatch } = ctx.state;
  const oldest = ctx.now - RESERVATION_EXCHANGES * exchangeInterval(ctx.state);
  dispatch.issued.forEach((grant) => {
    if (grant.reserved > 0 && grant.issuedAt <= oldest) endReservation(ctx.state, grant);
  });
}
