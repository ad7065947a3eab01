/**
 * Balance among the routes that lead to the same upstreams.
 *
 * Load pattern: while more is asked for than the upstreams can process, small requests find room more
 * often than large ones, and those that may wait longer more often than urgent ones. Each instance
 * counts how many requests of each route it admits; a route that fares worse than all together may
 * wait longer, and one that fares better, less.
 */
import type { Millis } from '../../core/clock.js';
import type { RoutingContext } from '../context.js';
import { createDecayingCounts, decay, type DecayingCounts } from '../decay.js';
import type { PoolId, Route } from '../types.js';

/** Time constant of the counts. */
const COUNT_SPAN_MS: Millis = 3_000;
/** Change of the allowed wait for a difference of one in the part that is admitted. */
const GAIN = 3;
const LEAST_WAIT = 0.4;
const GREATEST_WAIT = 2;
/** Fewer requests than this tell nothing. */
const MIN_ASKED = 5;

/** Counts a request as it asks for service. */
export function noteKindAsked(ctx: RoutingContext, pool: PoolId, route: Route): void {
  countsOf(ctx, pool, route).forEach((counts) => {
    counts.asked += 1;
  });
}

/** Counts a request as it is admitted. */
export function noteKindAdmitted(ctx: RoutingContext, pool: PoolId, route: Route): void {
  countsOf(ctx, pool, route).forEach((counts) => {
    counts.admitted += 1;
  });
}

/** Factor of the wait that a route's requests are allowed; 1 if it fares as all do. */
export function waitFactor(ctx: RoutingContext, pool: PoolId, route: Route): number {
  const [all, own] = countsOf(ctx, pool, route);
  if (own.asked < MIN_ASKED) return 1;
  const factor = 1 + GAIN * (all.admitted / all.asked - own.admitted / own.asked);
  return Math.min(GREATEST_WAIT, Math.max(LEAST_WAIT, factor));
}

/** Counts of a pool and of a route to it, as of now. */
function countsOf(
  ctx: RoutingContext,
  pool: PoolId,
  { name }: Route,
): readonly [all: DecayingCounts, own: DecayingCounts] {
  const { kinds } = ctx.state.shares;
  const ofPool = kinds.get(pool) ?? { all: createDecayingCounts(ctx.now), byRoute: new Map() };
  kinds.set(pool, ofPool);
  const own = ofPool.byRoute.get(name) ?? createDecayingCounts(ctx.now);
  ofPool.byRoute.set(name, own);
  [ofPool.all, own].forEach((counts) => decay(counts, ctx.now, COUNT_SPAN_MS));
  return [ofPool.all, own];
}
