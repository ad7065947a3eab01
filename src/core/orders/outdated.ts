/** Upstreams that hold something else than their pool's model and are not going to change that. */
import type { CoreState } from '../state.js';
import type { UpstreamConfig } from '../types.js';

/**
 * Whether an owned upstream is not needed by demand and holds another model or version than its
 * placement asks for. It finishes what runs and is given nothing new.
 */
export function isOutdated(state: CoreState, { id, pool }: UpstreamConfig): boolean {
  const { orders, configuration } = state;
  if (!orders.unneeded.has(id)) return false;
  const report = orders.observed.get(id)?.report;
  const placement = configuration.view?.placement.find((each) => each.pool === pool);
  if (report === undefined || placement === undefined) return false;
  return report.model !== placement.model || report.version !== placement.version;
}
