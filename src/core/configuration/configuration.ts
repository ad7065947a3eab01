/** The configuration in force at this instance. */
import type { CoreContext } from '../context.js';
import { announceAll } from '../dispatch/queues.js';
import { setOwnPhase } from '../membership/membership.js';
import type { ConfigurationView } from '../types.js';

/** Brings a newer view into force; an older one is ignored. */
export function applyView(ctx: CoreContext, view: ConfigurationView): void {
  const { configuration, drain } = ctx.state;
  if (configuration.view !== undefined && configuration.view.version >= view.version) return;
  configuration.view = view;
  if (!drain.isStopping) {
    setOwnPhase(ctx, 'ready');
    ctx.emit({ kind: 'setReady', ready: true });
  }
  announceAll(ctx);
}
