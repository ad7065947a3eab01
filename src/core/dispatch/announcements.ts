/**
 * Announcements of waiting counts. Work is offered to this instance's own upstreams first. What is
 * left is announced to a few owners of the domain, to more the longer it waits (in a large domain only
 * if its customer lags), and to the relay of the pool, from which owners elsewhere pull. An owner is told again only when what it believes is
 * off by more than a factor of two, so that a long queue costs no message per request.
 */
import { sendTo, type CoreContext } from '../context.js';
import type { Millis } from '../clock.js';
import { hash32 } from '../hash.js';
import { bestScored, isLive, membersOf, relaysOf } from '../membership/memberIndex.js';
import { ownerOf, upstreamsIn } from '../ownership/ownership.js';
import { laggingBelow, virtualService } from '../shares/shares.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, InstanceId, PoolConfig, PoolId } from '../types.js';
import { announceInterval, ENOUGH_OWNERS } from './announceInterval.js';
import { assignPool, relieveLater } from './assign.js';
import { blockHashes } from './cache.js';
import { setWaiting } from './demand.js';
import { noteChangeLater, peekNext, runnableCount, wakeAnnouncer } from './queues.js';

/** Announce intervals after which the number of targets doubles. */
const WIDENING_INTERVALS = 2;

/** Rounds of offers to the own upstreams in one firing; each may change what waits. */
const LOCAL_PASSES = 3;

/** Targets are refreshed in turn, each at every so many hold reports; relays at each. */
const REFRESH_TURNS = 4;

interface Waiting {
  readonly customer: CustomerNumber;
  readonly waited: Millis;
}

/** Counts that each target believes. */
type Targets = Map<InstanceId, Map<CustomerNumber, number>>;

interface Update {
  readonly customers: CustomerNumber[];
  readonly counts: number[];
}

/** Returns the instance that collects the waiting counts of a pool in a domain. */
export function demandRelay(
  state: CoreState,
  domain: string,
  pool: PoolId,
): InstanceId | undefined {
  return relaysOf(state, domain, `demand ${pool}`)[0]?.id;
}

/** Offers the waiting work that has changed: here at once, elsewhere in intervals. */
export function onAnnounceTimer(ctx: CoreContext): void {
  const { state } = ctx;
  const { dispatch } = state;
  dispatch.announceAt = Infinity;
  relieveLater(ctx);
  for (let pass = 0; pass < LOCAL_PASSES && hasChanges(state); pass += 1) offerChanges(ctx);
  if (hasChanges(state)) {
    wakeAnnouncer(ctx, ctx.now);
    return;
  }
  if (dispatch.unannounced.size === 0) return;
  if (dispatch.remoteAnnounceAt > ctx.now) {
    wakeAnnouncer(ctx, dispatch.remoteAnnounceAt);
    return;
  }
  const neighbours = membersOf(state, state.self.domain).length;
  const interval = announceInterval(state.settings.announceMs, neighbours);
  dispatch.remoteAnnounceAt = ctx.now + interval;
  const unannounced = [...dispatch.unannounced];
  dispatch.unannounced.clear();
  unannounced.forEach(([pool, customers]) => announcePool(ctx, pool, customers));
}

function hasChanges(state: CoreState): boolean {
  return state.dispatch.changedPools.size > 0 || state.dispatch.changedCustomers.size > 0;
}

/** Offers to the own upstreams what has changed, and keeps it for the next announcement. */
function offerChanges(ctx: CoreContext): void {
  const { dispatch } = ctx.state;
  const pools = new Set([...dispatch.changedPools, ...dispatch.changedCustomers.keys()]);
  const changes = [...pools].map((pool) => [pool, changedIn(ctx.state, pool)] as const);
  dispatch.changedPools.clear();
  dispatch.changedCustomers.clear();
  changes.forEach(([pool, changed]) => {
    const unannounced = dispatch.unannounced.get(pool) ?? new Set<CustomerNumber>();
    dispatch.unannounced.set(pool, unannounced);
    changed.forEach((customer) => unannounced.add(customer));
    offerLocally(ctx, pool, changed);
  });
}

/** Returns the customers of a pool whose waiting work has to be looked at. */
function changedIn(state: CoreState, pool: PoolId): ReadonlySet<CustomerNumber> {
  const { dispatch } = state;
  const changed = dispatch.changedCustomers.get(pool) ?? new Set<CustomerNumber>();
  if (!dispatch.changedPools.has(pool)) return changed;
  const all = new Set(changed);
  dispatch.queues.get(pool)?.forEach((_, customer) => all.add(customer));
  dispatch.demand.get(pool)?.forEach((_, customer) => all.add(customer));
  dispatch.announced.get(pool)?.forEach((believed) => {
    believed.forEach((_, customer) => all.add(customer));
  });
  return all;
}

/** Repeats announcements, a part of the targets at a time, in case some were lost. */
export function refreshAnnouncements(ctx: CoreContext): void {
  const { state } = ctx;
  const turn = state.dispatch.holdReports % REFRESH_TURNS;
  state.dispatch.announced.forEach((targets, pool) => {
    targets.forEach((_, target) => {
      if (!isLive(state, target)) targets.delete(target);
    });
    refreshPool(ctx, pool, targets, turn);
    // A customer that has begun to lag meanwhile is announced more widely.
    if (ownersNear(state, pool).length > ENOUGH_OWNERS) noteChangeLater(ctx, pool);
  });
}

function refreshPool(ctx: CoreContext, poolId: PoolId, targets: Targets, turn: number): void {
  const { state } = ctx;
  const pool = state.configuration.view?.pools.get(poolId);
  if (pool === undefined) return;
  const relay = demandRelay(state, state.self.domain, poolId);
  targets.forEach((believed, target) => {
    const isDue = target === relay || hash32(target) % REFRESH_TURNS === turn;
    if (isDue) sendFull(ctx, pool, target, believed);
  });
}

/** Notes that an owner has taken one waiting request off the count that it believes. */
export function noteGranted(
  state: CoreState,
  owner: InstanceId,
  pool: PoolId,
  customer: CustomerNumber,
): void {
  const targets = state.dispatch.announced.get(pool);
  const relay = demandRelay(state, state.self.domain, pool);
  const counts = [owner, relay].map((id) => (id === undefined ? undefined : targets?.get(id)));
  const believed = counts.find((ofTarget) => (ofTarget?.get(customer) ?? 0) > 0);
  if (believed !== undefined) believed.set(customer, (believed.get(customer) ?? 0) - 1);
}

/** Takes this instance's own waiting work into its own table of demand and assigns slots. */
function offerLocally(ctx: CoreContext, pool: PoolId, changed: ReadonlySet<CustomerNumber>): void {
  changed.forEach((customer) => noteOwnCount(ctx, pool, customer));
  assignPool(ctx, pool);
}

function noteOwnCount(ctx: CoreContext, pool: PoolId, customer: CustomerNumber): void {
  const { state } = ctx;
  const count = runnableCount(state, pool, customer);
  setWaiting(state, pool, customer, {
    entry: state.self.id,
    count,
    sequence: 0,
    heads: count > 0 ? headsOf(state, pool, customer) : [],
    waitingSince: ctx.now - waitedOf(ctx, pool, customer),
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
  const owners = ownersNear(state, poolId);
  const targets = targetsOf(state, poolId);
  const relay = demandRelay(state, state.self.domain, poolId);
  const counts = new Map<CustomerNumber, number>();
  const lagLimit = owners.length > ENOUGH_OWNERS ? laggingBelow(state, poolId, ctx.now) : 0;
  changed.forEach((customer) => {
    const count = runnableCount(state, poolId, customer);
    counts.set(customer, count);
    if (count === 0) return;
    const waited = waitedOf(ctx, poolId, customer);
    const work = { customer, waited };
    const most = targetCount(state, poolId, work, owners.length, lagLimit);
    addTargets(state, work, owners, most, relay, targets);
    // Work that keeps waiting is announced more widely.
    if (needsWidening(state, waited, owners.length)) noteChangeLater(ctx, poolId, customer);
  });
  targets.forEach((believed, target) => sendChanges(ctx, pool, target, believed, counts));
}

function needsWidening(state: CoreState, waited: Millis, owners: number): boolean {
  const isNew = waited < WIDENING_INTERVALS * state.settings.announceMs;
  return isNew || fanout(state, waited) < owners;
}

/**
 * Owners that a customer's work is announced to. Where many customers wait, a few owners are enough:
 * each owner then knows work of nearly all of them from some entry. Only the work of a customer that
 * lags goes to all, and owners without work pull from the relay.
 */
function targetCount(
  state: CoreState,
  pool: PoolId,
  work: Waiting,
  owners: number,
  lagLimit: number,
): number {
  const widened = Math.min(fanout(state, work.waited), owners);
  if (widened <= ENOUGH_OWNERS) return widened;
  const lags = virtualService(state, work.customer, pool) < lagLimit;
  return lags ? widened : ENOUGH_OWNERS;
}

function fanout(state: CoreState, waited: Millis): number {
  const { announceFanout, announceMs } = state.settings;
  return announceFanout * 2 ** Math.floor(waited / (WIDENING_INTERVALS * announceMs));
}

/** Makes the owners that a customer's work is due to, and the relay, targets of announcements. */
function addTargets(
  state: CoreState,
  work: Waiting,
  owners: readonly InstanceId[],
  most: number,
  relay: InstanceId | undefined,
  targets: Targets,
): void {
  const add = (target: InstanceId) => {
    if (target === state.self.id) return;
    const believed = targets.get(target) ?? new Map<CustomerNumber, number>();
    targets.set(target, believed);
    if (!believed.has(work.customer)) believed.set(work.customer, 0);
  };
  const start = most === owners.length ? 0 : hash32(`${work.customer} ${state.self.id}`);
  for (let i = 0; i < most; i += 1) {
    add(owners[(start + i) % owners.length] as InstanceId);
  }
  const isLate = work.waited >= WIDENING_INTERVALS * state.settings.announceMs;
  if (relay !== undefined && (isLate || owners.length === 0)) add(relay);
}

function sendChanges(
  ctx: CoreContext,
  pool: PoolConfig,
  target: InstanceId,
  believed: Map<CustomerNumber, number>,
  counts: ReadonlyMap<CustomerNumber, number>,
): void {
  const update: Update = { customers: [], counts: [] };
  counts.forEach((count, customer) => {
    const known = believed.get(customer);
    if (known === undefined) return;
    if (isCloseEnough(known, count)) {
      if (count === 0) believed.delete(customer);
      return;
    }
    update.customers.push(customer);
    update.counts.push(count);
    believed.set(customer, count);
  });
  if (update.customers.length > 0) send(ctx, pool, target, update, false);
}

function sendFull(
  ctx: CoreContext,
  pool: PoolConfig,
  target: InstanceId,
  believed: Map<CustomerNumber, number>,
): void {
  const update: Update = { customers: [], counts: [] };
  believed.forEach((_, customer) => {
    const count = runnableCount(ctx.state, pool.id, customer);
    if (count === 0) {
      believed.delete(customer);
      return;
    }
    update.customers.push(customer);
    update.counts.push(count);
    believed.set(customer, count);
  });
  send(ctx, pool, target, update, true);
  // An empty announcement ends the repetition.
  if (update.customers.length === 0) ctx.state.dispatch.announced.get(pool.id)?.delete(target);
}

function send(
  ctx: CoreContext,
  pool: PoolConfig,
  target: InstanceId,
  update: Update,
  full: boolean,
): void {
  const { state } = ctx;
  state.dispatch.sequence += 1;
  const heads = update.customers.map((customer, i) =>
    (update.counts[i] ?? 0) > 0 ? headsOf(state, pool.id, customer) : [],
  );
  sendTo(ctx, target, {
    $case: 'waitingUpdate',
    value: {
      pool: pool.number,
      sequence: state.dispatch.sequence,
      full,
      customers: update.customers,
      counts: update.counts,
      waitedMs: update.customers.map((customer) => Math.round(waitedOf(ctx, pool.id, customer))),
      headSizes: heads.some((ofCustomer) => ofCustomer.length > 0)
        ? heads.map((ofCustomer) => ofCustomer.length)
        : [],
      heads: heads.flat(),
    },
  });
}

function isCloseEnough(believed: number, count: number): boolean {
  if ((believed === 0) !== (count === 0)) return false;
  return believed <= 2 * count && count <= 2 * believed;
}

function waitedOf(ctx: CoreContext, pool: PoolId, customer: CustomerNumber): Millis {
  const next = peekNext(ctx.state, pool, customer);
  const request = next === undefined ? undefined : ctx.state.requests.active.get(next);
  if (request?.state !== 'waiting' && request?.state !== 'retrying') return 0;
  return ctx.now - request.since;
}

function headsOf(state: CoreState, pool: PoolId, customer: CustomerNumber): readonly number[] {
  const next = peekNext(state, pool, customer);
  const request = next === undefined ? undefined : state.requests.active.get(next);
  return request === undefined ? [] : blockHashes(request.facts.prefixBlocks);
}

/** Owners of the pool's upstreams in this domain, the same order at every call. */
function ownersNear(state: CoreState, pool: PoolId): readonly InstanceId[] {
  const owners = new Set<InstanceId>();
  upstreamsIn(state, state.self.domain).forEach((upstream) => {
    const owner = upstream.pool === pool ? ownerOf(state, upstream.id) : undefined;
    if (owner !== undefined && owner !== state.self.id) owners.add(owner);
  });
  const members = membersOf(state, state.self.domain).filter(({ id }) => owners.has(id));
  return bestScored(members, `owners ${pool}`, members.length).map(({ id }) => id);
}

function targetsOf(state: CoreState, pool: PoolId): Map<InstanceId, Map<CustomerNumber, number>> {
  const { announced } = state.dispatch;
  const targets = announced.get(pool) ?? new Map<InstanceId, Map<CustomerNumber, number>>();
  announced.set(pool, targets);
  return targets;
}
