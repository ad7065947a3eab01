/** Updates the open work, speed and failure statistics of upstreams from their attempts. */
import type { Millis } from '../../core/clock.js';
import { Debug } from '../../core/debug.js';
import { emit, logWarning, type RoutingContext } from '../context.js';
import { upstreamTime } from '../load/ownDelay.js';
import { poolSpeed } from '../placement/placement.js';
import type { AttemptOutcome } from '../types.js';
import { recordCrash } from '../suspects/suspects.js';
import { recordEndedConnection, recordInterruptedRequest } from '../upstreams/crashes.js';
import { recordFailedConnect, markAnswering, markLost, recordResult } from '../upstreams/health.js';
import {
  hashUpstreamStart,
  type InterruptedRequest,
  type Upstream,
} from '../upstreams/upstreamsState.js';
import type { Attempt, OpenRequest } from './attemptsState.js';
import { MISDIRECTED_STATUS } from './statuses.js';

/** An answer that takes longer than this multiple of the usual time is overlong. */
const OVERLONG_FACTOR = 2;

/** Returns the upstream of an attempt, or `undefined` if it was removed or has restarted since. */
export function findUpstream(ctx: RoutingContext, attempt: Attempt): Upstream | undefined {
  const upstream = ctx.state.upstreams.byId.get(attempt.upstream);
  return upstream?.listed.startedAt === attempt.upstreamStartedAt ? upstream : undefined;
}

/** Removes an attempt and subtracts its work from its upstream. */
export function releaseAttempt(ctx: RoutingContext, attempt: Attempt): Upstream | undefined {
  ctx.state.requests.attempts.delete(attempt.number);
  const upstream = findUpstream(ctx, attempt);
  if (upstream === undefined) return undefined;
  upstream.own.running -= 1;
  upstream.own.heldTokens -= attempt.heldTokens;
  if (attempt.firstPartAt === undefined) removeUnread(upstream, attempt);
  return upstream;
}

function removeUnread(upstream: Upstream, { uncachedTokens }: Attempt): void {
  upstream.own.pendingTokens -= uncachedTokens;
  upstream.unreadRequests -= 1;
}

/** Records the time to the first part of an answer. */
export function recordFirstPart(
  ctx: RoutingContext,
  attempt: Attempt,
  upstream: Upstream | undefined,
): void {
  attempt.firstPartAt = ctx.now;
  const request = ctx.state.requests.open.get(attempt.request);
  if (request !== undefined) request.firstPartAt ??= ctx.now;
  if (upstream === undefined) return;
  removeUnread(upstream, attempt);
  const firstPartMs = ctx.now - attempt.startedAt;
  learnSpeed(ctx, attempt, upstream, firstPartMs);
  const errorMs = Math.abs(firstPartMs - attempt.expectedMs);
  emit(ctx, { kind: 'observe', metric: 'predictionError', valueMs: errorMs });
}

/** Updates the speed of an upstream and its pool, without the delay of this process. */
function learnSpeed(
  ctx: RoutingContext,
  attempt: Attempt,
  upstream: Upstream,
  firstPartMs: Millis,
): void {
  const upstreamMs = upstreamTime(ctx, firstPartMs);
  if (upstreamMs === undefined) return;
  const tokens = { own: attempt.uncachedTokens, ahead: attempt.tokensAhead };
  poolSpeed(ctx, upstream.listed.pool).observe(tokens, upstreamMs);
  upstream.speed.observe(tokens, upstreamMs);
  upstream.speed.observeSlowness(
    (upstreamMs / Math.max(1, attempt.expectedMs)) * upstream.speed.slowness(ctx.now),
    ctx.now,
  );
}

/** Updates the health and speed of an upstream with the outcome of an attempt. */
export function recordOutcome(
  ctx: RoutingContext,
  attempt: Attempt,
  upstream: Upstream,
  outcome: AttemptOutcome,
  request: OpenRequest | undefined,
): void {
  switch (outcome.kind) {
    case 'complete':
      markAnswering(ctx, upstream);
      recordResult(ctx, upstream, false);
      poolSpeed(ctx, upstream.listed.pool).observeHold(ctx.now - attempt.startedAt);
      if (request !== undefined && outcome.endsWithConnection === true)
        recordEndedConnection(ctx, upstream, describeInterruption(ctx, attempt, request));
      return;
    case 'notSent':
      recordFailedConnect(ctx, upstream, outcome.reason);
      return;
    case 'declined':
      // The address has been reassigned to another upstream.
      if (outcome.status === MISDIRECTED_STATUS) markLost(ctx, upstream, 'address reused');
      recordResult(ctx, upstream, true);
      return;
    case 'cut':
      recordResult(ctx, upstream, true);
      if (request !== undefined)
        recordInterruptedRequest(ctx, upstream, describeInterruption(ctx, attempt, request));
      return;
    case 'failed':
    case 'foreign':
      recordResult(ctx, upstream, true);
      return;
    case 'cancelled':
      // An attempt that the instance withdrew, as its upstream did not begin to answer in time.
      if (request?.isWithdrawing === true) recordResult(ctx, upstream, true);
      return;
    case 'rejected':
      return;
    default:
      Debug.assertNever(outcome);
  }
}

/**
 * Records that an upstream had not ended an answer at its time limit. Callers that set short deadlines are
 * no evidence against it, so only an answer that took far longer than others of the pool counts.
 */
export function recordUnfinished(ctx: RoutingContext, upstream: Upstream, ranMs: Millis): void {
  const usualMs = poolSpeed(ctx, upstream.listed.pool).holdMs() ?? 0;
  if (ranMs > usualMs * OVERLONG_FACTOR) recordResult(ctx, upstream, true);
}

/**
 * Records the outcome of an attempt whose upstream is no longer listed as it was. If it has started again
 * and broke off its answer, the request may have crashed it.
 */
export function recordLateOutcome(
  ctx: RoutingContext,
  attempt: Attempt,
  outcome: AttemptOutcome,
  { facts }: OpenRequest,
): void {
  const { upstream: id, upstreamStartedAt: startedAt } = attempt;
  const successor = ctx.state.upstreams.byId.get(id);
  const hasRestarted = successor !== undefined && successor.listed.startedAt > startedAt;
  if (outcome.kind !== 'cut' || !hasRestarted || attempt.wasAnswering) return;
  logWarning(ctx, 'upstreamCrashed', { upstream: id, interrupted: 1, suspected: 1 });
  recordCrash(ctx, facts, {
    upstream: hashUpstreamStart(id, startedAt),
    crashedAt: ctx.now,
    runMs: ctx.now - attempt.startedAt,
  });
}

function describeInterruption(
  ctx: RoutingContext,
  { startedAt, wasAnswering }: Attempt,
  { facts }: OpenRequest,
): InterruptedRequest {
  return { facts, sentAt: startedAt, at: ctx.now, wasAnswering };
}
