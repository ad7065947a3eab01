/**
 * Pulls waiting work through relays. An owner subscribes at the pool's relay in its domain if it
 * has free slots and no known waiting work, or if it knows only work of customers that are ahead of
 * others waiting elsewhere. The relay offers the work it knows and subscribes at the relays of
 * other domains: those of its region for any work, those of other regions only for work that has
 * waited longer than the cross-region price, provided that the pool permits cross-region dispatch.
 */
import { sendToInstance, setTimer, type CoreContext } from '../context.js';
import type { Millis } from '../clock.js';
import { isLive, liveDomains, membersOf } from '../membership/memberIndex.js';
import { accountOf, leastWaitingService, serviceReader } from '../shares/accounts.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, InstanceId, PeerMessageOf, PoolConfig, PoolId } from '../types.js';
import { demandRelay } from './announcements.js';
import {
  assignPool,
  ownedUpstreamsByPool,
  ownedUpstreamsInPool,
  retryReturnedGrants,
  upstreamsWithFreeSlots,
} from './assign.js';
import { applyOffer, decrementWaiting } from './demand.js';
import type { DemandSubscription, PoolDemand, WaitingCount } from './dispatchState.js';
import { pollLoad } from './loadPolls.js';
import { scheduleAnnouncement } from './queues.js';
import { freeSlots, slotsOf } from './slots.js';

/** Number of checks for free slots per renewal interval. */
const CHECKS_PER_PULL = 5;

/** Number of consecutive renewals that may be lost before a subscription expires. */
const MAX_LOST_RENEWALS = 3;

/** Lag, in charge steps, at which work of customers waiting elsewhere is requested. */
const MIN_LAG_STEPS = 2;

/** Number of requests of lagging customers that are asked for beyond one per owned slot. */
const LAG_PREFETCH_REQUESTS = 8;

/** Share of the owned slots for which work is requested in advance. */
const PREFETCH_SHARE = 0.25;

/** Requests work for owned upstreams that have free slots and serves subscriptions. */
export function onAssignTimer(ctx: CoreContext): void {
  const { state } = ctx;
  const { dispatch, settings } = state;
  pollNewUpstreams(ctx);
  reclaimUntakenOffers(ctx);
  ownedUpstreamsByPool(state).forEach((_, pool) => requestDemand(ctx, pool));
  dispatch.subscriptions.forEach((subscribers, poolId) => {
    subscribers.forEach((subscription, id) => {
      if (subscription.until <= ctx.now || !isLive(state, id)) subscribers.delete(id);
    });
    const pool = state.configuration.view?.pools.get(poolId);
    if (pool === undefined || subscribers.size === 0) return;
    serveSubscriptions(ctx, pool);
    requestFromOtherDomains(ctx, pool);
  });
  // Must follow the offers to others, or work that may not run here would always be retried here
  // first.
  retryReturnedGrants(ctx);
  setTimer(ctx, 'assign', settings.pullMs / CHECKS_PER_PULL);
}

/** Re-evaluates local work, so that offered but untaken work counts as waiting again. */
function reclaimUntakenOffers(ctx: CoreContext): void {
  const { dispatch, settings } = ctx.state;
  if (dispatch.ownOffersAt > ctx.now) return;
  dispatch.ownOffersAt = ctx.now + settings.pullMs;
  dispatch.queues.forEach((_, pool) => scheduleAnnouncement(ctx, pool));
}

/** Updates or cancels a subscription, then serves the pool's subscriptions. */
export function onDemandRequest(
  ctx: CoreContext,
  from: InstanceId,
  request: PeerMessageOf<'demandRequest'>,
): void {
  const { state } = ctx;
  const pool = state.configuration.view?.poolsByNumber.get(request.pool);
  if (pool === undefined) return;
  const subscribers = subscriptionsOf(state, pool.id);
  if (request.slots === 0) {
    subscribers.delete(from);
    return;
  }
  subscribers.set(from, {
    slots: request.slots,
    minWaitedMs: request.minWaitedMs,
    below: request.below > 0 ? request.below : Infinity,
    until: ctx.now + request.validMs,
  });
  serveSubscriptions(ctx, pool);
  requestFromOtherDomains(ctx, pool);
}

/** Adds the offered work to the demand table and assigns slots to it. */
export function onDemandOffer(ctx: CoreContext, offer: PeerMessageOf<'demandOffer'>): void {
  const pool = ctx.state.configuration.view?.poolsByNumber.get(offer.pool);
  if (pool === undefined) return;
  applyOffer(ctx, pool.id, offer);
  // An offer consumes the subscription, so further work may be requested immediately.
  const { pulledAt } = ctx.state.dispatch;
  if (pulledAt.has(pool.id)) pulledAt.set(pool.id, -Infinity);
  pulledAt.delete(crossDomainKey(pool.id));
  assignPool(ctx, pool.id);
  serveSubscriptions(ctx, pool);
}

/** Offers waiting work to subscribers; each request is offered to one subscriber. */
export function serveSubscriptions(ctx: CoreContext, pool: PoolConfig): void {
  const { state } = ctx;
  const demand = state.dispatch.demand.get(pool.id);
  const subscribers = state.dispatch.subscriptions.get(pool.id);
  if (demand === undefined || demand.size === 0 || subscribers === undefined) return;
  subscribers.forEach((subscription, id) => {
    if (subscription.until <= ctx.now || subscription.slots <= 0 || id === state.self.id) return;
    sendOffer(ctx, pool, demand, id, subscription);
  });
}

function sendOffer(
  ctx: CoreContext,
  pool: PoolConfig,
  demand: PoolDemand,
  to: InstanceId,
  subscription: DemandSubscription,
): void {
  const { state } = ctx;
  const entries = new Map<InstanceId, { customers: number[]; counts: number[]; since: Millis }>();
  while (subscription.slots > 0) {
    const next = selectOffer(ctx, pool.id, demand, to, subscription);
    if (next === undefined) break;
    const { customer, waiting } = next;
    decrementWaiting(demand, customer, waiting.entry);
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
  sendToInstance(ctx, to, { $case: 'demandOffer', value });
  if (subscription.slots <= 0) state.dispatch.subscriptions.get(pool.id)?.delete(to);
}

/** Returns the waiting customer with the least virtual service that matches the subscription. */
function selectOffer(
  ctx: CoreContext,
  pool: PoolId,
  demand: PoolDemand,
  to: InstanceId,
  subscription: DemandSubscription,
): { readonly customer: CustomerNumber; readonly waiting: WaitingCount } | undefined {
  const account = accountOf(ctx.state, pool);
  if (account === undefined) return undefined;
  const serviceOf = serviceReader(ctx.state, account, 'reserved');
  let best: { customer: CustomerNumber; waiting: WaitingCount } | undefined;
  let least = Infinity;
  const latestStart = ctx.now - subscription.minWaitedMs;
  demand.forEach((entries, customer) => {
    for (const waiting of entries.values()) {
      // Work offered by a relay is not forwarded to another domain.
      const wouldRelayTwice = waiting.expiresAt !== Infinity && isInOtherDomain(ctx.state, to);
      if (waiting.entry === to || wouldRelayTwice || waiting.waitingSince > latestStart) continue;
      const service = serviceOf(customer);
      if (service < least && service < subscription.below) {
        least = service;
        best = { customer, waiting };
      }
      break;
    }
  });
  return best;
}

/** Subscribes at the pool's relay, renews the subscription or cancels it. */
function requestDemand(ctx: CoreContext, poolId: PoolId): void {
  const { state } = ctx;
  const { dispatch, settings } = state;
  const pool = state.configuration.view?.pools.get(poolId);
  const relay = demandRelay(state, state.self.domain, poolId);
  if (pool === undefined || relay === undefined) return;
  const pulledAt = dispatch.pulledAt.get(poolId);
  if (pulledAt !== undefined && ctx.now - pulledAt < settings.pullMs) return;
  const wanted = computeWantedDemand(ctx, poolId, countOwnSlots(ctx, poolId));
  if (wanted === undefined) {
    if (pulledAt === undefined) return;
    dispatch.pulledAt.delete(poolId);
    sendDemandRequest(ctx, relay, pool, { slots: 0, below: Infinity }, 0);
    return;
  }
  dispatch.pulledAt.set(poolId, ctx.now);
  sendDemandRequest(ctx, relay, pool, wanted, 0);
}

/** Returns the key in `pulledAt` for requests that a relay sends on behalf of its domain. */
function crossDomainKey(pool: PoolId): string {
  return `abroad ${pool}`;
}

interface WantedDemand {
  readonly slots: number;
  readonly below: number;
}

/**
 * Determines the work to request: any work if none is known; otherwise work of customers elsewhere
 * that lag behind a customer known here by more than two charge steps, unless enough such work is
 * known.
 */
function computeWantedDemand(
  ctx: CoreContext,
  pool: PoolId,
  slots: SlotTotals,
): WantedDemand | undefined {
  const { state } = ctx;
  const demand = state.dispatch.demand.get(pool);
  if (demand === undefined || demand.size === 0) {
    // Request some work in advance, so that a slot that becomes free can be assigned immediately.
    const prefetched = Math.ceil(slots.all * PREFETCH_SHARE);
    return slots.all > 0 ? { slots: slots.free + prefetched, below: Infinity } : undefined;
  }
  const account = accountOf(state, pool);
  if (account === undefined || slots.all === 0) return undefined;
  const step = state.configuration.view?.fairness.chargeStep ?? 0;
  const services = [...demand.keys()].map(serviceReader(state, account, 'settled'));
  const below = Math.max(...services) - MIN_LAG_STEPS * step;
  if (leastWaitingService(state, account, ctx.now) >= below) return undefined;
  let known = 0;
  [...demand.values()].forEach((entries, i) => {
    if ((services[i] ?? 0) < below)
      entries.forEach(({ count }) => {
        known += count;
      });
  });
  return known >= slots.all ? undefined : { slots: slots.all + LAG_PREFETCH_REQUESTS, below };
}

interface SlotTotals {
  readonly free: number;
  readonly all: number;
}

function countOwnSlots(ctx: CoreContext, pool: PoolId): SlotTotals {
  const { state } = ctx;
  const free = upstreamsWithFreeSlots(ctx, pool).reduce(
    (sum, upstream) => sum + freeSlots(state, upstream, ctx.now),
    0,
  );
  const all = ownedUpstreamsInPool(state, pool).reduce((sum, upstream) => sum + upstream.slots, 0);
  return { free, all };
}

/** Requests work from the relays of other domains on behalf of this relay's domain. */
function requestFromOtherDomains(ctx: CoreContext, pool: PoolConfig): void {
  const { state } = ctx;
  const { dispatch, settings, self } = state;
  const key = crossDomainKey(pool.id);
  if (ctx.now - (dispatch.pulledAt.get(key) ?? -Infinity) < settings.pullMs) return;
  const slots = { free: 0, all: 0 };
  subscriptionsOf(state, pool.id).forEach((subscription, id) => {
    if (isInOtherDomain(state, id)) return;
    if (subscription.below === Infinity) slots.free += subscription.slots;
    slots.all += subscription.slots;
  });
  const wanted = computeWantedDemand(ctx, pool.id, slots);
  if (wanted === undefined) return;
  dispatch.pulledAt.set(key, ctx.now);
  liveDomains(state).forEach((domain) => {
    if (domain === self.domain) return;
    const isSameRegion = membersOf(state, domain)[0]?.region === self.region;
    if (!isSameRegion && !pool.crossRegion) return;
    const relay = demandRelay(state, domain, pool.id);
    if (relay === undefined) return;
    sendDemandRequest(ctx, relay, pool, wanted, isSameRegion ? 0 : pool.crossRegionPriceMs);
  });
}

function sendDemandRequest(
  ctx: CoreContext,
  relay: InstanceId,
  pool: PoolConfig,
  wanted: WantedDemand,
  minWaitedMs: Millis,
): void {
  const validMs = MAX_LOST_RENEWALS * ctx.state.settings.pullMs;
  const below = wanted.below === Infinity ? 0 : wanted.below;
  sendToInstance(ctx, relay, {
    $case: 'demandRequest',
    value: { pool: pool.number, slots: wanted.slots, validMs, minWaitedMs, below },
  });
}

/** Polls the load of newly owned upstreams. */
function pollNewUpstreams(ctx: CoreContext): void {
  ownedUpstreamsByPool(ctx.state).forEach((upstreams) => {
    upstreams.forEach((upstream) => {
      if (!slotsOf(ctx.state, upstream).isPolled) pollLoad(ctx, upstream);
    });
  });
}

function isInOtherDomain(state: CoreState, id: InstanceId): boolean {
  return state.membership.members.get(id)?.domain !== state.self.domain;
}

function subscriptionsOf(state: CoreState, pool: PoolId): Map<InstanceId, DemandSubscription> {
  const { subscriptions } = state.dispatch;
  const subscribers = subscriptions.get(pool) ?? new Map<InstanceId, DemandSubscription>();
  subscriptions.set(pool, subscribers);
  return subscribers;
}
