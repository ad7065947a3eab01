/**
 * How many upstreams of a pool are kept loaded, between the operators' bounds, by the demand that
 * an owner believes. Every owner takes its own upstreams among the first ones of the same order by
 * rendezvous, so that the bounds hold in the whole fleet also while beliefs differ.
 */
import { count, type CoreContext } from '../context.js';
import { ownedByPool, ownedInPool } from '../dispatch/assign.js';
import { foreignUse, slotsOf } from '../dispatch/slots.js';
import type { CoreState } from '../state.js';
import type { ConfigurationView, PlacementConfig, PoolId, UpstreamConfig } from '../types.js';
import type { DemandLevel } from './ordersState.js';
import { boundsOf, rankOf } from './placement.js';

/** Factor by which a pool with persistent waiting work grows. */
const GROWTH = 2;
/** Share of the slots that one upstream less would have, below which a pool may shrink. */
const SHRINK_BELOW_SHARE = 0.5;

/** Decides anew for every pool with a placement and an owned upstream. */
export function updateDemandLevels(ctx: CoreContext): void {
  const { configuration, orders } = ctx.state;
  const { view } = configuration;
  const owned = ownedByPool(ctx.state);
  orders.unneeded.clear();
  const pools = new Set<PoolId>();
  view?.placement.forEach((placement) => {
    const own = owned.get(placement.pool) ?? [];
    if (own.length === 0) return;
    pools.add(placement.pool);
    decide(ctx, view, placement, own);
  });
  orders.levels.forEach((_, pool) => {
    if (!pools.has(pool)) orders.levels.delete(pool);
  });
}

/** Number of upstreams of a pool that this instance believes are needed; `undefined` if unknown. */
export function levelOf(state: CoreState, pool: PoolId): number | undefined {
  return state.orders.levels.get(pool)?.level;
}

function decide(
  ctx: CoreContext,
  view: ConfigurationView,
  placement: PlacementConfig,
  own: readonly UpstreamConfig[],
): void {
  const { levels, unneeded } = ctx.state.orders;
  const { least, most } = boundsOf(view, placement);
  // One that has seen nothing yet gives up nothing.
  const known = levels.get(placement.pool) ?? startLevel(most);
  levels.set(placement.pool, known);
  known.level = clamp(known.level, least, most);
  const candidates = own.filter(({ id }) => (rankOf(view, placement, id) ?? most) < most);
  adapt(ctx, placement.pool, known, neededOf(ctx.state, view, placement, candidates, known.level));
  known.level = clamp(known.level, least, most);
  const needed = new Set(neededOf(ctx.state, view, placement, candidates, known.level));
  own.forEach((upstream) => {
    if (!needed.has(upstream)) unneeded.add(upstream.id);
  });
}

function startLevel(level: number): DemandLevel {
  return { level, waitingSince: undefined, idleSince: undefined };
}

function clamp(level: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, level));
}

/** As many own upstreams as there are among the first `level`; those that hold the model first. */
function neededOf(
  state: CoreState,
  view: ConfigurationView,
  placement: PlacementConfig,
  candidates: readonly UpstreamConfig[],
  level: number,
): readonly UpstreamConfig[] {
  const ranked = candidates.map((upstream) => ({
    upstream,
    rank: rankOf(view, placement, upstream.id) ?? Infinity,
    holds: holdsModel(state, placement, upstream),
  }));
  const size = ranked.filter(({ rank }) => rank < level).length;
  return ranked
    .sort((a, b) => Number(b.holds) - Number(a.holds) || a.rank - b.rank)
    .slice(0, size)
    .map(({ upstream }) => upstream);
}

/** Whether an upstream holds the model in any version, or is about to. */
function holdsModel(state: CoreState, { model }: PlacementConfig, { id }: UpstreamConfig): boolean {
  const { observed, progress } = state.orders;
  return progress.has(id) || observed.get(id)?.report.model === model;
}

/** Grows after persistent waiting; shrinks by one after a longer time of little use. */
function adapt(
  ctx: CoreContext,
  pool: PoolId,
  known: DemandLevel,
  needed: readonly UpstreamConfig[],
): void {
  const { settings, dispatch } = ctx.state;
  const limits = needed.reduce((sum, each) => sum + slotsOf(ctx.state, each).limit, 0);
  const isWaiting = (dispatch.demand.get(pool)?.size ?? 0) > 0;
  known.waitingSince = isWaiting ? (known.waitingSince ?? ctx.now) : undefined;
  const isIdle = !isWaiting && hasLittleUse(ctx, pool, known.level, limits);
  known.idleSince = isIdle ? (known.idleSince ?? ctx.now) : undefined;
  if (ctx.now - (known.waitingSince ?? ctx.now) >= settings.placementGrowMs) {
    known.level = Math.max(1, known.level * GROWTH);
    known.waitingSince = ctx.now;
    count(ctx, 'orders.level', 1, { change: 'grow' });
  } else if (ctx.now - (known.idleSince ?? ctx.now) >= settings.placementShrinkMs) {
    known.level -= 1;
    known.idleSince = ctx.now;
    count(ctx, 'orders.level', 1, { change: 'shrink' });
  }
}

/** Whether the work on all own upstreams would leave much room with one needed upstream less. */
function hasLittleUse(ctx: CoreContext, pool: PoolId, level: number, limits: number): boolean {
  const inUse = ownedInPool(ctx.state, pool).reduce((sum, upstream) => {
    const slots = slotsOf(ctx.state, upstream);
    return sum + slots.inUse + slots.suspended + foreignUse(slots, ctx.now);
  }, 0);
  // The own upstreams are taken for a sample of the pool.
  const remaining = level === 0 ? 0 : (limits * (level - 1)) / level;
  return inUse === 0 || inUse < remaining * SHRINK_BELOW_SHARE;
}
