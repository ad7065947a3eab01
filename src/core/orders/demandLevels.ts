/**
 * Demand levels: how many upstreams of a pool should hold its model, within the configured bounds.
 * Each owner estimates the level from the demand it sees, counts its own upstreams among the first
 * `level` of the pool's rendezvous order, and keeps that many of its upstreams. All owners use the
 * same order, so the bounds hold fleet-wide even while their estimates differ.
 */
import { emitMetric, type CoreContext } from '../context.js';
import { ownedUpstreamsByPool, ownedUpstreamsInPool } from '../dispatch/assign.js';
import { slotsUsedByOthers, slotsOf } from '../dispatch/slots.js';
import type { CoreState } from '../state.js';
import type { ConfigurationView, PlacementConfig, PoolId, UpstreamConfig } from '../types.js';
import type { DemandLevel } from './ordersState.js';
import { placementBounds, rankOf } from './placement.js';

/** Factor by which the level grows while requests keep waiting. */
const GROWTH_FACTOR = 2;
/** Utilization of the slots with one upstream less, below which the level is decremented. */
const SHRINK_UTILIZATION = 0.5;

/** Updates the level of every pool that has a placement and an upstream owned by this instance. */
export function updateDemandLevels(ctx: CoreContext): void {
  const { configuration, orders } = ctx.state;
  const { view } = configuration;
  const owned = ownedUpstreamsByPool(ctx.state);
  orders.unneeded.clear();
  const pools = new Set<PoolId>();
  view?.placement.forEach((placement) => {
    const ownUpstreams = owned.get(placement.pool) ?? [];
    if (ownUpstreams.length === 0) return;
    pools.add(placement.pool);
    updatePoolLevel(ctx, view, placement, ownUpstreams);
  });
  orders.levels.forEach((_, pool) => {
    if (!pools.has(pool)) orders.levels.delete(pool);
  });
}

/** Returns this instance's estimate of the upstreams a pool needs; `undefined` if unknown. */
export function demandLevelOf(state: CoreState, pool: PoolId): number | undefined {
  return state.orders.levels.get(pool)?.level;
}

function updatePoolLevel(
  ctx: CoreContext,
  view: ConfigurationView,
  placement: PlacementConfig,
  ownUpstreams: readonly UpstreamConfig[],
): void {
  const { levels, unneeded } = ctx.state.orders;
  const { min, max } = placementBounds(view, placement);
  // A new owner has no demand data yet, so it starts at the maximum and unloads nothing.
  const demand = levels.get(placement.pool) ?? createDemandLevel(max);
  levels.set(placement.pool, demand);
  demand.level = clamp(demand.level, min, max);
  const candidates = ownUpstreams.filter(({ id }) => (rankOf(view, placement, id) ?? max) < max);
  adjustLevel(
    ctx,
    placement.pool,
    demand,
    selectNeeded(ctx.state, view, placement, candidates, demand.level),
  );
  demand.level = clamp(demand.level, min, max);
  const needed = new Set(selectNeeded(ctx.state, view, placement, candidates, demand.level));
  ownUpstreams.forEach((upstream) => {
    if (!needed.has(upstream)) unneeded.add(upstream.id);
  });
}

function createDemandLevel(level: number): DemandLevel {
  return { level, waitingSince: undefined, idleSince: undefined };
}

function clamp(level: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, level));
}

/**
 * Counts the candidates among the first `level` upstreams of the pool's rendezvous order and
 * selects that many, preferring those that hold the model.
 */
function selectNeeded(
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

/** Whether an upstream holds any version of the model, or an order for it is in progress. */
function holdsModel(state: CoreState, { model }: PlacementConfig, { id }: UpstreamConfig): boolean {
  const { observed, progress } = state.orders;
  return progress.has(id) || observed.get(id)?.report.model === model;
}

/** Multiplies the level after persistent waiting; decrements it after a longer underused period. */
function adjustLevel(
  ctx: CoreContext,
  pool: PoolId,
  demand: DemandLevel,
  needed: readonly UpstreamConfig[],
): void {
  const { settings, dispatch } = ctx.state;
  const slotLimit = needed.reduce((sum, upstream) => sum + slotsOf(ctx.state, upstream).limit, 0);
  const isWaiting = (dispatch.demand.get(pool)?.size ?? 0) > 0;
  demand.waitingSince = isWaiting ? (demand.waitingSince ?? ctx.now) : undefined;
  const isIdle = !isWaiting && isUnderused(ctx, pool, demand.level, slotLimit);
  demand.idleSince = isIdle ? (demand.idleSince ?? ctx.now) : undefined;
  if (ctx.now - (demand.waitingSince ?? ctx.now) >= settings.placementGrowMs) {
    demand.level = Math.max(1, demand.level * GROWTH_FACTOR);
    demand.waitingSince = ctx.now;
    emitMetric(ctx, 'orders.level', 1, { change: 'grow' });
  } else if (ctx.now - (demand.idleSince ?? ctx.now) >= settings.placementShrinkMs) {
    demand.level -= 1;
    demand.idleSince = ctx.now;
    emitMetric(ctx, 'orders.level', 1, { change: 'shrink' });
  }
}

/**
 * Whether the requests on all owned upstreams would use less than `SHRINK_UTILIZATION` of the slots
 * that remain with one needed upstream less.
 */
function isUnderused(ctx: CoreContext, pool: PoolId, level: number, slotLimit: number): boolean {
  const inUse = ownedUpstreamsInPool(ctx.state, pool).reduce((sum, upstream) => {
    const slots = slotsOf(ctx.state, upstream);
    return sum + slots.inUse + slots.suspended + slotsUsedByOthers(slots, ctx.now);
  }, 0);
  // The owned upstreams are treated as a representative sample of the pool.
  const remainingSlots = level === 0 ? 0 : (slotLimit * (level - 1)) / level;
  return inUse === 0 || inUse < remainingSlots * SHRINK_UTILIZATION;
}
