/**
 * Handles the answers and outcomes of attempts, and sends requests to other upstreams. A non-repeatable request
 * is sent again only if no upstream can have run it. Likewise, a request is refused with a status
 * that says that it has not run only if that is certain; otherwise the caller gets an error that
 * does not say whether it ran.
 */
import { Debug } from '../../core/debug.js';
import type { Millis } from '../../core/clock.js';
import { emit, logInfo, logWarning, type RoutingContext } from '../context.js';
import type { RoutingEventCode } from '../eventTable.js';
import { recordRate } from '../rateLimits/statements.js';
import { recordAnswered } from '../suspects/suspects.js';
import type { AttemptOutcome, LocalStatus, RoutingEvent } from '../types.js';
import { hasOpenUpstream } from '../upstreams/availability.js';
import { markAnswering } from '../upstreams/health.js';
import { recordLeaving } from '../upstreams/leaving.js';
import { recordPause, returnAfterPause } from '../upstreams/pauses.js';
import { recordStream } from '../versions/streams.js';
import {
  findUpstream,
  recordFirstPart,
  recordLateOutcome,
  recordOutcome,
  releaseAttempt,
} from './accounting.js';
import type { Attempt, OpenRequest } from './attemptsState.js';
import { retryElsewhere } from './retrying.js';
import {
  FIRST_ERROR_STATUS,
  MISDIRECTED_STATUS,
  NOT_RUN_STATUSES,
  UNAVAILABLE_STATUS,
} from './statuses.js';

/**
 * Minimum retry delay of callers whose request was declined by every upstream that it may be sent
 * to. Jitter at most doubles it.
 */
const DECLINED_RETRY_AFTER_MS: Millis = 200;
/** Time for which an answer has run if its request does not crash the upstream as it begins. */
const SOUND_ANSWER_MS: Millis = 1_000;
type AttemptAnsweredEvent = Extract<RoutingEvent, { readonly kind: 'attemptAnswered' }>;

export function onAttemptAnswered(ctx: RoutingContext, event: AttemptAnsweredEvent): void {
  const attempt = ctx.state.requests.attempts.get(event.attempt);
  if (attempt === undefined) return;
  const upstream = findUpstream(ctx, attempt);
  if (upstream !== undefined) markAnswering(ctx, upstream);
  const request = ctx.state.requests.open.get(attempt.request);
  // Another upstream that has taken over the address speaks of itself.
  if (event.status !== MISDIRECTED_STATUS) recordStatements(ctx, attempt, event, request);
  // The host holds back error responses until the core decides whether to forward them.
  if (request === undefined) return;
  if (event.status < FIRST_ERROR_STATUS) noteAnswerStart(ctx, request, attempt);
  request.isWithdrawing = false;
}

/** Binds a stream that may be resumed to the software version that begins it. */
function noteAnswerStart(
  ctx: RoutingContext,
  request: OpenRequest,
  { upstreamVersion: version }: Attempt,
): void {
  const isFirst = !request.hasAnswerStarted;
  request.hasAnswerStarted = true;
  if (!isFirst || request.route.mode !== 'resumableStream') return;
  request.versionNeed = version === undefined ? { kind: 'none' } : { kind: 'only', version };
  recordStream(ctx, request.facts.requestId, version);
}

/** Records what an upstream says of itself. */
function recordStatements(
  ctx: RoutingContext,
  attempt: Attempt,
  { status, rate, isLeaving, pause }: AttemptAnsweredEvent,
  request: OpenRequest | undefined,
): void {
  const requestId = request?.facts.requestId;
  if (isLeaving === true)
    recordLeaving(ctx, attempt.upstream, attempt.upstreamStartedAt, requestId);
  const upstream = findUpstream(ctx, attempt);
  if (upstream === undefined) return;
  recordRate(ctx, upstream, rate, attempt.startedAt);
  if (status === UNAVAILABLE_STATUS && pause !== undefined)
    recordPause(ctx, upstream, pause, requestId);
}

export function onAttemptProgress(ctx: RoutingContext, number: number): void {
  const attempt = ctx.state.requests.attempts.get(number);
  if (attempt === undefined) return;
  attempt.lastPartAt = ctx.now;
  const upstream = findUpstream(ctx, attempt);
  if (upstream !== undefined) markAnswering(ctx, upstream);
  if (attempt.firstPartAt === undefined) recordFirstPart(ctx, attempt, upstream);
  else noteRunningAnswer(ctx, attempt, attempt.firstPartAt);
}

/** Clears the request of suspicion once its answer has been running for a while. */
function noteRunningAnswer(ctx: RoutingContext, attempt: Attempt, firstPartAt: Millis): void {
  if (attempt.wasAnswering || ctx.now - firstPartAt < SOUND_ANSWER_MS) return;
  attempt.wasAnswering = true;
  const request = ctx.state.requests.open.get(attempt.request);
  if (request !== undefined) recordAnswered(ctx, request.facts);
}

export function onAttemptEnded(ctx: RoutingContext, number: number, outcome: AttemptOutcome): void {
  const attempt = ctx.state.requests.attempts.get(number);
  if (attempt === undefined) return;
  const upstream = releaseAttempt(ctx, attempt);
  const request = ctx.state.requests.open.get(attempt.request);
  if (upstream !== undefined) recordOutcome(ctx, attempt, upstream, outcome, request);
  else if (request !== undefined) recordLateOutcome(ctx, attempt, outcome, request);
  if (request?.attempt !== number) return;
  request.attempt = undefined;
  request.isWithdrawing = false;
  handleOutcome(ctx, request, attempt, outcome);
}

export function onCallerGone(ctx: RoutingContext, number: number): void {
  const request = ctx.state.requests.open.get(number);
  if (request === undefined) return;
  ctx.state.requests.open.delete(number);
  const { facts, arrivedAt, firstPartAt } = request;
  emit(ctx, { kind: 'count', decision: 'callerGone' });
  logInfo(ctx, 'callerGone', {
    request: facts.requestId,
    afterMs: Math.round(ctx.now - arrivedAt),
    firstPartMs: firstPartAt === undefined ? undefined : Math.round(firstPartAt - arrivedAt),
    upstream: request.tried.at(-1),
  });
  cancelAttempt(ctx, request);
}

/** Cancels the current attempt of a request, if there is one. */
export function cancelAttempt(ctx: RoutingContext, request: OpenRequest): void {
  const { attempt } = request;
  request.attempt = undefined;
  const open = attempt === undefined ? undefined : ctx.state.requests.attempts.get(attempt);
  if (open === undefined) return;
  releaseAttempt(ctx, open);
  emit(ctx, { kind: 'cancel', attempt: open.number });
}

/** Returns when a caller should come back whose request no upstream has taken. */
function declinedRetryAfter(ctx: RoutingContext, { pool }: OpenRequest): Millis {
  const usualMs = DECLINED_RETRY_AFTER_MS * (1 + ctx.state.random.next());
  return hasOpenUpstream(ctx, pool) ? usualMs : Math.max(usualMs, returnAfterPause(ctx, pool));
}

/** Ends a request with an error, or closes the caller's connection if an answer has started. */
export function failRequest(
  ctx: RoutingContext,
  request: OpenRequest,
  status: LocalStatus,
  reason: RoutingEventCode,
  detail: Readonly<Record<string, string | number | undefined>> = {},
): void {
  const { facts, arrivedAt } = request;
  ctx.state.requests.open.delete(facts.request);
  if (request.hasAnswerStarted) emit(ctx, { kind: 'cutAnswer', request: facts.request });
  else {
    const retryAfterMs = status === 503 ? declinedRetryAfter(ctx, request) : 0;
    emit(ctx, {
      kind: 'answer',
      answer: {
        request: facts.request,
        status,
        reason,
        ...(retryAfterMs > 0 ? { retryAfterMs } : {}),
      },
    });
  }
  emit(ctx, { kind: 'count', decision: reason });
  logWarning(ctx, reason, {
    request: facts.requestId,
    status: request.hasAnswerStarted ? undefined : status,
    route: request.route.name,
    customer: request.customer,
    tried: request.tried.join(','),
    unreachable: request.unreachable.join(','),
    afterMs: Math.round(ctx.now - arrivedAt),
    ...detail,
  });
}

function handleOutcome(
  ctx: RoutingContext,
  request: OpenRequest,
  attempt: Attempt,
  outcome: AttemptOutcome,
): void {
  switch (outcome.kind) {
    case 'complete':
      // An answer that ended with its connection may have been broken off by a crash.
      if (outcome.endsWithConnection !== true) recordAnswered(ctx, request.facts);
      completeRequest(ctx, request, attempt, outcome.status);
      return;
    case 'notSent':
      request.tried.pop();
      request.unreachable.push(attempt.upstream);
      if (!retryElsewhere(ctx, request)) {
        failRequest(ctx, request, 503, 'notSent', {
          reason: outcome.reason,
          upstream: attempt.upstream,
        });
      }
      return;
    case 'declined':
      if (!retryElsewhere(ctx, request)) {
        const { status } = outcome;
        failRequest(ctx, request, mayHaveRun(request) ? 502 : 503, 'declined', {
          upstreamStatus: status,
        });
      }
      return;
    case 'failed':
      if (isRepeatable(request) && retryElsewhere(ctx, request)) return;
      handleUpstreamError(ctx, request, attempt, outcome.status);
      return;
    case 'rejected':
      handleUpstreamError(ctx, request, attempt, outcome.status);
      return;
    case 'cut':
      if (isRepeatable(request) && retryElsewhere(ctx, request)) return;
      failRequest(ctx, request, 502, 'answerCut', {
        upstream: attempt.upstream,
        reason: outcome.reason,
        runningMs: Math.round(ctx.now - attempt.startedAt),
        sinceFirstPartMs:
          attempt.firstPartAt === undefined ? undefined : Math.round(ctx.now - attempt.firstPartAt),
      });
      return;
    case 'foreign':
      if (isRepeatable(request) && retryElsewhere(ctx, request)) return;
      failRequest(ctx, request, 502, 'foreignAnswer', { upstream: attempt.upstream });
      return;
    case 'cancelled':
      if (isRepeatable(request) && retryElsewhere(ctx, request)) return;
      failRequest(ctx, request, 504, 'timedOut', {
        upstream: attempt.upstream,
        reason: 'withdrawn, but not sent to another upstream',
      });
      return;
    default:
      Debug.assertNever(outcome);
  }
}

/** Whether a request may be sent again even if an upstream may have run it. */
export function isRepeatable({ route, hasAnswerStarted, firstPartAt }: OpenRequest): boolean {
  // A stream that has started can be resumed only after its first event.
  if (route.mode === 'resumableStream') return !hasAnswerStarted || firstPartAt !== undefined;
  return route.mode === 'idempotent' && !hasAnswerStarted;
}

/** Whether an earlier upstream than the one that declined the request may have run it. */
function mayHaveRun(request: OpenRequest): boolean {
  return request.hasAnswerStarted || request.tried.length > 1;
}

function completeRequest(
  ctx: RoutingContext,
  request: OpenRequest,
  attempt: Attempt,
  status: number,
): void {
  const { facts, arrivedAt, firstPartAt } = request;
  ctx.state.requests.open.delete(facts.request);
  const firstPartMs = (firstPartAt ?? ctx.now) - arrivedAt;
  emit(ctx, { kind: 'count', decision: 'served' });
  emit(ctx, { kind: 'observe', metric: 'firstPart', valueMs: firstPartMs });
  emit(ctx, { kind: 'observe', metric: 'whole', valueMs: ctx.now - arrivedAt });
  logInfo(ctx, 'served', {
    request: facts.requestId,
    status,
    upstream: attempt.upstream,
    firstPartMs: Math.round(firstPartMs),
    expectedMs: Math.round(attempt.expectedMs),
    wholeMs: Math.round(ctx.now - arrivedAt),
    attempts: request.tried.length,
  });
}

/** Forwards an upstream's error, unless its status would claim that the request has not run. */
function handleUpstreamError(
  ctx: RoutingContext,
  request: OpenRequest,
  attempt: Attempt,
  status: number,
): void {
  if (request.hasAnswerStarted) {
    failRequest(ctx, request, 502, 'answerCut', {
      upstream: attempt.upstream,
      upstreamStatus: status,
    });
  } else if (NOT_RUN_STATUSES.has(status)) {
    failRequest(ctx, request, 502, 'upstreamError', {
      upstream: attempt.upstream,
      upstreamStatus: status,
    });
  } else {
    forwardError(ctx, request, attempt, status);
  }
}

function forwardError(
  ctx: RoutingContext,
  request: OpenRequest,
  attempt: Attempt,
  status: number,
): void {
  const { facts } = request;
  ctx.state.requests.open.delete(facts.request);
  emit(ctx, { kind: 'passError', request: facts.request });
  emit(ctx, { kind: 'count', decision: 'upstreamError' });
  logWarning(ctx, 'upstreamError', {
    request: facts.requestId,
    status,
    upstream: attempt.upstream,
    tried: request.tried.join(','),
    afterMs: Math.round(ctx.now - request.arrivedAt),
  });
}
