/**
 * The planned stop of this instance: not ready first, then it ends what it accepted, has its records
 * read back from the log, and leaves. Ownership and the appending of claims pass to others at once,
 * since a leaving instance is chosen for neither.
 */
import { unsettledRecords } from '../claims/ownClaims.js';
import { logLine, sendTo, setTimer, type CoreContext } from '../context.js';
import { forEachOther, setOwnPhase } from '../membership/membership.js';

/** Interval at which a stopping instance looks whether its records are in the log. */
const DRAIN_TICK_MS = 100;

export function onPlannedStop(ctx: CoreContext): void {
  const { drain } = ctx.state;
  if (drain.isStopping) return;
  drain.isStopping = true;
  ctx.emit({ kind: 'setReady', ready: false });
  setOwnPhase(ctx, 'leaving');
  checkStopped(ctx);
}

export function onDrainTimer(ctx: CoreContext): void {
  checkStopped(ctx);
}

/** Announces the end once no accepted request is left and the log has what it must have. */
export function checkStopped(ctx: CoreContext): void {
  const { drain, requests, attempts } = ctx.state;
  if (!drain.isStopping || drain.hasStopped) return;
  if (requests.active.size > 0 || attempts.running.size > 0) {
    drain.idleSince = undefined;
    return;
  }
  drain.idleSince ??= ctx.now;
  if (unsettledRecords(ctx.state) > 0 && !hasWaitedForLog(ctx)) {
    setTimer(ctx, 'drain', DRAIN_TICK_MS);
    return;
  }
  leave(ctx);
}

/** An outage of the log must not hold a stop up for ever; unsettled keys are answered `unknown`. */
function hasWaitedForLog(ctx: CoreContext): boolean {
  const since = ctx.state.drain.idleSince ?? ctx.now;
  return ctx.now - since >= ctx.state.settings.drainLogTimeoutMs;
}

function leave(ctx: CoreContext): void {
  const { drain, self } = ctx.state;
  const records = unsettledRecords(ctx.state);
  if (records > 0) logLine(ctx, 'warn', 'drain', 'drainUnsettled', { records });
  drain.hasStopped = true;
  forEachOther(ctx.state, (member) => {
    sendTo(ctx, member.id, { $case: 'leaving', value: { incarnation: self.incarnation } });
  });
  ctx.emit({ kind: 'stopped' });
}
