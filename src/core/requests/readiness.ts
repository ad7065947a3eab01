/** Which of the requests in a queue may be dispatched now, and on which upstream. */
import type { CoreState } from '../state.js';
import type { RequestId, UpstreamId } from '../types.js';

/**
 * Whether a queued request may use a grant: one for `upstream`, or any if none is named. Dispatch
 * skips the others, which keep their place in the queue.
 */
export function isRunnable(state: CoreState, requestId: RequestId, upstream?: UpstreamId): boolean {
  const request = state.requests.active.get(requestId);
  if (request === undefined) return false;
  switch (request.state) {
    case 'waiting':
      return true;
    case 'retrying':
      return upstream === undefined || !request.tried.includes(upstream);
    default:
      return false;
  }
}
