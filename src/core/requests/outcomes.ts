/** The outcomes that end a request: each request gets exactly one. */
import type { CoreContext } from '../context.js';
import { withdraw } from '../dispatch/queues.js';
import { checkStopped } from '../drain/drain.js';
import type { ActiveRequest, NotRunProblem, Problem, RequestId, UntriedRequest } from '../types.js';

/** Whether no upstream has seen the request. */
export function isUntried(request: ActiveRequest): request is UntriedRequest {
  return request.state === 'accepted' || request.state === 'waiting' || request.state === 'granted';
}

/** Tells the caller that its request was not run. */
export function refuseRequest(
  ctx: CoreContext,
  request: UntriedRequest,
  problem: NotRunProblem,
): void {
  withdraw(ctx, request.facts);
  ctx.emit({ kind: 'refuse', requestId: request.facts.requestId, problem });
  endRequest(ctx, request.facts.requestId);
}

/** Tells the caller that its request failed after an attempt. */
export function failRequest(ctx: CoreContext, requestId: RequestId, problem: Problem): void {
  ctx.emit({ kind: 'fail', requestId, problem });
  endRequest(ctx, requestId);
}

/** Forgets a request whose outcome was told. */
export function endRequest(ctx: CoreContext, requestId: RequestId): void {
  ctx.state.requests.active.delete(requestId);
  checkStopped(ctx);
}
