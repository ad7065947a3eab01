/** The planned stop of this instance: not ready first, then it ends what it accepted and leaves. */
import type { CoreContext } from '../context.js';
import { forEachOther, setOwnPhase } from '../membership/membership.js';
import { sendTo } from '../context.js';

export function onPlannedStop(ctx: CoreContext): void {
  const { drain } = ctx.state;
  if (drain.isStopping) return;
  drain.isStopping = true;
  ctx.emit({ kind: 'setReady', ready: false });
  setOwnPhase(ctx, 'leaving');
  checkStopped(ctx);
}

/** Announces the end once no accepted request is left. */
export function checkStopped(ctx: CoreContext): void {
  const { drain, requests, self } = ctx.state;
  if (!drain.isStopping || drain.hasStopped || requests.active.size > 0) return;
  drain.hasStopped = true;
  forEachOther(ctx.state, (member) => {
    sendTo(ctx, member.id, { $case: 'leaving', value: { incarnation: self.incarnation } });
  });
  ctx.emit({ kind: 'stopped' });
}
