/** Detection of unneeded upstreams that hold another model or version and receive no update. */
import type { CoreState } from '../state.js';
import type { UpstreamConfig } from '../types.js';

/**
 * Whether an owned upstream is not needed for the current demand and holds another model or version
 * than its placement specifies. Such an upstream finishes its requests but receives no new ones.
 */
export function isOutdated(state: CoreState, { id, pool }: UpstreamConfig): boolean {
  const { orders, configuration } = state;
  if (!orders.unneeded.has(id)) return false;
  const report = orders.observed.get(id)?.report;
  const placement = configuration.view?.placement.find((candidate) => candidate.pool === pool);
  if (report === undefined || placement === undefined) return false;
  return report.model !== placement.model || report.version !== placement.version;
}
