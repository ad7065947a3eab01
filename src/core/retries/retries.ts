/**
 * Scheduling and budget of retries.
 *
 * The budget is a token bucket that is refilled at the end of each window. All instances of a
 * failure domain report their first attempts and the retries they requested. The allowance of the
 * domain, a fixed ratio of its first attempts, is divided in proportion to the requested retries.
 * Since each domain keeps to the ratio for its own requests, so does the fleet, and no report has
 * to leave the domain.
 */
import { sendToInstance, setTimer, type CoreContext } from '../context.js';
import { enqueue, scheduleAnnouncement } from '../dispatch/queues.js';
import { forEachOther } from '../membership/membership.js';
import type { CoreState } from '../state.js';
import type { Millis } from '../clock.js';
import type { InstanceId, PeerMessageOf, RequestId } from '../types.js';
import type { RetryUsage } from './retriesState.js';

/** Number of windows whose allowance may accumulate in the bucket. */
const MAX_SAVED_WINDOWS = 10;
/** Maximum number of times the back-off is doubled. */
const MAX_BACKOFF_DOUBLINGS = 5;

export function startRetries(ctx: CoreContext): void {
  ctx.state.retries.windowEndsAt = ctx.now + ctx.state.settings.retryWindowMs;
  scheduleTimer(ctx);
}

/** Counts the first attempt of a request, on which the budget is based. */
export function recordFirstAttempt(state: CoreState): void {
  state.retries.requests += 1;
}

/** Takes one retry from the budget and returns whether one was available. */
export function consumeRetryBudget(state: CoreState): boolean {
  const { retries } = state;
  retries.wanted += 1;
  if (retries.tokens < 1) return false;
  retries.tokens -= 1;
  return true;
}

/** Returns the randomized exponential back-off of a retry after `failures` failed attempts. */
export function retryDelay(state: CoreState, failures: number): Millis {
  const doublings = Math.min(failures - 1, MAX_BACKOFF_DOUBLINGS);
  return state.random.next() * state.settings.retryBackoffMs * 2 ** doublings;
}

/** Returns a request to its queue after `delay`. */
export function scheduleRequeue(ctx: CoreContext, requestId: RequestId, delay: Millis): void {
  ctx.state.retries.delayed.set(requestId, ctx.now + delay);
  if (delay <= 0) requeueDueRequests(ctx);
  else scheduleTimer(ctx);
}

export function onRetriesTimer(ctx: CoreContext): void {
  requeueDueRequests(ctx);
  if (ctx.now >= ctx.state.retries.windowEndsAt) closeWindow(ctx);
  scheduleTimer(ctx);
}

export function onRetryUsage(
  ctx: CoreContext,
  from: InstanceId,
  usage: PeerMessageOf<'retryUsage'>,
): void {
  ctx.state.retries.peers.set(from, usage);
}

function requeueDueRequests(ctx: CoreContext): void {
  const { retries, requests } = ctx.state;
  retries.delayed.forEach((dueAt, requestId) => {
    if (dueAt > ctx.now) return;
    retries.delayed.delete(requestId);
    const request = requests.active.get(requestId);
    if (request === undefined) return;
    enqueue(ctx, request.facts);
    scheduleAnnouncement(ctx, request.facts.pool);
  });
}

function closeWindow(ctx: CoreContext): void {
  const { retries, settings } = ctx.state;
  const own: RetryUsage = {
    window: retries.window,
    requests: retries.requests,
    retries: retries.wanted,
  };
  refillBudget(ctx.state, own);
  if (own.requests > 0 || own.retries > 0) reportUsage(ctx, own);
  retries.window += 1;
  retries.requests = 0;
  retries.wanted = 0;
  retries.windowEndsAt = ctx.now + settings.retryWindowMs;
}

function refillBudget(state: CoreState, own: RetryUsage): void {
  const { retries, settings } = state;
  let { requests, retries: wanted } = own;
  let instances = 1;
  retries.peers.forEach((usage) => {
    requests += usage.requests;
    wanted += usage.retries;
    instances += 1;
  });
  // A report counts for one window only: if the next one is lost, it must not be counted again.
  retries.peers.clear();
  const share = (own.retries + 1) / (wanted + instances);
  const refill = settings.retryRatio * requests * share;
  const limit = Math.max(1, retries.tokens, refill * MAX_SAVED_WINDOWS);
  retries.tokens = Math.min(limit, retries.tokens + refill);
}

function reportUsage(ctx: CoreContext, own: RetryUsage): void {
  forEachOther(ctx.state, (member) => {
    if (member.domain !== ctx.state.self.domain) return;
    sendToInstance(ctx, member.id, { $case: 'retryUsage', value: own });
  });
}

function scheduleTimer(ctx: CoreContext): void {
  const { retries } = ctx.state;
  let nextAt = retries.windowEndsAt;
  retries.delayed.forEach((due) => {
    nextAt = Math.min(nextAt, due);
  });
  setTimer(ctx, 'retries', Math.max(0, nextAt - ctx.now));
}
