/**
 * Balances admission among the routes that share a pool of upstreams.
 *
 * Load pattern: under overload, small requests find capacity more often than large ones, and
 * requests with a long allowed wait more often than urgent ones. Each instance counts the requests
 * of each route that it admits; a route whose admission rate is below that of the whole pool may
 * wait longer, and one above it, less.
 */
import type { Millis } from '../../core/clock.js';
import type { RoutingContext } from '../context.js';
import { createDecayingCounts, decay, type DecayingCounts } from '../decay.js';
import type { PoolId, Route } from '../types.js';

/** Time constant of the decaying counts. */
const COUNT_TIME_CONSTANT_MS: Millis = 3_000;
/** Change of the wait factor per unit of difference between the admission rates. */
const GAIN = 3;
const MIN_WAIT_FACTOR = 0.4;
const MAX_WAIT_FACTOR = 2;
/** With fewer requests than this, the admission rate is not meaningful. */
const MIN_REQUESTS = 5;

/** Counts an arriving request. */
export function recordRouteRequest(ctx: RoutingContext, pool: PoolId, route: Route): void {
  decayedCounts(ctx, pool, route).forEach((counts) => {
    counts.asked += 1;
  });
}

/** Counts an admitted request. */
export function recordRouteAdmission(ctx: RoutingContext, pool: PoolId, route: Route): void {
  decayedCounts(ctx, pool, route).forEach((counts) => {
    counts.admitted += 1;
  });
}

/**
 * Returns the factor applied to the wait that a route's requests are allowed; 1 if its admission
 * rate equals that of the pool.
 */
export function waitFactor(ctx: RoutingContext, pool: PoolId, route: Route): number {
  const [all, own] = decayedCounts(ctx, pool, route);
  if (own.asked < MIN_REQUESTS) return 1;
  const factor = 1 + GAIN * (all.admitted / all.asked - own.admitted / own.asked);
  return Math.min(MAX_WAIT_FACTOR, Math.max(MIN_WAIT_FACTOR, factor));
}

/** Returns the decayed counts of a pool and of one of its routes. */
function decayedCounts(
  ctx: RoutingContext,
  pool: PoolId,
  { name }: Route,
): readonly [all: DecayingCounts, own: DecayingCounts] {
  const { routeCounts } = ctx.state.shares;
  const ofPool = routeCounts.get(pool) ?? {
    all: createDecayingCounts(ctx.now),
    byRoute: new Map(),
  };
  routeCounts.set(pool, ofPool);
  const own = ofPool.byRoute.get(name) ?? createDecayingCounts(ctx.now);
  ofPool.byRoute.set(name, own);
  [ofPool.all, own].forEach((counts) => decay(counts, ctx.now, COUNT_TIME_CONSTANT_MS));
  return [ofPool.all, own];
}
