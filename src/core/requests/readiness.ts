/** Determines which queued requests may be dispatched now, and to which upstreams. */
import { isClaimWon } from '../claims/ownClaims.js';
import { acceptsNewRequests } from '../drain/upstreams.js';
import { mayRun, mayRunOn } from '../quarantine/suspects.js';
import type { CoreState } from '../state.js';
import type { RequestId, RetryingRequest, UpstreamId, WaitingRequest } from '../types.js';

/**
 * Whether a queued request may use a grant for `upstream`, or for any upstream if absent. Requests
 * that may not are skipped by dispatch and keep their position in the queue.
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
    acceptsNewRequests(state, upstream)
  );
}
