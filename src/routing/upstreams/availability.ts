/** Decides whether an upstream may be sent requests at all. How many, and which, is up to placement. */
import type { RoutingContext } from '../context.js';
import { isLeaving } from './leaving.js';
import type { Upstream } from './upstreamsState.js';

export type Availability =
  | 'open'
  /** The platform's list says that it is draining. */
  | 'draining'
  /** It has said in an answer that it leaves. */
  | 'leaving'
  /** It does not respond. */
  | 'lost';

/** Returns whether an upstream responds, but has said itself that it wants no requests. */
export function isUnwilling(availability: Availability): boolean {
  return availability === 'leaving';
}

/** Returns whether this instance may send requests to an upstream now, or why not. */
export function availabilityOf(ctx: RoutingContext, upstream: Upstream): Availability {
  if (upstream.listed.phase === 'draining') return 'draining';
  if (isLeaving(ctx, upstream)) return 'leaving';
  return upstream.reachability.kind === 'lost' ? 'lost' : 'open';
}
