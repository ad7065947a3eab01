/** Which of the requests in a queue may be dispatched now, and on which upstream. */
import { isClaimWon } from '../claims/ownClaims.js';
import { takesNewWork } from '../drain/upstreams.js';
import { mayRun, mayRunOn } from '../quarantine/suspects.js';
import type { CoreState } from '../state.js';
import type { RequestId, RetryingRequest, UpstreamId, WaitingRequest } from '../types.js';

/**
 * Whether a queued request may use a grant: one for `upstream`, or any if none is named. Dispatch
 * skips the others, which keep their place in the queue.
 */
export function isRunnable(state: CoreState, requestId: RequestId, upstream?: UpstreamId): boolean {
  const request = state.requests.active.get(requestId);
  if (request?.state !== 'waiting' && request?.state !== 'retrying') return false;
  if (!isClaimWon(state, request.facts) || !mayRun(state, request.facts)) return false;
  return upstream === undefined || isRunnableOn(state, request, upstream);
}

/** Whether a queued request may be dispatched to an upstream. */
export function isRunnableOn(
  state: CoreState,
  request: WaitingRequest | RetryingRequest,
  upstream: UpstreamId,
): boolean {
  return (
    isClaimWon(state, request.facts) &&
    mayRunOn(state, request.facts, upstream) &&
    !request.tried.includes(upstream) &&
    takesNewWork(state, upstream)
  );
}
