/** Outcomes of requests. Each request ends with exactly one. */
import { isClaimWon } from '../claims/ownClaims.js';
import { abandonClaim, settleClaim } from '../claims/settlement.js';
import type { CoreContext } from '../context.js';
import { removeFromQueue } from '../dispatch/queues.js';
import { stopIfDrained } from '../drain/drain.js';
import type {
  ActiveRequest,
  DispatchedRequest,
  NotRunProblem,
  Problem,
  RecordedAnswer,
  RequestFacts,
  UnexecutedRequest,
} from '../types.js';

/** Whether the request is known not to have been executed by any upstream. */
export function isUnexecuted(request: ActiveRequest): request is UnexecutedRequest {
  return request.state === 'accepted' || request.state === 'waiting' || request.state === 'granted';
}

/** Finishes a request whose whole response has been forwarded. */
export function finishRequest(
  ctx: CoreContext,
  request: DispatchedRequest,
  answer: RecordedAnswer | undefined,
): void {
  const { facts, isCallerGone } = request;
  settleClaim(ctx, facts, answer === undefined ? { executed: 'yes' } : { executed: 'yes', answer });
  if (!isCallerGone) ctx.emit({ kind: 'finishAnswer', requestId: facts.requestId });
  endRequest(ctx, facts);
}

/** Replays the response to an earlier request with the same idempotency key. */
export function replayRequest(ctx: CoreContext, facts: RequestFacts, answer: RecordedAnswer): void {
  ctx.emit({ kind: 'replayAnswer', requestId: facts.requestId, answer });
  endRequest(ctx, facts);
}

/**
 * Ends a request that no upstream has executed and reports this to the caller. If the request has
 * an idempotency key whose claim is not confirmed, an earlier submission with the same key may have
 * been executed, so the problem is reported as `unknown`.
 */
export function refuseRequest(
  ctx: CoreContext,
  request: UnexecutedRequest,
  problem: NotRunProblem,
): void {
  if (isClaimWon(ctx.state, request.facts)) {
    refuseWithKnownKey(ctx, request, problem);
    return;
  }
  const { requestId } = request.facts;
  abandonClaim(ctx, requestId);
  ctx.emit({ kind: 'fail', requestId, problem: { ...problem, executed: 'unknown' } });
  endRequest(ctx, request.facts);
}

/**
 * Reports to the caller that its request was not executed. If the request has an idempotency key,
 * the outcome of that key must be known.
 */
export function refuseWithKnownKey(
  ctx: CoreContext,
  request: UnexecutedRequest,
  problem: NotRunProblem,
): void {
  const { requestId } = request.facts;
  abandonClaim(ctx, requestId);
  ctx.emit({ kind: 'refuse', requestId, problem });
  endRequest(ctx, request.facts);
}

/**
 * Reports to the caller that its request failed, or that another request with its idempotency key
 * may have been executed.
 */
export function failRequest(ctx: CoreContext, request: ActiveRequest, problem: Problem): void {
  const { facts } = request;
  const isCallerGone = request.state === 'dispatched' && request.isCallerGone;
  const executed = problem.executed === 'yes' ? 'yes' : 'unknown';
  settleClaim(ctx, facts, { executed });
  if (!isCallerGone) ctx.emit({ kind: 'fail', requestId: facts.requestId, problem });
  endRequest(ctx, facts);
}

/** Ends a request that was not executed and whose caller has disconnected. */
export function dropRequest(ctx: CoreContext, request: UnexecutedRequest): void {
  abandonClaim(ctx, request.facts.requestId);
  endRequest(ctx, request.facts);
}

/** Removes a request whose outcome was reported or whose caller has disconnected. */
export function endRequest(ctx: CoreContext, facts: RequestFacts): void {
  removeFromQueue(ctx, facts);
  ctx.state.retries.delayed.delete(facts.requestId);
  ctx.state.requests.active.delete(facts.requestId);
  stopIfDrained(ctx);
}
