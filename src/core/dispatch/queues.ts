/** The queues of requests that wait at this instance, by pool and customer. */
import { setTimer, type CoreContext } from '../context.js';
import { isRunnable } from '../requests/readiness.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, PoolId, RequestFacts, RequestId, UpstreamId } from '../types.js';

/** Puts a request into the queue of its customer and pool. */
export function enqueue(ctx: CoreContext, facts: RequestFacts): void {
  const queue = queueOf(ctx.state, facts.pool, facts.customer);
  queue.push(facts.requestId);
  noteChange(ctx, facts.pool);
}

/** Takes a request out of its queue, if it is there. */
export function withdraw(ctx: CoreContext, facts: RequestFacts): void {
  const queue = queueOf(ctx.state, facts.pool, facts.customer);
  const index = queue.indexOf(facts.requestId);
  if (index < 0) return;
  queue.splice(index, 1);
  noteChange(ctx, facts.pool);
}

/** Announces every pool with waiting work again, for owners that are new. */
export function announceAll(ctx: CoreContext): void {
  ctx.state.dispatch.queues.forEach((_, pool) => noteChange(ctx, pool));
}

/** Takes the oldest request of a customer that may run on an upstream out of its queue. */
export function takeNext(
  state: CoreState,
  pool: PoolId,
  customer: CustomerNumber,
  upstream: UpstreamId,
): RequestId | undefined {
  const queue = queueOf(state, pool, customer);
  const index = queue.findIndex((id) => isRunnable(state, id, upstream));
  return index < 0 ? undefined : queue.splice(index, 1)[0];
}

function queueOf(state: CoreState, pool: PoolId, customer: CustomerNumber): RequestId[] {
  const { queues } = state.dispatch;
  const ofPool = queues.get(pool) ?? new Map<CustomerNumber, RequestId[]>();
  queues.set(pool, ofPool);
  const queue = ofPool.get(customer) ?? [];
  ofPool.set(customer, queue);
  return queue;
}

/** Has the waiting counts of a pool announced soon. */
export function noteChange(ctx: CoreContext, pool: PoolId): void {
  const { dispatch, settings } = ctx.state;
  if (dispatch.changedPools.size === 0) setTimer(ctx, 'announce', settings.announceMs);
  dispatch.changedPools.add(pool);
}
