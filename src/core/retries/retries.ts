/**
 * Retries: their times and their budget.
 *
 * The budget is a token bucket that is fed at the end of each window. All instances of a failure
 * domain report their first attempts and the retries that they wanted; the domain's allowance, a
 * fixed ratio of its first attempts, is divided by what was wanted. Since each domain stays within
 * the ratio of its own requests, so does the fleet, and no report has to leave the domain.
 */
import { sendTo, setTimer, type CoreContext } from '../context.js';
import { enqueue, noteChange } from '../dispatch/queues.js';
import { forEachOther } from '../membership/membership.js';
import type { CoreState } from '../state.js';
import type { Millis } from '../clock.js';
import type { InstanceId, PeerMessageOf, RequestId } from '../types.js';
import type { RetryUse } from './retriesState.js';

/** Windows of allowance that may be saved up. */
const SAVED_WINDOWS = 10;
/** Doublings of the back-off. */
const MAX_DOUBLINGS = 5;

export function startRetries(ctx: CoreContext): void {
  ctx.state.retries.windowEndsAt = ctx.now + ctx.state.settings.retryWindowMs;
  schedule(ctx);
}

/** Counts a request's first attempt, from which the budget grows. */
export function noteFirstAttempt(state: CoreState): void {
  state.retries.requests += 1;
}

/** Takes one retry out of the budget; false if it is spent. */
export function takeRetry(state: CoreState): boolean {
  const { retries } = state;
  retries.wanted += 1;
  if (retries.tokens < 1) return false;
  retries.tokens -= 1;
  return true;
}

/** Returns a random delay for a retry after `failures` failed attempts. */
export function retryDelay(state: CoreState, failures: number): Millis {
  const doublings = Math.min(failures - 1, MAX_DOUBLINGS);
  return state.random.next() * state.settings.retryBackoffMs * 2 ** doublings;
}

/** Puts a request back into its queue after `delay`. */
export function requeueAfter(ctx: CoreContext, requestId: RequestId, delay: Millis): void {
  ctx.state.retries.delayed.set(requestId, ctx.now + delay);
  if (delay <= 0) releaseDue(ctx);
  else schedule(ctx);
}

export function onRetriesTimer(ctx: CoreContext): void {
  releaseDue(ctx);
  if (ctx.now >= ctx.state.retries.windowEndsAt) closeWindow(ctx);
  schedule(ctx);
}

export function onRetryUsage(
  ctx: CoreContext,
  from: InstanceId,
  use: PeerMessageOf<'retryUsage'>,
): void {
  ctx.state.retries.peers.set(from, use);
}

function releaseDue(ctx: CoreContext): void {
  const { retries, requests } = ctx.state;
  retries.delayed.forEach((at, requestId) => {
    if (at > ctx.now) return;
    retries.delayed.delete(requestId);
    const request = requests.active.get(requestId);
    if (request === undefined) return;
    enqueue(ctx, request.facts);
    noteChange(ctx, request.facts.pool);
  });
}

function closeWindow(ctx: CoreContext): void {
  const { retries, settings } = ctx.state;
  const own: RetryUse = {
    window: retries.window,
    requests: retries.requests,
    retries: retries.wanted,
  };
  feedBudget(ctx.state, own);
  if (own.requests > 0 || own.retries > 0) reportUse(ctx, own);
  retries.window += 1;
  retries.requests = 0;
  retries.wanted = 0;
  retries.windowEndsAt = ctx.now + settings.retryWindowMs;
}

function feedBudget(state: CoreState, own: RetryUse): void {
  const { retries, settings } = state;
  let { requests, retries: wanted } = own;
  let instances = 1;
  retries.peers.forEach((use) => {
    requests += use.requests;
    wanted += use.retries;
    instances += 1;
  });
  // A report counts for one window only, or a lost one would be spent again.
  retries.peers.clear();
  const share = (own.retries + 1) / (wanted + instances);
  const fed = settings.retryRatio * requests * share;
  const limit = Math.max(1, retries.tokens, fed * SAVED_WINDOWS);
  retries.tokens = Math.min(limit, retries.tokens + fed);
}

function reportUse(ctx: CoreContext, own: RetryUse): void {
  forEachOther(ctx.state, (member) => {
    if (member.domain !== ctx.state.self.domain) return;
    sendTo(ctx, member.id, { $case: 'retryUsage', value: own });
  });
}

function schedule(ctx: CoreContext): void {
  const { retries } = ctx.state;
  let at = retries.windowEndsAt;
  retries.delayed.forEach((due) => {
    at = Math.min(at, due);
  });
  setTimer(ctx, 'retries', Math.max(0, at - ctx.now));
}
