/**
 * Planned stop of this instance: it becomes not ready, finishes its accepted requests, waits for
 * its records to be read back from the log, and leaves. Ownership and the appending of claims move
 * to other instances immediately, since a leaving instance is not eligible for either.
 */
import { countUnconfirmedRecords } from '../claims/ownClaims.js';
import { emitLog, sendToInstance, setTimer, type CoreContext } from '../context.js';
import { forEachOther, setOwnPhase } from '../membership/membership.js';

/** Interval at which a stopping instance checks whether its records are in the log. */
const DRAIN_TICK_MS = 100;

export function onPlannedStop(ctx: CoreContext): void {
  const { drain } = ctx.state;
  if (drain.isStopping) return;
  drain.isStopping = true;
  ctx.emit({ kind: 'setReady', ready: false });
  setOwnPhase(ctx, 'leaving');
  stopIfDrained(ctx);
}

export function onDrainTimer(ctx: CoreContext): void {
  stopIfDrained(ctx);
}

/** Completes a planned stop once no accepted request is left and the log has all records. */
export function stopIfDrained(ctx: CoreContext): void {
  const { drain, requests, attempts } = ctx.state;
  if (!drain.isStopping || drain.hasStopped) return;
  if (requests.active.size > 0 || attempts.running.size > 0) {
    drain.idleSince = undefined;
    return;
  }
  drain.idleSince ??= ctx.now;
  if (countUnconfirmedRecords(ctx.state) > 0 && !hasLogWaitExpired(ctx)) {
    setTimer(ctx, 'drain', DRAIN_TICK_MS);
    return;
  }
  finishStop(ctx);
}

/**
 * Whether the wait for the log has timed out. An outage of the log must not delay a stop forever;
 * the outcome of unsettled idempotency keys is then reported as `unknown`.
 */
function hasLogWaitExpired(ctx: CoreContext): boolean {
  const since = ctx.state.drain.idleSince ?? ctx.now;
  return ctx.now - since >= ctx.state.settings.drainLogTimeoutMs;
}

function finishStop(ctx: CoreContext): void {
  const { drain, self } = ctx.state;
  const records = countUnconfirmedRecords(ctx.state);
  if (records > 0) emitLog(ctx, 'warn', 'drain', 'drainUnsettled', { records });
  drain.hasStopped = true;
  forEachOther(ctx.state, (member) => {
    sendToInstance(ctx, member.id, { $case: 'leaving', value: { incarnation: self.incarnation } });
  });
  ctx.emit({ kind: 'stopped' });
}
