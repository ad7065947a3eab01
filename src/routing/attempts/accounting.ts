/** What attempts tell of their upstreams: open work, speed, failures. */
import { Debug } from '../../core/debug.js';
import { emit, type RoutingContext } from '../context.js';
import { poolSpeed } from '../placement/placement.js';
import type { AttemptOutcome } from '../types.js';
import { noteCut } from '../upstreams/crashes.js';
import { noteFailedConnect, noteHeard, noteLost, noteResult } from '../upstreams/health.js';
import type { Upstream } from '../upstreams/upstreamsState.js';
import type { Attempt, OpenRequest } from './attemptsState.js';
import { MISDIRECTED_STATUS } from './statuses.js';

/** The upstream of an attempt, if it is still the same start of it. */
export function upstreamOf(ctx: RoutingContext, attempt: Attempt): Upstream | undefined {
  const upstream = ctx.state.upstreams.byId.get(attempt.upstream);
  return upstream?.listed.bornAt === attempt.bornAt ? upstream : undefined;
}

/** Takes an attempt's work off its upstream. */
export function release(ctx: RoutingContext, attempt: Attempt): Upstream | undefined {
  ctx.state.requests.attempts.delete(attempt.number);
  const upstream = upstreamOf(ctx, attempt);
  if (upstream === undefined) return undefined;
  upstream.own.running -= 1;
  upstream.own.heldTokens -= attempt.heldTokens;
  if (attempt.firstPartAt === undefined) upstream.own.pendingTokens -= attempt.uncachedTokens;
  return upstream;
}

/** Takes in the time to the first part of an answer. */
export function noteFirstPart(
  ctx: RoutingContext,
  attempt: Attempt,
  upstream: Upstream | undefined,
): void {
  attempt.firstPartAt = ctx.now;
  const request = ctx.state.requests.open.get(attempt.request);
  if (request !== undefined) request.firstPartAt ??= ctx.now;
  if (upstream === undefined) return;
  upstream.own.pendingTokens -= attempt.uncachedTokens;
  const firstMs = ctx.now - attempt.startedAt;
  const { pool } = upstream.listed;
  const tokens = { own: attempt.uncachedTokens, ahead: attempt.tokensAhead };
  poolSpeed(ctx, pool).observe(tokens, firstMs);
  upstream.speed.observe(tokens, firstMs);
  upstream.speed.observeSlowness(
    (firstMs / Math.max(1, attempt.expectedMs)) * upstream.speed.slowness(ctx.now),
    ctx.now,
  );
  const errorMs = Math.abs(firstMs - attempt.expectedMs);
  emit(ctx, { kind: 'observe', metric: 'predictionError', valueMs: errorMs });
}

/** Takes in how an attempt ended. */
export function noteOutcome(
  ctx: RoutingContext,
  attempt: Attempt,
  upstream: Upstream,
  outcome: AttemptOutcome,
  request: OpenRequest | undefined,
): void {
  switch (outcome.kind) {
    case 'complete':
      noteHeard(ctx, upstream);
      noteResult(ctx, upstream, false);
      poolSpeed(ctx, upstream.listed.pool).observeHold(ctx.now - attempt.startedAt);
      return;
    case 'notSent':
      noteFailedConnect(ctx, upstream, outcome.reason);
      return;
    case 'declined':
      // The address belongs to another upstream by now.
      if (outcome.status === MISDIRECTED_STATUS) noteLost(ctx, upstream, 'address reused');
      noteResult(ctx, upstream, true);
      return;
    case 'cut':
      noteResult(ctx, upstream, true);
      if (request !== undefined) noteCut(ctx, upstream, request.facts.fingerprint);
      return;
    case 'failed':
    case 'foreign':
      noteResult(ctx, upstream, true);
      return;
    case 'rejected':
    case 'cancelled':
      return;
    default:
      Debug.assertNever(outcome);
  }
}
