/**
 * Announces the counts of waiting requests. Work is offered to this instance's own upstreams first.
 * The remainder is announced to a few owners of the domain, to more of them the longer it waits (in
 * a large domain only if its customer lags), and to the pool's relay, from which owners in other
 * domains pull. An owner is updated only when the count last announced to it differs from the
 * current one by more than a factor of two, so that a long queue does not cost one message per
 * request.
 */
import { sendToInstance, type CoreContext } from '../context.js';
import type { Millis } from '../clock.js';
import { hash32 } from '../hash.js';
import { topByRendezvousScore, isLive, membersOf, relaysOf } from '../membership/memberIndex.js';
import { ownerOf, upstreamsInDomain } from '../ownership/ownership.js';
import { lagThresholdOf, virtualService } from '../shares/shares.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, InstanceId, PoolConfig, PoolId } from '../types.js';
import { announceInterval, MAX_OWNERS_UNLESS_LAGGING } from './announceInterval.js';
import { assignPool, retryDeferredSuspensions } from './assign.js';
import { blockHashes } from './cache.js';
import { setWaiting } from './demand.js';
import {
  scheduleDelayedAnnouncement,
  peekNext,
  runnableCount,
  setAnnounceTimer,
} from './queues.js';

/** Number of announce intervals after which the number of targets doubles. */
const FANOUT_DOUBLING_INTERVALS = 2;

/** Maximum passes of local offers per timer event; each pass may change which work waits. */
const MAX_LOCAL_PASSES = 3;

/**
 * Number of hold reports in which every target is refreshed once; relays are refreshed at each
 * report.
 */
const REFRESH_CYCLE_REPORTS = 4;

interface WaitingWork {
  readonly customer: CustomerNumber;
  readonly waited: Millis;
}

/** Counts last announced, by target and customer. */
type AnnouncedCounts = Map<InstanceId, Map<CustomerNumber, number>>;

interface Update {
  readonly customers: CustomerNumber[];
  readonly counts: number[];
}

/** Returns the relay that collects a pool's waiting counts in a domain. */
export function demandRelay(
  state: CoreState,
  domain: string,
  pool: PoolId,
): InstanceId | undefined {
  return relaysOf(state, domain, `demand ${pool}`)[0]?.id;
}

/** Offers changed work to local upstreams immediately and announces it once per interval. */
export function onAnnounceTimer(ctx: CoreContext): void {
  const { state } = ctx;
  const { dispatch } = state;
  dispatch.announceAt = Infinity;
  retryDeferredSuspensions(ctx);
  for (let pass = 0; pass < MAX_LOCAL_PASSES && hasChanges(state); pass += 1)
    offerChangesLocally(ctx);
  if (hasChanges(state)) {
    setAnnounceTimer(ctx, ctx.now);
    return;
  }
  if (dispatch.unannounced.size === 0) return;
  if (dispatch.remoteAnnounceAt > ctx.now) {
    setAnnounceTimer(ctx, dispatch.remoteAnnounceAt);
    return;
  }
  const instancesInDomain = membersOf(state, state.self.domain).length;
  const interval = announceInterval(state.settings.announceMs, instancesInDomain);
  dispatch.remoteAnnounceAt = ctx.now + interval;
  const unannounced = [...dispatch.unannounced];
  dispatch.unannounced.clear();
  unannounced.forEach(([pool, customers]) => announcePool(ctx, pool, customers));
}

function hasChanges(state: CoreState): boolean {
  return state.dispatch.changedPools.size > 0 || state.dispatch.changedCustomers.size > 0;
}

/** Offers changed work to local upstreams and records it for the next announcement. */
function offerChangesLocally(ctx: CoreContext): void {
  const { dispatch } = ctx.state;
  const pools = new Set([...dispatch.changedPools, ...dispatch.changedCustomers.keys()]);
  const changes = [...pools].map((pool) => [pool, changedCustomersOf(ctx.state, pool)] as const);
  dispatch.changedPools.clear();
  dispatch.changedCustomers.clear();
  changes.forEach(([pool, changed]) => {
    const unannounced = dispatch.unannounced.get(pool) ?? new Set<CustomerNumber>();
    dispatch.unannounced.set(pool, unannounced);
    changed.forEach((customer) => unannounced.add(customer));
    offerPoolLocally(ctx, pool, changed);
  });
}

/** Returns the customers of a pool whose waiting work must be re-evaluated. */
function changedCustomersOf(state: CoreState, pool: PoolId): ReadonlySet<CustomerNumber> {
  const { dispatch } = state;
  const changed = dispatch.changedCustomers.get(pool) ?? new Set<CustomerNumber>();
  if (!dispatch.changedPools.has(pool)) return changed;
  const all = new Set(changed);
  dispatch.queues.get(pool)?.forEach((_, customer) => all.add(customer));
  dispatch.demand.get(pool)?.forEach((_, customer) => all.add(customer));
  dispatch.announced.get(pool)?.forEach((announcedCounts) => {
    announcedCounts.forEach((_, customer) => all.add(customer));
  });
  return all;
}

/** Repeats announcements to part of the targets, since earlier ones may have been lost. */
export function refreshAnnouncements(ctx: CoreContext): void {
  const { state } = ctx;
  const turn = state.dispatch.holdReports % REFRESH_CYCLE_REPORTS;
  state.dispatch.announced.forEach((targets, pool) => {
    targets.forEach((_, target) => {
      if (!isLive(state, target)) targets.delete(target);
    });
    refreshPool(ctx, pool, targets, turn);
    // A customer may have started to lag since, which requires a wider announcement.
    if (ownersInDomain(state, pool).length > MAX_OWNERS_UNLESS_LAGGING)
      scheduleDelayedAnnouncement(ctx, pool);
  });
}

function refreshPool(
  ctx: CoreContext,
  poolId: PoolId,
  targets: AnnouncedCounts,
  turn: number,
): void {
  const { state } = ctx;
  const pool = state.configuration.view?.pools.get(poolId);
  if (pool === undefined) return;
  const relay = demandRelay(state, state.self.domain, poolId);
  targets.forEach((announcedCounts, target) => {
    const isDue = target === relay || hash32(target) % REFRESH_CYCLE_REPORTS === turn;
    if (isDue) sendFullUpdate(ctx, pool, target, announcedCounts);
  });
}

/** Decrements the count announced to an owner, which did the same when it issued a grant. */
export function recordGranted(
  state: CoreState,
  owner: InstanceId,
  pool: PoolId,
  customer: CustomerNumber,
): void {
  const targets = state.dispatch.announced.get(pool);
  const relay = demandRelay(state, state.self.domain, pool);
  const counts = [owner, relay].map((id) => (id === undefined ? undefined : targets?.get(id)));
  const announcedCounts = counts.find((ofTarget) => (ofTarget?.get(customer) ?? 0) > 0);
  if (announcedCounts !== undefined)
    announcedCounts.set(customer, (announcedCounts.get(customer) ?? 0) - 1);
}

/** Updates the local demand table with this instance's waiting work and assigns slots. */
function offerPoolLocally(
  ctx: CoreContext,
  pool: PoolId,
  changed: ReadonlySet<CustomerNumber>,
): void {
  changed.forEach((customer) => updateOwnDemand(ctx, pool, customer));
  assignPool(ctx, pool);
}

function updateOwnDemand(ctx: CoreContext, pool: PoolId, customer: CustomerNumber): void {
  const { state } = ctx;
  const count = runnableCount(state, pool, customer);
  setWaiting(state, pool, customer, {
    entry: state.self.id,
    count,
    sequence: 0,
    heads: count > 0 ? prefixHashesOf(state, pool, customer) : [],
    waitingSince: ctx.now - waitingTimeOf(ctx, pool, customer),
    expiresAt: Infinity,
  });
}

function announcePool(
  ctx: CoreContext,
  poolId: PoolId,
  changed: ReadonlySet<CustomerNumber>,
): void {
  const { state } = ctx;
  const pool = state.configuration.view?.pools.get(poolId);
  if (pool === undefined) return;
  const owners = ownersInDomain(state, poolId);
  const targets = announcedCountsOf(state, poolId);
  const relay = demandRelay(state, state.self.domain, poolId);
  const counts = new Map<CustomerNumber, number>();
  const lagThreshold =
    owners.length > MAX_OWNERS_UNLESS_LAGGING ? lagThresholdOf(state, poolId, ctx.now) : 0;
  changed.forEach((customer) => {
    const count = runnableCount(state, poolId, customer);
    counts.set(customer, count);
    if (count === 0) return;
    const waited = waitingTimeOf(ctx, poolId, customer);
    const work = { customer, waited };
    const maxTargets = targetCount(state, poolId, work, owners.length, lagThreshold);
    addTargets(state, work, owners, maxTargets, relay, targets);
    // Work that continues to wait is announced to more owners.
    if (needsWiderAnnouncement(state, waited, owners.length))
      scheduleDelayedAnnouncement(ctx, poolId, customer);
  });
  targets.forEach((announcedCounts, target) =>
    sendChangedCounts(ctx, pool, target, announcedCounts, counts),
  );
}

function needsWiderAnnouncement(state: CoreState, waited: Millis, owners: number): boolean {
  const isRecent = waited < FANOUT_DOUBLING_INTERVALS * state.settings.announceMs;
  return isRecent || fanoutAfter(state, waited) < owners;
}

/**
 * Returns the number of owners to which a customer's work is announced. When many customers wait, a
 * few owners per customer suffice: each owner then receives work of nearly all customers from some
 * entry. Only the work of a lagging customer goes to all owners; owners without work pull from the
 * relay.
 */
function targetCount(
  state: CoreState,
  pool: PoolId,
  work: WaitingWork,
  owners: number,
  lagThreshold: number,
): number {
  const widened = Math.min(fanoutAfter(state, work.waited), owners);
  if (widened <= MAX_OWNERS_UNLESS_LAGGING) return widened;
  const isLagging = virtualService(state, work.customer, pool) < lagThreshold;
  return isLagging ? widened : MAX_OWNERS_UNLESS_LAGGING;
}

function fanoutAfter(state: CoreState, waited: Millis): number {
  const { announceFanout, announceMs } = state.settings;
  return announceFanout * 2 ** Math.floor(waited / (FANOUT_DOUBLING_INTERVALS * announceMs));
}

/** Adds the owners that must learn of a customer's work, and the relay if required, as targets. */
function addTargets(
  state: CoreState,
  work: WaitingWork,
  owners: readonly InstanceId[],
  maxTargets: number,
  relay: InstanceId | undefined,
  targets: AnnouncedCounts,
): void {
  const add = (target: InstanceId) => {
    if (target === state.self.id) return;
    const announcedCounts = targets.get(target) ?? new Map<CustomerNumber, number>();
    targets.set(target, announcedCounts);
    if (!announcedCounts.has(work.customer)) announcedCounts.set(work.customer, 0);
  };
  const start = maxTargets === owners.length ? 0 : hash32(`${work.customer} ${state.self.id}`);
  for (let i = 0; i < maxTargets; i += 1) {
    add(owners[(start + i) % owners.length] as InstanceId);
  }
  const isDelayed = work.waited >= FANOUT_DOUBLING_INTERVALS * state.settings.announceMs;
  if (relay !== undefined && (isDelayed || owners.length === 0)) add(relay);
}

function sendChangedCounts(
  ctx: CoreContext,
  pool: PoolConfig,
  target: InstanceId,
  announcedCounts: Map<CustomerNumber, number>,
  counts: ReadonlyMap<CustomerNumber, number>,
): void {
  const update: Update = { customers: [], counts: [] };
  counts.forEach((count, customer) => {
    const known = announcedCounts.get(customer);
    if (known === undefined) return;
    if (isWithinFactorOfTwo(known, count)) {
      if (count === 0) announcedCounts.delete(customer);
      return;
    }
    update.customers.push(customer);
    update.counts.push(count);
    announcedCounts.set(customer, count);
  });
  if (update.customers.length > 0) sendWaitingUpdate(ctx, pool, target, update, false);
}

function sendFullUpdate(
  ctx: CoreContext,
  pool: PoolConfig,
  target: InstanceId,
  announcedCounts: Map<CustomerNumber, number>,
): void {
  const update: Update = { customers: [], counts: [] };
  announcedCounts.forEach((_, customer) => {
    const count = runnableCount(ctx.state, pool.id, customer);
    if (count === 0) {
      announcedCounts.delete(customer);
      return;
    }
    update.customers.push(customer);
    update.counts.push(count);
    announcedCounts.set(customer, count);
  });
  sendWaitingUpdate(ctx, pool, target, update, true);
  // An empty update tells the target that nothing waits, so it needs no further refresh.
  if (update.customers.length === 0) ctx.state.dispatch.announced.get(pool.id)?.delete(target);
}

function sendWaitingUpdate(
  ctx: CoreContext,
  pool: PoolConfig,
  target: InstanceId,
  update: Update,
  full: boolean,
): void {
  const { state } = ctx;
  state.dispatch.sequence += 1;
  const heads = update.customers.map((customer, i) =>
    (update.counts[i] ?? 0) > 0 ? prefixHashesOf(state, pool.id, customer) : [],
  );
  sendToInstance(ctx, target, {
    $case: 'waitingUpdate',
    value: {
      pool: pool.number,
      sequence: state.dispatch.sequence,
      full,
      customers: update.customers,
      counts: update.counts,
      waitedMs: update.customers.map((customer) =>
        Math.round(waitingTimeOf(ctx, pool.id, customer)),
      ),
      headSizes: heads.some((ofCustomer) => ofCustomer.length > 0)
        ? heads.map((ofCustomer) => ofCustomer.length)
        : [],
      heads: heads.flat(),
    },
  });
}

function isWithinFactorOfTwo(announcedCount: number, count: number): boolean {
  if ((announcedCount === 0) !== (count === 0)) return false;
  return announcedCount <= 2 * count && count <= 2 * announcedCount;
}

function waitingTimeOf(ctx: CoreContext, pool: PoolId, customer: CustomerNumber): Millis {
  const next = peekNext(ctx.state, pool, customer);
  const request = next === undefined ? undefined : ctx.state.requests.active.get(next);
  if (request?.state !== 'waiting' && request?.state !== 'retrying') return 0;
  return ctx.now - request.since;
}

function prefixHashesOf(
  state: CoreState,
  pool: PoolId,
  customer: CustomerNumber,
): readonly number[] {
  const next = peekNext(state, pool, customer);
  const request = next === undefined ? undefined : state.requests.active.get(next);
  return request === undefined ? [] : blockHashes(request.facts.prefixBlocks);
}

/** Returns the other owners of the pool's upstreams in this domain, in a stable order. */
function ownersInDomain(state: CoreState, pool: PoolId): readonly InstanceId[] {
  const owners = new Set<InstanceId>();
  upstreamsInDomain(state, state.self.domain).forEach((upstream) => {
    const owner = upstream.pool === pool ? ownerOf(state, upstream.id) : undefined;
    if (owner !== undefined && owner !== state.self.id) owners.add(owner);
  });
  const members = membersOf(state, state.self.domain).filter(({ id }) => owners.has(id));
  return topByRendezvousScore(members, `owners ${pool}`, members.length).map(({ id }) => id);
}

function announcedCountsOf(
  state: CoreState,
  pool: PoolId,
): Map<InstanceId, Map<CustomerNumber, number>> {
  const { announced } = state.dispatch;
  const targets = announced.get(pool) ?? new Map<InstanceId, Map<CustomerNumber, number>>();
  announced.set(pool, targets);
  return targets;
}
