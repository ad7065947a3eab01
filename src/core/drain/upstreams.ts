/**
 * Planned stops of upstreams. An upstream that the configuration or the platform's list names takes
 * no new work; the streams that run on it end by themselves. Owners ask before they grant and
 * entries ask again before they dispatch, since a grant may be older than the news.
 */
import type { CoreContext } from '../context.js';
import type { CoreState } from '../state.js';
import type { ListedInstance, UpstreamId } from '../types.js';

/** Whether an upstream takes no new work. */
export function isUpstreamStopping(state: CoreState, upstream: UpstreamId): boolean {
  const { view } = state.configuration;
  return (view?.plannedStops.has(upstream) ?? false) || state.drain.leavingUpstreams.has(upstream);
}

/** Whether an upstream may be given work: it is not to stop and has not just refused a connection. */
export function takesNewWork(state: CoreState, upstream: UpstreamId): boolean {
  return !isUpstreamStopping(state, upstream) && !state.attempts.avoided.has(upstream);
}

/** Keeps the upstreams that the list shows as leaving; one that it lists as live takes work again. */
export function onListedUpstreams(ctx: CoreContext, listed: readonly ListedInstance[]): void {
  const { leavingUpstreams } = ctx.state.drain;
  for (const entry of listed) {
    if (entry.kind === 'upstream' && entry.state === 'leaving') leavingUpstreams.add(entry.id);
    else if (entry.kind === 'upstream') leavingUpstreams.delete(entry.id);
  }
}
