/** Cancellation of attempts, and whether they have forwarded any output. */
import type { CoreContext } from '../context.js';
import type { CoreState } from '../state.js';
import type { AttemptId, DispatchedRequest } from '../types.js';

/** Cancels an attempt whose response is no longer needed. */
export function cancelAttempt(ctx: CoreContext, id: AttemptId): void {
  const attempt = ctx.state.attempts.running.get(id);
  if (attempt === undefined) return;
  ctx.emit({ kind: 'cancelAttempt', attemptId: id, upstream: attempt.grant.upstream });
}

/** Whether any byte of a response was forwarded to the caller of a dispatched request. */
export function hasForwarded(state: CoreState, request: DispatchedRequest): boolean {
  const attempt = state.attempts.running.get(request.attempt);
  return request.hasForwarded || (attempt?.hasForwarded ?? false);
}
