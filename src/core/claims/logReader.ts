/** Reads the claim and claim checkpoint streams, with at most one read outstanding. */
import type { CoreContext } from '../context.js';
import type { CoreState } from '../state.js';
import { CLAIM_CHECKPOINT_STREAM, CLAIMS_STREAM } from './submission.js';

/** Largest number of records that one read returns. */
export const READ_LIMIT = 1_000;

/** Sends a read unless one is outstanding. */
export function requestRead(ctx: CoreContext): void {
  const { claims, settings } = ctx.state;
  if (claims.read !== undefined) return;
  const stream = currentStream(ctx.state);
  // A failing log is read without a long poll, so that its recovery is noticed soon.
  const isLongPoll = claims.phase === 'following' && claims.failingSince === undefined;
  const waitMs = isLongPoll ? settings.claimReadWaitMs : 0;
  claims.read = { stream, from: claims.next, sentAt: ctx.now };
  ctx.emit({ kind: 'readLog', stream, from: claims.next, limit: READ_LIMIT, waitMs });
}

/** Whether the log has been failing for at least `logOutageMs`. */
export function isLogDown(ctx: CoreContext): boolean {
  const { failingSince } = ctx.state.claims;
  return failingSince !== undefined && ctx.now - failingSince >= ctx.state.settings.logOutageMs;
}

/** Returns the stream to read in the current phase. */
export function currentStream(state: CoreState): string {
  return state.claims.phase === 'locating' ? CLAIM_CHECKPOINT_STREAM : CLAIMS_STREAM;
}
