/**
 * Planned stops of upstreams. An upstream that the configuration marks for a planned stop, or that
 * the platform lists as leaving, accepts no new requests; its running streams are left to finish.
 * Owners check this before they grant, and entry instances check it again before they dispatch,
 * since a grant may have been issued before the stop became known.
 */
import type { CoreContext } from '../context.js';
import type { CoreState } from '../state.js';
import type { ListedInstance, UpstreamId } from '../types.js';

/** Whether an upstream has a planned stop and accepts no new requests. */
export function isUpstreamStopping(state: CoreState, upstream: UpstreamId): boolean {
  const { view } = state.configuration;
  return (view?.plannedStops.has(upstream) ?? false) || state.drain.leavingUpstreams.has(upstream);
}

/**
 * Whether an upstream accepts new requests: it has no planned stop, and it is not avoided because a
 * request could not be sent to it.
 */
export function acceptsNewRequests(state: CoreState, upstream: UpstreamId): boolean {
  return !isUpstreamStopping(state, upstream) && !state.attempts.avoided.has(upstream);
}

/** Updates the set of leaving upstreams; one that is listed as live becomes eligible again. */
export function onListedUpstreams(ctx: CoreContext, listed: readonly ListedInstance[]): void {
  const { leavingUpstreams } = ctx.state.drain;
  for (const entry of listed) {
    if (entry.kind === 'upstream' && entry.state === 'leaving') leavingUpstreams.add(entry.id);
    else if (entry.kind === 'upstream') leavingUpstreams.delete(entry.id);
  }
}
