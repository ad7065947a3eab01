/**
 * Owner side of dispatch: keeps the waiting counts of the entries and gives each free slot of an
 * owned upstream to the waiting customer with the least virtual service.
 */
import { sendTo, setTimer, type CoreContext } from '../context.js';
import { takesNewWork } from '../drain/upstreams.js';
import { isLive } from '../membership/membership.js';
import { forEachOwned } from '../ownership/ownership.js';
import { leastServed } from '../shares/shares.js';
import type { CoreState } from '../state.js';
import type {
  CustomerNumber,
  GrantId,
  InstanceId,
  PeerMessageOf,
  PoolConfig,
  UpstreamConfig,
  UpstreamId,
} from '../types.js';
import type { IssuedGrant } from './dispatchState.js';

type Demand = Map<InstanceId, Map<CustomerNumber, number>>;

export function onWaitingUpdate(
  ctx: CoreContext,
  entry: InstanceId,
  update: PeerMessageOf<'waitingUpdate'>,
): void {
  const pool = ctx.state.configuration.view?.poolsByNumber.get(update.pool);
  if (pool === undefined) return;
  const { demand } = ctx.state.dispatch;
  const ofPool: Demand = demand.get(pool.id) ?? new Map();
  demand.set(pool.id, ofPool);
  const counts = new Map<CustomerNumber, number>();
  update.customers.forEach((customer, i) => counts.set(customer, update.counts[i] ?? 0));
  ofPool.set(entry, counts);
  assignFreeSlots(ctx);
}

export function onGrantReturn(ctx: CoreContext, ids: readonly GrantId[]): void {
  ids.forEach((id) => freeSlot(ctx.state, id));
  assignFreeSlots(ctx);
}

export function onSlotUpdate(ctx: CoreContext, update: PeerMessageOf<'slotUpdate'>): void {
  const { issued } = ctx.state.dispatch;
  const expiresAt = ctx.now + ctx.state.settings.memberTimeoutMs;
  update.running.forEach((id) => {
    const grant = issued.get(id);
    if (grant !== undefined) grant.expiresAt = expiresAt;
  });
  update.ended.forEach((id) => freeSlot(ctx.state, id));
  assignFreeSlots(ctx);
}

/** Reads the load of the owned upstreams and frees the slots of expired grants. */
export function onPollTimer(ctx: CoreContext): void {
  const { state } = ctx;
  forEachOwned(state, (upstream) => {
    if (!upstream.reportsLoad) return;
    ctx.emit({ kind: 'pollUpstream', upstream: upstream.id, url: upstream.url, cacheAfter: 0 });
  });
  expireGrants(ctx);
  assignFreeSlots(ctx);
  setTimer(ctx, 'poll', state.settings.pollMs);
}

/** Grants free slots until no slot is free or nobody waits. */
export function assignFreeSlots(ctx: CoreContext): void {
  const { view } = ctx.state.configuration;
  if (view === undefined) return;
  forEachOwned(ctx.state, (upstream) => {
    const pool = view.pools.get(upstream.pool);
    if (pool === undefined || !takesNewWork(ctx.state, upstream.id)) return;
    while (usedSlots(ctx.state, upstream.id) < upstream.slots) {
      if (!grantNext(ctx, pool, upstream)) return;
    }
  });
}

function grantNext(ctx: CoreContext, pool: PoolConfig, upstream: UpstreamConfig): boolean {
  const demand = ctx.state.dispatch.demand.get(pool.id);
  if (demand === undefined) return false;
  const customer = leastServed(ctx.state, waitingCustomers(ctx.state, demand), pool.id);
  if (customer === undefined) return false;
  const entry = entryWith(ctx.state, demand, customer);
  if (entry === undefined) return false;
  takeOne(demand, entry, customer);
  issueGrant(ctx, entry, pool, customer, upstream);
  return true;
}

function issueGrant(
  ctx: CoreContext,
  entry: InstanceId,
  pool: PoolConfig,
  customer: CustomerNumber,
  upstream: UpstreamConfig,
): void {
  const { dispatch, settings } = ctx.state;
  const grantId = dispatch.nextGrant;
  dispatch.nextGrant += 1;
  const grant: IssuedGrant = {
    grantId,
    entry,
    pool: pool.id,
    customer,
    upstream: upstream.id,
    expiresAt: ctx.now + settings.memberTimeoutMs,
  };
  dispatch.issued.set(grantId, grant);
  dispatch.slotsInUse.set(upstream.id, usedSlots(ctx.state, upstream.id) + 1);
  sendTo(ctx, entry, {
    $case: 'grant',
    value: {
      grantId,
      pool: pool.number,
      customer,
      upstream: upstream.id,
      expiresInMs: settings.grantTimeoutMs,
    },
  });
}

function waitingCustomers(state: CoreState, demand: Demand): ReadonlySet<CustomerNumber> {
  const customers = new Set<CustomerNumber>();
  demand.forEach((counts, entry) => {
    if (!isLive(state, entry)) return;
    counts.forEach((_, customer) => customers.add(customer));
  });
  return customers;
}

function entryWith(
  state: CoreState,
  demand: Demand,
  customer: CustomerNumber,
): InstanceId | undefined {
  let best: InstanceId | undefined;
  let most = 0;
  demand.forEach((counts, entry) => {
    const waiting = counts.get(customer) ?? 0;
    if (waiting <= most || !isLive(state, entry)) return;
    best = entry;
    most = waiting;
  });
  return best;
}

function takeOne(demand: Demand, entry: InstanceId, customer: CustomerNumber): void {
  const counts = demand.get(entry);
  const left = (counts?.get(customer) ?? 0) - 1;
  if (left > 0) counts?.set(customer, left);
  else counts?.delete(customer);
}

function usedSlots(state: CoreState, upstream: UpstreamId): number {
  return state.dispatch.slotsInUse.get(upstream) ?? 0;
}

function freeSlot(state: CoreState, id: GrantId): void {
  const { issued, slotsInUse } = state.dispatch;
  const grant = issued.get(id);
  if (grant === undefined) return;
  issued.delete(id);
  slotsInUse.set(grant.upstream, Math.max(0, usedSlots(state, grant.upstream) - 1));
}

function expireGrants(ctx: CoreContext): void {
  ctx.state.dispatch.issued.forEach((grant, id) => {
    if (grant.expiresAt < ctx.now || !isLive(ctx.state, grant.entry)) freeSlot(ctx.state, id);
  });
}
