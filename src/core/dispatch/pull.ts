/**
 * Pulling: an owner with free slots and no known waiting work has a standing request at the relay
 * of the pool in its domain. The relay passes on what it knows, and asks the relays of the other
 * domains: those of its region for any work, those of other regions only for work that has waited
 * longer than the price of the crossing, if the pool allows crossings at all.
 */
import { sendTo, setTimer, type CoreContext } from '../context.js';
import type { Millis } from '../clock.js';
import { isLive, liveDomains, membersOf } from '../membership/memberIndex.js';
import { virtualService } from '../shares/shares.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, InstanceId, PeerMessageOf, PoolConfig, PoolId } from '../types.js';
import { demandRelay } from './announcements.js';
import { assignPool, ownedByPool, usableUpstreams } from './assign.js';
import { takeOffer, takeOne } from './demand.js';
import type { DemandSubscription, PoolDemand, WaitingCount } from './dispatchState.js';
import { poll } from './loadPolls.js';
import { freeSlots } from './slots.js';

/** Looks at free slots in one interval of renewals. */
const LOOKS_PER_PULL = 5;

/** Renewals that may be lost before a standing request lapses. */
const LOST_RENEWALS = 3;

/** Looks for owned upstreams with free slots and no waiting work, and serves standing requests. */
export function onAssignTimer(ctx: CoreContext): void {
  const { state } = ctx;
  const { dispatch, settings } = state;
  pollNewUpstreams(ctx);
  ownedByPool(state).forEach((_, pool) => requestDemand(ctx, pool));
  dispatch.subscriptions.forEach((subscribers, poolId) => {
    subscribers.forEach((subscription, id) => {
      if (subscription.until <= ctx.now || !isLive(state, id)) subscribers.delete(id);
    });
    const pool = state.configuration.view?.pools.get(poolId);
    if (pool === undefined || subscribers.size === 0) return;
    answerSubscriptions(ctx, pool);
    requestAbroad(ctx, pool);
  });
  setTimer(ctx, 'assign', settings.pullMs / LOOKS_PER_PULL);
}

export function onDemandRequest(
  ctx: CoreContext,
  from: InstanceId,
  request: PeerMessageOf<'demandRequest'>,
): void {
  const { state } = ctx;
  const pool = state.configuration.view?.poolsByNumber.get(request.pool);
  if (pool === undefined) return;
  const subscribers = subscribersOf(state, pool.id);
  if (request.slots === 0) {
    subscribers.delete(from);
    return;
  }
  subscribers.set(from, {
    slots: request.slots,
    minWaitedMs: request.minWaitedMs,
    until: ctx.now + request.validMs,
  });
  answerSubscriptions(ctx, pool);
  requestAbroad(ctx, pool);
}

export function onDemandOffer(ctx: CoreContext, offer: PeerMessageOf<'demandOffer'>): void {
  const pool = ctx.state.configuration.view?.poolsByNumber.get(offer.pool);
  if (pool === undefined) return;
  takeOffer(ctx, pool.id, offer);
  assignPool(ctx, pool.id);
  answerSubscriptions(ctx, pool);
}

/** Passes waiting work on to those that asked for it; each piece to one of them. */
export function answerSubscriptions(ctx: CoreContext, pool: PoolConfig): void {
  const { state } = ctx;
  const demand = state.dispatch.demand.get(pool.id);
  const subscribers = state.dispatch.subscriptions.get(pool.id);
  if (demand === undefined || demand.size === 0 || subscribers === undefined) return;
  subscribers.forEach((subscription, id) => {
    if (subscription.until <= ctx.now || subscription.slots <= 0 || id === state.self.id) return;
    offerTo(ctx, pool, demand, id, subscription);
  });
}

function offerTo(
  ctx: CoreContext,
  pool: PoolConfig,
  demand: PoolDemand,
  to: InstanceId,
  subscription: DemandSubscription,
): void {
  const { state } = ctx;
  const entries = new Map<InstanceId, { customers: number[]; counts: number[]; since: Millis }>();
  while (subscription.slots > 0) {
    const next = nextToOffer(ctx, pool.id, demand, to, subscription);
    if (next === undefined) break;
    const { customer, waiting } = next;
    takeOne(demand, customer, waiting.entry);
    subscription.slots -= 1;
    const ofEntry = entries.get(waiting.entry) ?? {
      customers: [],
      counts: [],
      since: waiting.waitingSince,
    };
    entries.set(waiting.entry, ofEntry);
    const at = ofEntry.customers.indexOf(customer);
    if (at >= 0) ofEntry.counts[at] = (ofEntry.counts[at] ?? 0) + 1;
    else {
      ofEntry.customers.push(customer);
      ofEntry.counts.push(1);
    }
  }
  if (entries.size === 0) return;
  const offered = [...entries].map(([entry, { customers, counts, since }]) => ({
    entry,
    customers,
    counts,
    waitedMs: Math.max(0, Math.round(ctx.now - since)),
  }));
  const value = { pool: pool.number, entries: offered };
  sendTo(ctx, to, { $case: 'demandOffer', value });
  if (subscription.slots <= 0) state.dispatch.subscriptions.get(pool.id)?.delete(to);
}

/** The waiting customer with the least virtual service whose work the subscriber wants. */
function nextToOffer(
  ctx: CoreContext,
  pool: PoolId,
  demand: PoolDemand,
  to: InstanceId,
  subscription: DemandSubscription,
): { readonly customer: CustomerNumber; readonly waiting: WaitingCount } | undefined {
  let best: { customer: CustomerNumber; waiting: WaitingCount } | undefined;
  let least = Infinity;
  const latest = ctx.now - subscription.minWaitedMs;
  demand.forEach((entries, customer) => {
    for (const waiting of entries.values()) {
      // What came from another domain's relay is not passed to a further one.
      const isForeign = waiting.expiresAt !== Infinity && isOfOtherDomain(ctx.state, to);
      if (waiting.entry === to || isForeign || waiting.waitingSince > latest) continue;
      const service = virtualService(ctx.state, customer, pool);
      if (service < least) {
        least = service;
        best = { customer, waiting };
      }
      break;
    }
  });
  return best;
}

/** Asks the relay of the pool for work while owned upstreams have free slots and nobody waits. */
function requestDemand(ctx: CoreContext, poolId: PoolId): void {
  const { state } = ctx;
  const { dispatch, settings } = state;
  const pool = state.configuration.view?.pools.get(poolId);
  const relay = demandRelay(state, state.self.domain, poolId);
  if (pool === undefined || relay === undefined) return;
  const slots = spareSlots(ctx, poolId);
  const askedAt = dispatch.pulledAt.get(poolId);
  if (slots <= 0) {
    if (askedAt === undefined) return;
    dispatch.pulledAt.delete(poolId);
    send(ctx, relay, pool, 0, 0);
    return;
  }
  if (askedAt !== undefined && ctx.now - askedAt < settings.pullMs) return;
  dispatch.pulledAt.set(poolId, ctx.now);
  send(ctx, relay, pool, slots, 0);
}

function spareSlots(ctx: CoreContext, pool: PoolId): number {
  const { state } = ctx;
  if ((state.dispatch.demand.get(pool)?.size ?? 0) > 0) return 0;
  return usableUpstreams(ctx, pool).reduce(
    (sum, upstream) => sum + freeSlots(state, upstream, ctx.now),
    0,
  );
}

/** As relay, asks the relays of other domains on behalf of this one. */
function requestAbroad(ctx: CoreContext, pool: PoolConfig): void {
  const { state } = ctx;
  const { dispatch, settings, self } = state;
  if ((dispatch.demand.get(pool.id)?.size ?? 0) > 0) return;
  const key = `abroad ${pool.id}`;
  if (ctx.now - (dispatch.pulledAt.get(key) ?? -Infinity) < settings.pullMs) return;
  let slots = 0;
  subscribersOf(state, pool.id).forEach((subscription, id) => {
    if (!isOfOtherDomain(state, id)) slots += subscription.slots;
  });
  if (slots === 0) return;
  dispatch.pulledAt.set(key, ctx.now);
  liveDomains(state).forEach((domain) => {
    if (domain === self.domain) return;
    const isNear = membersOf(state, domain)[0]?.region === self.region;
    if (!isNear && !pool.crossRegion) return;
    const relay = demandRelay(state, domain, pool.id);
    if (relay === undefined) return;
    send(ctx, relay, pool, slots, isNear ? 0 : pool.crossRegionPriceMs);
  });
}

function send(
  ctx: CoreContext,
  relay: InstanceId,
  pool: PoolConfig,
  slots: number,
  minWaitedMs: Millis,
): void {
  const validMs = LOST_RENEWALS * ctx.state.settings.pullMs;
  sendTo(ctx, relay, {
    $case: 'demandRequest',
    value: { pool: pool.number, slots, validMs, minWaitedMs },
  });
}

/** Reads the load of upstreams that this instance has begun to own. */
function pollNewUpstreams(ctx: CoreContext): void {
  ownedByPool(ctx.state).forEach((upstreams) => {
    upstreams.forEach((upstream) => {
      if (!ctx.state.dispatch.slots.has(upstream.id)) poll(ctx, upstream);
    });
  });
}

function isOfOtherDomain(state: CoreState, id: InstanceId): boolean {
  return state.membership.members.get(id)?.domain !== state.self.domain;
}

function subscribersOf(state: CoreState, pool: PoolId): Map<InstanceId, DemandSubscription> {
  const { subscriptions } = state.dispatch;
  const subscribers = subscriptions.get(pool) ?? new Map<InstanceId, DemandSubscription>();
  subscriptions.set(pool, subscribers);
  return subscribers;
}
