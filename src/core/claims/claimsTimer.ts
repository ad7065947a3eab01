/** The timer of claims: time-outs, records that were not read back, reading and checkpoints. */
import { setTimer, type CoreContext } from '../context.js';
import { timeOutClaims } from './claims.js';
import { expireQueries } from './duplicates.js';
import { forgetOldKeys } from './knownKeys.js';
import { continueReading, writeCheckpoint } from './reading.js';
import { resubmitUnseen } from './submission.js';

export function onClaimsTimer(ctx: CoreContext): void {
  timeOutClaims(ctx);
  expireQueries(ctx);
  forgetOldKeys(ctx.state, ctx.now);
  resubmitUnseen(ctx);
  continueReading(ctx);
  writeCheckpoint(ctx);
  setTimer(ctx, 'claims', ctx.state.settings.claimTickMs);
}
