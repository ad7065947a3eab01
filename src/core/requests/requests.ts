/** Requests that end before their response is complete: expired deadlines, disconnected callers. */
import { expireAvoidedUpstreams } from '../attempts/attempts.js';
import { cancelAttempt, hasForwarded } from '../attempts/cancel.js';
import { needsClaim } from '../claims/ownClaims.js';
import { setTimer, type CoreContext } from '../context.js';
import { Debug } from '../debug.js';
import type { ActiveRequest, ExecutionStatus, Problem, RequestId } from '../types.js';
import { dropRequest, endRequest, failRequest, refuseRequest } from './outcomes.js';

const GATEWAY_TIMEOUT = 504;

/** Ends all requests whose deadline has passed, regardless of their state. */
export function onDeadlinesTimer(ctx: CoreContext): void {
  expireAvoidedUpstreams(ctx);
  ctx.state.requests.active.forEach((request) => {
    if (request.facts.deadlineAt <= ctx.now) endExpiredRequest(ctx, request);
  });
  setTimer(ctx, 'deadlines', ctx.state.settings.deadlineTickMs);
}

/**
 * Ends the request of a caller that has closed its connection. A dispatched request with a claim
 * continues, since its outcome is needed by callers that repeat the idempotency key.
 */
export function onCallerGone(ctx: CoreContext, requestId: RequestId): void {
  const request = ctx.state.requests.active.get(requestId);
  if (request === undefined) return;
  switch (request.state) {
    case 'accepted':
    case 'waiting':
    case 'granted':
      dropRequest(ctx, request);
      return;
    case 'retrying':
      endRequest(ctx, request.facts);
      return;
    case 'dispatched':
      if (needsClaim(request.facts)) {
        ctx.state.requests.active.set(requestId, { ...request, isCallerGone: true });
        return;
      }
      cancelAttempt(ctx, request.attempt);
      endRequest(ctx, request.facts);
      return;
    default:
      Debug.assertNever(request);
  }
}

function endExpiredRequest(ctx: CoreContext, request: ActiveRequest): void {
  switch (request.state) {
    case 'accepted':
    case 'waiting':
    case 'granted':
      refuseRequest(ctx, request, {
        ...createDeadlineProblem(ctx, 'no'),
        executed: 'no',
        step: 'wait',
      });
      return;
    case 'retrying':
      failRequest(
        ctx,
        request,
        createDeadlineProblem(ctx, request.hasForwarded ? 'yes' : 'unknown'),
      );
      return;
    case 'dispatched':
      cancelAttempt(ctx, request.attempt);
      failRequest(
        ctx,
        request,
        createDeadlineProblem(ctx, hasForwarded(ctx.state, request) ? 'yes' : 'unknown'),
      );
      return;
    default:
      Debug.assertNever(request);
  }
}

function createDeadlineProblem(ctx: CoreContext, executed: ExecutionStatus): Problem {
  return {
    code: 'deadlinePassed',
    status: GATEWAY_TIMEOUT,
    executed,
    step: 'stream',
    peer: { kind: 'self' },
    retryAfterMs: ctx.state.settings.retryAfterMs,
  };
}
