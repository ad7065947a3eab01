/** The outcomes that end a request: each request gets exactly one. */
import { isClaimWon } from '../claims/ownClaims.js';
import { abandonClaim, settleClaim } from '../claims/settlement.js';
import type { CoreContext } from '../context.js';
import { withdraw } from '../dispatch/queues.js';
import { checkStopped } from '../drain/drain.js';
import type {
  ActiveRequest,
  DispatchedRequest,
  NotRunProblem,
  Problem,
  RecordedAnswer,
  RequestFacts,
  UntriedRequest,
} from '../types.js';

/** Whether certainly no upstream ran the request. */
export function isUntried(request: ActiveRequest): request is UntriedRequest {
  return request.state === 'accepted' || request.state === 'waiting' || request.state === 'granted';
}

/** Ends the answer of a request, all of which was passed on. */
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

/** Sends the answer that an earlier request with the same key was given. */
export function replayRequest(ctx: CoreContext, facts: RequestFacts, answer: RecordedAnswer): void {
  ctx.emit({ kind: 'replayAnswer', requestId: facts.requestId, answer });
  endRequest(ctx, facts);
}

/**
 * Ends a request that no upstream was given. The caller is told that it was not run, unless the
 * request has a key whose earlier fate this instance does not know: an earlier sending of the same
 * key may have run, so that only `unknown` is true.
 */
export function refuseRequest(
  ctx: CoreContext,
  request: UntriedRequest,
  problem: NotRunProblem,
): void {
  if (isClaimWon(ctx.state, request.facts)) {
    refuseSettledKey(ctx, request, problem);
    return;
  }
  const { requestId } = request.facts;
  abandonClaim(ctx, requestId);
  ctx.emit({ kind: 'fail', requestId, problem: { ...problem, executed: 'unknown' } });
  endRequest(ctx, request.facts);
}

/** Tells the caller that its request was not run; what became of its key, if any, is known. */
export function refuseSettledKey(
  ctx: CoreContext,
  request: UntriedRequest,
  problem: NotRunProblem,
): void {
  const { requestId } = request.facts;
  abandonClaim(ctx, requestId);
  ctx.emit({ kind: 'refuse', requestId, problem });
  endRequest(ctx, request.facts);
}

/** Tells the caller that its request failed, or may have run elsewhere under its key. */
export function failRequest(ctx: CoreContext, request: ActiveRequest, problem: Problem): void {
  const { facts } = request;
  const isCallerGone = request.state === 'dispatched' && request.isCallerGone;
  const executed = problem.executed === 'yes' ? 'yes' : 'unknown';
  settleClaim(ctx, facts, { executed });
  if (!isCallerGone) ctx.emit({ kind: 'fail', requestId: facts.requestId, problem });
  endRequest(ctx, facts);
}

/** Ends a request whose caller is gone and that certainly was not run. */
export function dropRequest(ctx: CoreContext, request: UntriedRequest): void {
  abandonClaim(ctx, request.facts.requestId);
  endRequest(ctx, request.facts);
}

/** Forgets a request whose outcome was told, or whose caller is gone. */
export function endRequest(ctx: CoreContext, facts: RequestFacts): void {
  withdraw(ctx, facts);
  ctx.state.retries.delayed.delete(facts.requestId);
  ctx.state.requests.active.delete(facts.requestId);
  checkStopped(ctx);
}
