/**
 * Pulling: an owner with free slots and no known waiting work has a standing request at the relay
 * of the pool in its domain, and so has an owner that knows only work of customers who are ahead of
 * others waiting elsewhere. The relay passes on what it knows, and asks the relays of the other
 * domains: those of its region for any work, those of other regions only for work that has waited
 * longer than the price of the crossing, if the pool allows crossings at all.
 */
import { sendTo, setTimer, type CoreContext } from '../context.js';
import type { Millis } from '../clock.js';
import { isLive, liveDomains, membersOf } from '../membership/memberIndex.js';
import { accountOf, leastWaiting, serviceReader } from '../shares/accounts.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, InstanceId, PeerMessageOf, PoolConfig, PoolId } from '../types.js';
import { demandRelay } from './announcements.js';
import { assignPool, ownedByPool, ownedInPool, retryReturned, usableUpstreams } from './assign.js';
import { takeOffer, takeOne } from './demand.js';
import type { DemandSubscription, PoolDemand, WaitingCount } from './dispatchState.js';
import { poll } from './loadPolls.js';
import { noteChange } from './queues.js';
import { freeSlots, slotsOf } from './slots.js';

/** Looks at free slots in one interval of renewals. */
const LOOKS_PER_PULL = 5;

/** Renewals that may be lost before a standing request lapses. */
const LOST_RENEWALS = 3;

/** Lag, in charge steps, at which work of customers elsewhere is asked for. */
const LAG_STEPS = 2;

/** Requests of lagging customers that are asked for beyond the owned slots. */
const LAG_AHEAD = 8;

/** Share of the owned slots for which work is asked ahead. */
const AHEAD_SHARE = 0.25;

/** Looks for owned upstreams with free slots and no waiting work, and serves standing requests. */
export function onAssignTimer(ctx: CoreContext): void {
  const { state } = ctx;
  const { dispatch, settings } = state;
  pollNewUpstreams(ctx);
  refreshOwnOffers(ctx);
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
  // After the offers to others, or work that may not run here would be tried here first for ever.
  retryReturned(ctx);
  setTimer(ctx, 'assign', settings.pullMs / LOOKS_PER_PULL);
}

/** Own work that was offered to others and not taken counts as waiting again. */
function refreshOwnOffers(ctx: CoreContext): void {
  const { dispatch, settings } = ctx.state;
  if (dispatch.ownOffersAt > ctx.now) return;
  dispatch.ownOffersAt = ctx.now + settings.pullMs;
  dispatch.queues.forEach((_, pool) => noteChange(ctx, pool));
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
    below: request.below > 0 ? request.below : Infinity,
    until: ctx.now + request.validMs,
  });
  answerSubscriptions(ctx, pool);
  requestAbroad(ctx, pool);
}

export function onDemandOffer(ctx: CoreContext, offer: PeerMessageOf<'demandOffer'>): void {
  const pool = ctx.state.configuration.view?.poolsByNumber.get(offer.pool);
  if (pool === undefined) return;
  takeOffer(ctx, pool.id, offer);
  // An offer uses the standing request up; what is still wanted may be asked for at once.
  const { pulledAt } = ctx.state.dispatch;
  if (pulledAt.has(pool.id)) pulledAt.set(pool.id, -Infinity);
  pulledAt.delete(abroadKey(pool.id));
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
  const account = accountOf(ctx.state, pool);
  if (account === undefined) return undefined;
  const read = serviceReader(ctx.state, account, 'reserved');
  let best: { customer: CustomerNumber; waiting: WaitingCount } | undefined;
  let least = Infinity;
  const latest = ctx.now - subscription.minWaitedMs;
  demand.forEach((entries, customer) => {
    for (const waiting of entries.values()) {
      // What came from another domain's relay is not passed to a further one.
      const isForeign = waiting.expiresAt !== Infinity && isOfOtherDomain(ctx.state, to);
      if (waiting.entry === to || isForeign || waiting.waitingSince > latest) continue;
      const service = read(customer);
      if (service < least && service < subscription.below) {
        least = service;
        best = { customer, waiting };
      }
      break;
    }
  });
  return best;
}

/** Asks the relay of the pool for work, or withdraws the request. */
function requestDemand(ctx: CoreContext, poolId: PoolId): void {
  const { state } = ctx;
  const { dispatch, settings } = state;
  const pool = state.configuration.view?.pools.get(poolId);
  const relay = demandRelay(state, state.self.domain, poolId);
  if (pool === undefined || relay === undefined) return;
  const askedAt = dispatch.pulledAt.get(poolId);
  if (askedAt !== undefined && ctx.now - askedAt < settings.pullMs) return;
  const wanted = wantedDemand(ctx, poolId, sumSlots(ctx, poolId));
  if (wanted === undefined) {
    if (askedAt === undefined) return;
    dispatch.pulledAt.delete(poolId);
    send(ctx, relay, pool, { slots: 0, below: Infinity }, 0);
    return;
  }
  dispatch.pulledAt.set(poolId, ctx.now);
  send(ctx, relay, pool, wanted, 0);
}

/** Key of the requests that a relay makes for its domain. */
function abroadKey(pool: PoolId): string {
  return `abroad ${pool}`;
}

interface WantedDemand {
  readonly slots: number;
  readonly below: number;
}

/**
 * What to ask for: any work if none is known, or that of customers elsewhere who lag behind one
 * known here by more than two charge steps, unless enough of such work is known.
 */
function wantedDemand(ctx: CoreContext, pool: PoolId, slots: OwnSlots): WantedDemand | undefined {
  const { state } = ctx;
  const demand = state.dispatch.demand.get(pool);
  if (demand === undefined || demand.size === 0) {
    // Some work is asked for ahead, so that a slot that becomes free has it at once.
    const ahead = Math.ceil(slots.all * AHEAD_SHARE);
    return slots.all > 0 ? { slots: slots.free + ahead, below: Infinity } : undefined;
  }
  const account = accountOf(state, pool);
  if (account === undefined || slots.all === 0) return undefined;
  const step = state.configuration.view?.fairness.chargeStep ?? 0;
  const services = [...demand.keys()].map(serviceReader(state, account, 'settled'));
  const below = Math.max(...services) - LAG_STEPS * step;
  if (leastWaiting(state, account, ctx.now) >= below) return undefined;
  let known = 0;
  [...demand.values()].forEach((entries, i) => {
    if ((services[i] ?? 0) < below)
      entries.forEach(({ count }) => {
        known += count;
      });
  });
  return known >= slots.all ? undefined : { slots: slots.all + LAG_AHEAD, below };
}

interface OwnSlots {
  readonly free: number;
  readonly all: number;
}

function sumSlots(ctx: CoreContext, pool: PoolId): OwnSlots {
  const { state } = ctx;
  const free = usableUpstreams(ctx, pool).reduce(
    (sum, upstream) => sum + freeSlots(state, upstream, ctx.now),
    0,
  );
  const all = ownedInPool(state, pool).reduce((sum, upstream) => sum + upstream.slots, 0);
  return { free, all };
}

/** As relay, asks the relays of other domains on behalf of this one. */
function requestAbroad(ctx: CoreContext, pool: PoolConfig): void {
  const { state } = ctx;
  const { dispatch, settings, self } = state;
  const key = abroadKey(pool.id);
  if (ctx.now - (dispatch.pulledAt.get(key) ?? -Infinity) < settings.pullMs) return;
  const near = { free: 0, all: 0 };
  subscribersOf(state, pool.id).forEach((subscription, id) => {
    if (isOfOtherDomain(state, id)) return;
    if (subscription.below === Infinity) near.free += subscription.slots;
    near.all += subscription.slots;
  });
  const wanted = wantedDemand(ctx, pool.id, near);
  if (wanted === undefined) return;
  dispatch.pulledAt.set(key, ctx.now);
  liveDomains(state).forEach((domain) => {
    if (domain === self.domain) return;
    const isNear = membersOf(state, domain)[0]?.region === self.region;
    if (!isNear && !pool.crossRegion) return;
    const relay = demandRelay(state, domain, pool.id);
    if (relay === undefined) return;
    send(ctx, relay, pool, wanted, isNear ? 0 : pool.crossRegionPriceMs);
  });
}

function send(
  ctx: CoreContext,
  relay: InstanceId,
  pool: PoolConfig,
  wanted: WantedDemand,
  minWaitedMs: Millis,
): void {
  const validMs = LOST_RENEWALS * ctx.state.settings.pullMs;
  const below = wanted.below === Infinity ? 0 : wanted.below;
  sendTo(ctx, relay, {
    $case: 'demandRequest',
    value: { pool: pool.number, slots: wanted.slots, validMs, minWaitedMs, below },
  });
}

/** Reads the load of upstreams that this instance has begun to own. */
function pollNewUpstreams(ctx: CoreContext): void {
  ownedByPool(ctx.state).forEach((upstreams) => {
    upstreams.forEach((upstream) => {
      if (!slotsOf(ctx.state, upstream).isPolled) poll(ctx, upstream);
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
