/** Sends requests to the upstreams that placement has chosen. */
import type { Millis } from '../../core/clock.js';
import { emit, logInfo, type RoutingContext } from '../context.js';
import { connectionLimit, listIds, recordPrefix } from '../placement/placement.js';
import type { LeftOut, Placement } from '../placement/placement.js';
import { recordSentRequest } from '../rateLimits/rateLimits.js';
import { recordAdmitted, requestCost } from '../shares/tokenShares.js';
import type { AttemptPlan, LogFields } from '../types.js';
import { recordSentAfterPause } from '../upstreams/pauses.js';
import { versionOf } from '../versions/versionsState.js';
import type { Attempt, OpenRequest } from './attemptsState.js';

/** Minimum deadline of an attempt, even if no time is left. */
const MIN_DEADLINE_MS: Millis = 1;

/** Sends a request to the upstream of a placement. */
export function sendToUpstream(
  ctx: RoutingContext,
  request: OpenRequest,
  placement: Placement,
  leftOut: LeftOut,
): void {
  const { facts, customer } = request;
  const { id } = placement.upstream.listed;
  const attempt = createAttempt(ctx, request, placement);
  recordPrefix(ctx, facts, placement.upstream);
  recordSentRequest(ctx, placement.upstream);
  recordSentAfterPause(ctx, placement.upstream);
  const isFirst = request.tried.length === 0 && request.unreachable.length === 0;
  if (isFirst && customer !== undefined) {
    recordAdmitted(ctx, customer, requestCost(facts.promptTokens, facts.outputTokens));
  }
  request.tried.push(id);
  emit(ctx, { kind: 'send', plan: createAttemptPlan(ctx, request, attempt, placement) });
  const repeatCode = request.hasAnswerStarted ? 'resumed' : 'retried';
  const code = isFirst ? 'sent' : repeatCode;
  emit(ctx, { kind: 'count', decision: code });
  if (leftOut.unwilling.length > 0) emit(ctx, { kind: 'count', decision: 'unwilling' });
  logInfo(ctx, code, describePlacement(ctx, request, placement, leftOut));
}

/** Creates the attempt and adds its work to the upstream. */
function createAttempt(ctx: RoutingContext, request: OpenRequest, placement: Placement): Attempt {
  const { requests } = ctx.state;
  const { facts } = request;
  const { upstream, uncachedTokens } = placement;
  const attempt: Attempt = {
    number: requests.nextAttempt,
    request: facts.request,
    upstream: upstream.listed.id,
    upstreamStartedAt: upstream.listed.startedAt,
    upstreamVersion: versionOf(upstream.listed),
    startedAt: ctx.now,
    uncachedTokens,
    tokensAhead: placement.tokensAhead,
    heldTokens: facts.promptTokens + facts.outputTokens,
    expectedMs: placement.firstEventMs,
    firstPartAt: undefined,
    lastPartAt: undefined,
    wasAnswering: false,
  };
  requests.nextAttempt += 1;
  requests.attempts.set(attempt.number, attempt);
  request.attempt = attempt.number;
  upstream.own.running += 1;
  upstream.unreadRequests += 1;
  upstream.own.pendingTokens += uncachedTokens;
  upstream.own.heldTokens += attempt.heldTokens;
  return attempt;
}

function createAttemptPlan(
  ctx: RoutingContext,
  request: OpenRequest,
  attempt: Attempt,
  { upstream }: Placement,
): AttemptPlan {
  const { route, pool, customer } = request;
  return {
    attempt: attempt.number,
    request: attempt.request,
    upstream: attempt.upstream,
    address: upstream.listed.address,
    upstreamStartedAt: attempt.upstreamStartedAt,
    ...(customer === undefined ? {} : { customer }),
    deadlineMs: Math.max(MIN_DEADLINE_MS, attemptDeadline(request) - ctx.now),
    mode: route.mode,
    isResumed: request.hasAnswerStarted,
    maxConnections: connectionLimit(ctx, pool),
  };
}

/** Returns the inputs of a placement decision as log fields. */
function describePlacement(
  ctx: RoutingContext,
  { facts, route, customer }: OpenRequest,
  placement: Placement,
  { passedOver, unwilling }: LeftOut,
): LogFields {
  return {
    request: facts.requestId,
    route: route.name,
    customer,
    upstream: placement.upstream.listed.id,
    version: ctx.state.freshness.configuration?.version,
    expectedMs: Math.round(placement.firstEventMs),
    ahead: Math.round(placement.tokensAhead),
    unseen: placement.unseenTokens > 0 ? Math.round(placement.unseenTokens) : undefined,
    uncached: placement.uncachedTokens,
    running: placement.running,
    sharedToRead: placement.rereadTokens,
    parts: facts.prefix.map(({ id }) => id).join(','),
    home: placement.home,
    passedOver: passedOver.length === 0 ? undefined : listIds(passedOver),
    unwilling: unwilling.length === 0 ? undefined : listIds(unwilling),
    takesUp: facts.takesUp === undefined ? undefined : (facts.takesUp.beganAs ?? ''),
    software: facts.takesUp === undefined ? undefined : placement.upstream.listed.version,
  };
}

/** Returns the time at which an attempt must have ended. */
export function attemptDeadline(request: OpenRequest): Millis {
  return request.hasAnswerStarted ? request.deadlineAt : request.dueAt;
}
