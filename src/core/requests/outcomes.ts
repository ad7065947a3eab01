/** The outcomes that end a request: each request gets exactly one. */
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
  _answer: RecordedAnswer | undefined,
): void {
  const { facts, isCallerGone } = request;
  if (!isCallerGone) ctx.emit({ kind: 'finishAnswer', requestId: facts.requestId });
  endRequest(ctx, facts);
}

/** Tells the caller that its request was not run. */
export function refuseRequest(
  ctx: CoreContext,
  request: UntriedRequest,
  problem: NotRunProblem,
): void {
  ctx.emit({ kind: 'refuse', requestId: request.facts.requestId, problem });
  endRequest(ctx, request.facts);
}

/** Tells the caller that its request failed, or may have run elsewhere under its key. */
export function failRequest(ctx: CoreContext, request: ActiveRequest, problem: Problem): void {
  const isCallerGone = request.state === 'dispatched' && request.isCallerGone;
  if (!isCallerGone) ctx.emit({ kind: 'fail', requestId: request.facts.requestId, problem });
  endRequest(ctx, request.facts);
}

/** Forgets a request whose outcome was told, or whose caller is gone. */
export function endRequest(ctx: CoreContext, facts: RequestFacts): void {
  withdraw(ctx, facts);
  ctx.state.retries.delayed.delete(facts.requestId);
  ctx.state.requests.active.delete(facts.requestId);
  checkStopped(ctx);
}
