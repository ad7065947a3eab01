/** Requests that end before their answer: passed deadlines and callers that leave. */
import { cancelAttempt } from '../attempts/attempts.js';
import { setTimer, type CoreContext } from '../context.js';
import { withdraw } from '../dispatch/queues.js';
import { Debug } from '../debug.js';
import type { RequestId } from '../types.js';
import { endRequest, isUntried, refuseRequest } from './outcomes.js';

/** Refuses requests whose deadline passed before they were dispatched. */
export function onDeadlinesTimer(ctx: CoreContext): void {
  ctx.state.requests.active.forEach((request) => {
    if (request.facts.deadlineAt > ctx.now) return;
    if (isUntried(request)) {
      refuseRequest(ctx, request, {
        code: 'deadlinePassed',
        status: 504,
        executed: 'no',
        step: 'wait',
        peer: { kind: 'self' },
      });
    }
  });
  setTimer(ctx, 'deadlines', ctx.state.settings.deadlineTickMs);
}

/** Ends the work of a caller that has closed its connection. */
export function onCallerGone(ctx: CoreContext, requestId: RequestId): void {
  const request = ctx.state.requests.active.get(requestId);
  if (request === undefined) return;
  switch (request.state) {
    case 'accepted':
    case 'granted':
      break;
    case 'waiting':
    case 'retrying':
      withdraw(ctx, request.facts);
      break;
    case 'dispatched':
      cancelAttempt(ctx, request.attempt);
      break;
    default:
      Debug.assertNever(request);
  }
  endRequest(ctx, requestId);
}
