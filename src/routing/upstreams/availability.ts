/** Decides whether an upstream may be sent requests at all. How many, and which, is up to placement. */
import type { RoutingContext } from '../context.js';
import type { PoolId } from '../types.js';
import { isLeaving } from './leaving.js';
import { remainingPause } from './pauses.js';
import type { Upstream } from './upstreamsState.js';

export type Availability =
  | 'open'
  /** The platform's list says that it is draining. */
  | 'draining'
  /** It has said in an answer that it leaves. */
  | 'leaving'
  /** It wants no request of this instance for a time. */
  | 'paused'
  /** It does not respond. */
  | 'lost';

/** Returns whether an upstream has said itself that it wants no requests. */
export function isUnwilling(availability: Availability): boolean {
  return availability === 'leaving' || availability === 'paused';
}

/** Returns whether any upstream of a pool may be sent requests. */
export function hasOpenUpstream(ctx: RoutingContext, pool: PoolId): boolean {
  return [...ctx.state.upstreams.byId.values()].some(
    (upstream) => upstream.listed.pool === pool && availabilityOf(ctx, upstream) === 'open',
  );
}

/** Returns whether this instance may send requests to an upstream now, or why not. */
export function availabilityOf(ctx: RoutingContext, upstream: Upstream): Availability {
  if (upstream.listed.phase === 'draining') return 'draining';
  if (isLeaving(ctx, upstream)) return 'leaving';
  if (remainingPause(ctx, upstream) > 0) return 'paused';
  return upstream.reachability.kind === 'lost' ? 'lost' : 'open';
}
