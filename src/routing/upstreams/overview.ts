/** Lists what is known of the upstreams, for operators. */
import type { Millis } from '../../core/clock.js';
import type { RoutingContext } from '../context.js';
import type { PoolId, UpstreamId } from '../types.js';
import { availabilityOf, isUnwilling, type Availability } from './availability.js';
import { remainingPause } from './pauses.js';
import type { LeavingStatement } from './upstreamsState.js';

export interface ListedState {
  readonly upstream: UpstreamId;
  readonly pool: PoolId;
  readonly availability: Availability;
  /** Requests of this instance that run there. */
  readonly running: number;
  /** Time since it said that it leaves, and whether it said so to this instance. */
  readonly leavingForMs?: Millis;
  readonly leavingSource?: LeavingStatement['source'];
  /** Time for which it wants no more requests of this instance. */
  readonly pausedForMs?: Millis;
}

/** Lists all upstreams with whether they may be sent requests. */
export function listUpstreamStates(ctx: RoutingContext): readonly ListedState[] {
  const { byId, leaving } = ctx.state.upstreams;
  return [...byId.values()].map((upstream) => {
    const statement = leaving.get(upstream.hash);
    const pausedForMs = remainingPause(ctx, upstream);
    return {
      upstream: upstream.listed.id,
      pool: upstream.listed.pool,
      availability: availabilityOf(ctx, upstream),
      running: upstream.own.running,
      ...(statement === undefined
        ? {}
        : {
            leavingForMs: Math.round(ctx.now - statement.saidAt),
            leavingSource: statement.source,
          }),
      ...(pausedForMs === 0 ? {} : { pausedForMs: Math.round(pausedForMs) }),
    };
  });
}

/** Returns the number of upstreams that have said that they want no requests. */
export function countUnwilling(ctx: RoutingContext): number {
  return [...ctx.state.upstreams.byId.values()].filter((upstream) =>
    isUnwilling(availabilityOf(ctx, upstream)),
  ).length;
}
