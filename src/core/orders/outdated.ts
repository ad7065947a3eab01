/** Detection of upstreams that hold another model and are not going to be updated. */
import type { CoreState } from '../state.js';
import type { UpstreamConfig } from '../types.js';

/**
 * Whether demand does not require an owned upstream and it holds another model or version than its
 * placement specifies. It finishes running requests but receives no new ones.
 */
export function isOutdated(state: CoreState, { id, pool }: UpstreamConfig): boolean {
  const { orders, configuration } = state;
  if (!orders.unneeded.has(id)) return false;
  const report = orders.observed.get(id)?.report;
  const placement = configuration.view?.placement.find((each) => each.pool === pool);
  if (report === undefined || placement === undefined) return false;
  return report.model !== placement.model || report.version !== placement.version;
}
