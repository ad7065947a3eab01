/** Queues of the requests waiting at this instance, by pool and customer. */
import type { CoreContext } from '../context.js';
import type { Millis } from '../clock.js';
import { concurrencyHeadroom, updateWaitingUsage } from '../limits/limits.js';
import { isRunnable } from '../requests/readiness.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, PoolId, RequestFacts, RequestId, UpstreamId } from '../types.js';

/** Maximum count to announce; larger counts make no difference to an owner. */
const MAX_ANNOUNCED_COUNT = 64;

/** Appends a request to the queue of its pool and customer. */
export function enqueue(ctx: CoreContext, facts: RequestFacts): void {
  queueOf(ctx.state, facts.pool, facts.customer).push(facts.requestId);
  updateWaitingUsage(ctx, facts.customer, 1, facts.bodyBytes);
  scheduleAnnouncement(ctx, facts.pool, facts.customer);
}

/** Removes a request from its queue, if it is queued. */
export function removeFromQueue(ctx: CoreContext, facts: RequestFacts): void {
  const queue = ctx.state.dispatch.queues.get(facts.pool)?.get(facts.customer);
  const index = queue?.indexOf(facts.requestId) ?? -1;
  if (queue === undefined || index < 0) return;
  queue.splice(index, 1);
  updateWaitingUsage(ctx, facts.customer, -1, facts.bodyBytes);
  removeIfEmpty(ctx.state, facts.pool, facts.customer, queue);
  scheduleAnnouncement(ctx, facts.pool, facts.customer);
}

/** Schedules an announcement for every pool with waiting work, so that new owners learn of it. */
export function scheduleAllAnnouncements(ctx: CoreContext): void {
  ctx.state.dispatch.queues.forEach((_, pool) => scheduleAnnouncement(ctx, pool));
}

/** Dequeues a customer's oldest runnable request, restricted to an upstream if one is given. */
export function dequeueNext(
  state: CoreState,
  pool: PoolId,
  customer: CustomerNumber,
  upstream?: UpstreamId,
): RequestId | undefined {
  const queue = state.dispatch.queues.get(pool)?.get(customer);
  if (queue === undefined || concurrencyHeadroom(state, customer) <= 0) return undefined;
  const index = queue.findIndex((id) => isRunnable(state, id, upstream));
  if (index < 0) return undefined;
  const requestId = queue[index] as RequestId;
  queue.splice(index, 1);
  const bytes = state.requests.active.get(requestId)?.facts.bodyBytes ?? 0;
  updateWaitingUsage({ state }, customer, -1, bytes);
  removeIfEmpty(state, pool, customer, queue);
  return requestId;
}

/** Returns a customer's oldest runnable request without dequeuing it. */
export function peekNext(
  state: CoreState,
  pool: PoolId,
  customer: CustomerNumber,
): RequestId | undefined {
  const queue = state.dispatch.queues.get(pool)?.get(customer);
  return queue?.find((id) => isRunnable(state, id));
}

/** Returns the number of a customer's requests that could be dispatched now, up to a limit. */
export function runnableCount(state: CoreState, pool: PoolId, customer: CustomerNumber): number {
  const queue = state.dispatch.queues.get(pool)?.get(customer);
  if (queue === undefined) return 0;
  const maxCount = Math.min(MAX_ANNOUNCED_COUNT, concurrencyHeadroom(state, customer));
  let count = 0;
  for (const id of queue) {
    if (count >= maxCount) break;
    if (isRunnable(state, id)) count += 1;
  }
  return count;
}

/** Schedules an immediate announcement for a pool, or for one of its customers. */
export function scheduleAnnouncement(
  ctx: CoreContext,
  pool: PoolId,
  customer?: CustomerNumber,
): void {
  markChanged(ctx.state, pool, customer);
  setAnnounceTimer(ctx, ctx.now);
}

/** Schedules an announcement for a pool, or one of its customers, after one announce interval. */
export function scheduleDelayedAnnouncement(
  ctx: CoreContext,
  pool: PoolId,
  customer?: CustomerNumber,
): void {
  markChanged(ctx.state, pool, customer);
  setAnnounceTimer(ctx, ctx.now + ctx.state.settings.announceMs);
}

function markChanged(state: CoreState, pool: PoolId, customer: CustomerNumber | undefined): void {
  const { changedPools, changedCustomers } = state.dispatch;
  if (customer === undefined) {
    changedPools.add(pool);
    return;
  }
  const changed = changedCustomers.get(pool) ?? new Set<CustomerNumber>();
  changedCustomers.set(pool, changed);
  changed.add(customer);
}

/** Sets the announce timer unless it is already set to an earlier time. */
export function setAnnounceTimer(ctx: CoreContext, at: Millis): void {
  const { dispatch } = ctx.state;
  if (dispatch.announceAt <= at && dispatch.announceAt > ctx.now) return;
  if (dispatch.announceAt === at) return;
  dispatch.announceAt = at;
  ctx.emit({ kind: 'setTimer', timer: 'announce', at });
}

function queueOf(state: CoreState, pool: PoolId, customer: CustomerNumber): RequestId[] {
  const { queues } = state.dispatch;
  const ofPool = queues.get(pool) ?? new Map<CustomerNumber, RequestId[]>();
  queues.set(pool, ofPool);
  const queue = ofPool.get(customer) ?? [];
  ofPool.set(customer, queue);
  return queue;
}

function removeIfEmpty(
  state: CoreState,
  pool: PoolId,
  customer: CustomerNumber,
  queue: readonly RequestId[],
): void {
  if (queue.length === 0) state.dispatch.queues.get(pool)?.delete(customer);
}
