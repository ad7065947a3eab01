/** The queues of requests that wait at this instance, by pool and customer. */
import type { CoreContext } from '../context.js';
import type { Millis } from '../clock.js';
import { concurrencyHeadroom, noteQueued } from '../limits/limits.js';
import { isRunnable } from '../requests/readiness.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, PoolId, RequestFacts, RequestId, UpstreamId } from '../types.js';

/** Largest count that is announced; more makes no difference to an owner. */
const LARGEST_COUNT = 64;

/** Puts a request into the queue of its customer and pool. */
export function enqueue(ctx: CoreContext, facts: RequestFacts): void {
  queueOf(ctx.state, facts.pool, facts.customer).push(facts.requestId);
  noteQueued(ctx, facts.customer, 1, facts.bodyBytes);
  noteChange(ctx, facts.pool, facts.customer);
}

/** Takes a request out of its queue, if it is there. */
export function withdraw(ctx: CoreContext, facts: RequestFacts): void {
  const queue = ctx.state.dispatch.queues.get(facts.pool)?.get(facts.customer);
  const index = queue?.indexOf(facts.requestId) ?? -1;
  if (queue === undefined || index < 0) return;
  queue.splice(index, 1);
  noteQueued(ctx, facts.customer, -1, facts.bodyBytes);
  forgetEmpty(ctx.state, facts.pool, facts.customer, queue);
  noteChange(ctx, facts.pool, facts.customer);
}

/** Has every pool with waiting work looked at again, for owners that are new. */
export function announceAll(ctx: CoreContext): void {
  ctx.state.dispatch.queues.forEach((_, pool) => noteChange(ctx, pool));
}

/** Takes the oldest request of a customer that may run, on the upstream if one is named. */
export function takeNext(
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
  noteQueued({ state }, customer, -1, bytes);
  forgetEmpty(state, pool, customer, queue);
  return requestId;
}

/** Returns the next request of a customer that may run, without taking it. */
export function peekNext(
  state: CoreState,
  pool: PoolId,
  customer: CustomerNumber,
): RequestId | undefined {
  const queue = state.dispatch.queues.get(pool)?.get(customer);
  return queue?.find((id) => isRunnable(state, id));
}

/** Returns how many requests of a customer could be dispatched now, up to a limit. */
export function runnableCount(state: CoreState, pool: PoolId, customer: CustomerNumber): number {
  const queue = state.dispatch.queues.get(pool)?.get(customer);
  if (queue === undefined) return 0;
  const most = Math.min(LARGEST_COUNT, concurrencyHeadroom(state, customer));
  let count = 0;
  for (const id of queue) {
    if (count >= most) break;
    if (isRunnable(state, id)) count += 1;
  }
  return count;
}

/** Has the waiting work of a pool, or of one customer in it, looked at after the due events. */
export function noteChange(ctx: CoreContext, pool: PoolId, customer?: CustomerNumber): void {
  markChanged(ctx.state, pool, customer);
  wakeAnnouncer(ctx, ctx.now);
}

/** Has the waiting work of a pool, or of one customer in it, looked at after the announce interval. */
export function noteChangeLater(ctx: CoreContext, pool: PoolId, customer?: CustomerNumber): void {
  markChanged(ctx.state, pool, customer);
  wakeAnnouncer(ctx, ctx.now + ctx.state.settings.announceMs);
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

/** Sets the announce timer unless it is due earlier. */
export function wakeAnnouncer(ctx: CoreContext, at: Millis): void {
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

function forgetEmpty(
  state: CoreState,
  pool: PoolId,
  customer: CustomerNumber,
  queue: readonly RequestId[],
): void {
  if (queue.length === 0) state.dispatch.queues.get(pool)?.delete(customer);
}
