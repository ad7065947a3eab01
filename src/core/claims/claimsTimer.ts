/** Periodic work of the claims: timeouts, resubmission, reading and checkpoints. */
import { setTimer, type CoreContext } from '../context.js';
import { timeOutClaims } from './claims.js';
import { expireQueries } from './duplicates.js';
import { expireKeys } from './knownKeys.js';
import { continueReading, writeCheckpoint } from './reading.js';
import { resubmitUnconfirmed } from './submission.js';

export function onClaimsTimer(ctx: CoreContext): void {
  timeOutClaims(ctx);
  expireQueries(ctx);
  expireKeys(ctx.state, ctx.now);
  resubmitUnconfirmed(ctx);
  continueReading(ctx);
  writeCheckpoint(ctx);
  setTimer(ctx, 'claims', ctx.state.settings.claimTickMs);
}
