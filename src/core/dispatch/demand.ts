/** The owner's demand table: counts of waiting requests by pool, customer and entry. */
import type { CoreContext } from '../context.js';
import { isLive } from '../membership/memberIndex.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, InstanceId, PeerMessageOf, PoolId } from '../types.js';
import type { PoolDemand, WaitingCount } from './dispatchState.js';

/** Time after which an offer by a relay expires. */
export const OFFER_TTL_MS = 1_000;

/** Returns the demand of a pool, creating it if it does not exist. */
export function demandOf(state: CoreState, pool: PoolId): PoolDemand {
  const { demand } = state.dispatch;
  const ofPool = demand.get(pool) ?? (new Map() as PoolDemand);
  demand.set(pool, ofPool);
  return ofPool;
}

/** Sets the count of one customer at one entry; a count of 0 removes it. */
export function setWaiting(
  state: CoreState,
  pool: PoolId,
  customer: CustomerNumber,
  waiting: WaitingCount,
): void {
  const demand = demandOf(state, pool);
  const entries = demand.get(customer);
  if (waiting.count <= 0) {
    entries?.delete(waiting.entry);
    if (entries?.size === 0) demand.delete(customer);
    return;
  }
  const known = entries?.get(waiting.entry);
  if (known !== undefined) Object.assign(known, waiting);
  else if (entries !== undefined) entries.set(waiting.entry, waiting);
  else demand.set(customer, new Map([[waiting.entry, waiting]]));
}

/** Applies an announcement by an entry, ignoring counts that are older than the stored ones. */
export function applyAnnouncement(
  ctx: CoreContext,
  entry: InstanceId,
  pool: PoolId,
  update: PeerMessageOf<'waitingUpdate'>,
): void {
  const { state } = ctx;
  const demand = demandOf(state, pool);
  const listed = new Set(update.customers);
  if (update.full) {
    demand.forEach((entries, customer) => {
      const known = entries.get(entry);
      if (known === undefined || listed.has(customer) || known.sequence > update.sequence) return;
      removeWaiting(demand, customer, entry);
    });
  }
  let offset = 0;
  update.customers.forEach((customer, i) => {
    const size = update.headSizes[i] ?? 0;
    const heads = update.heads.slice(offset, offset + size);
    offset += size;
    const known = demand.get(customer)?.get(entry);
    if (known !== undefined && known.sequence > update.sequence) return;
    const { sequence } = update;
    const waitingSince = ctx.now - (update.waitedMs[i] ?? 0);
    const count = update.counts[i] ?? 0;
    const expiresAt = Infinity;
    setWaiting(state, pool, customer, { entry, count, sequence, heads, waitingSince, expiresAt });
  });
}

/** Applies an offer forwarded by a relay. Counts announced by the entry itself take precedence. */
export function applyOffer(
  ctx: CoreContext,
  pool: PoolId,
  offer: PeerMessageOf<'demandOffer'>,
): void {
  const { state } = ctx;
  offer.entries.forEach((ofEntry) => {
    ofEntry.customers.forEach((customer, i) => {
      const known = demandOf(state, pool).get(customer)?.get(ofEntry.entry);
      if (known?.expiresAt === Infinity) return;
      setWaiting(state, pool, customer, {
        entry: ofEntry.entry,
        count: ofEntry.counts[i] ?? 0,
        sequence: 0,
        heads: [],
        waitingSince: ctx.now - ofEntry.waitedMs,
        expiresAt: ctx.now + OFFER_TTL_MS,
      });
    });
  });
}

/** Removes expired offers and the work of entries that are no longer live. */
export function pruneDemand(ctx: CoreContext): void {
  ctx.state.dispatch.demand.forEach((demand) => {
    demand.forEach((entries, customer) => {
      entries.forEach((waiting, entry) => {
        const isUsable = isLive(ctx.state, entry) && waiting.expiresAt > ctx.now;
        if (!isUsable) removeWaiting(demand, customer, entry);
      });
    });
  });
}

/** Decrements the count of an entry and moves the entry to the end of the service order. */
export function decrementWaiting(
  demand: PoolDemand,
  customer: CustomerNumber,
  entry: InstanceId,
): void {
  const entries = demand.get(customer);
  const waiting = entries?.get(entry);
  if (entries === undefined || waiting === undefined) return;
  entries.delete(entry);
  waiting.count -= 1;
  if (waiting.count > 0) entries.set(entry, waiting);
  else if (entries.size === 0) demand.delete(customer);
}

function removeWaiting(demand: PoolDemand, customer: CustomerNumber, entry: InstanceId): void {
  const entries = demand.get(customer);
  entries?.delete(entry);
  if (entries?.size === 0) demand.delete(customer);
}
