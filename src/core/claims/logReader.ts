/** The one outstanding read of this instance on the streams of claims. */
import type { CoreContext } from '../context.js';
import type { CoreState } from '../state.js';
import { CHECKPOINTS_STREAM, CLAIMS_STREAM } from './submission.js';

/** Largest number of records that one read returns. */
export const READ_LIMIT = 1_000;

/** Sends a read unless one is outstanding. */
export function requestRead(ctx: CoreContext): void {
  const { claims, settings } = ctx.state;
  if (claims.read !== undefined) return;
  const stream = streamOf(ctx.state);
  // A log that fails is asked for an answer at once, so that its return shows soon.
  const isHeldBack = claims.phase === 'following' && claims.failingSince === undefined;
  const waitMs = isHeldBack ? settings.claimReadWaitMs : 0;
  claims.read = { stream, from: claims.next, sentAt: ctx.now };
  ctx.emit({ kind: 'readLog', stream, from: claims.next, limit: READ_LIMIT, waitMs });
}

/** Whether the log has been failing for long enough to count as down. */
export function isLogDown(ctx: CoreContext): boolean {
  const { failingSince } = ctx.state.claims;
  return failingSince !== undefined && ctx.now - failingSince >= ctx.state.settings.logOutageMs;
}

/** Returns the stream that is read now. */
export function streamOf(state: CoreState): string {
  return state.claims.phase === 'locating' ? CHECKPOINTS_STREAM : CLAIMS_STREAM;
}
