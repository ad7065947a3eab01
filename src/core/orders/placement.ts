/** Desired state of each engine, and the next order that brings the engine closer to it. */
import { rendezvousScore } from '../hash.js';
import type {
  ConfigurationView,
  EngineOrder,
  PlacementConfig,
  PoolId,
  UpstreamConfig,
  UpstreamId,
  UpstreamReport,
} from '../types.js';

const DEFAULT_MAX_FLEET_LOADS = 4;
/** Keeps the floor of products such as `8 * (1 - 0.75)` at 2 despite rounding errors. */
const ROUNDING_TOLERANCE = 1e-9;

/** Returns the placement that applies to an upstream, if it is one of those to hold the model. */
export function placementOf(
  view: ConfigurationView,
  upstream: UpstreamConfig,
): PlacementConfig | undefined {
  if (view.plannedStops.has(upstream.id)) return undefined;
  const placement = view.placement.find(({ pool }) => pool === upstream.pool);
  if (placement === undefined || coversWholePool(view, placement)) return placement;
  const rank = rankOf(view, placement, upstream.id) ?? Infinity;
  return rank < placement.maxUpstreams ? placement : undefined;
}

/** Whether all upstreams of a pool may hold its model. */
function coversWholePool(view: ConfigurationView, placement: PlacementConfig): boolean {
  return placement.maxUpstreams >= (view.upstreamsByPool.get(placement.pool)?.length ?? 0);
}

/** Returns the minimum and maximum number of upstreams of a pool that hold its model. */
export function placementBounds(
  view: ConfigurationView,
  placement: PlacementConfig,
): { readonly min: number; readonly max: number } {
  const all = view.upstreamsByPool.get(placement.pool)?.length ?? 0;
  let stopping = 0;
  for (const id of view.plannedStops.keys()) {
    if (view.upstreams.get(id)?.pool === placement.pool) stopping += 1;
  }
  const max = Math.min(placement.maxUpstreams, all - stopping);
  return { min: Math.min(placement.minUpstreams, max), max };
}

/** Cache of ranks by view and pool; computing them needs a score for each upstream of the pool. */
const ranks = new WeakMap<ConfigurationView, Map<PoolId, ReadonlyMap<UpstreamId, number>>>();

/**
 * Returns the zero-based rank of an upstream in the rendezvous order in which a pool's upstreams
 * are chosen to hold its model; `undefined` if the upstream has a planned stop.
 */
export function rankOf(
  view: ConfigurationView,
  placement: PlacementConfig,
  upstream: UpstreamId,
): number | undefined {
  const poolRanks = ranks.get(view) ?? new Map<PoolId, ReadonlyMap<UpstreamId, number>>();
  ranks.set(view, poolRanks);
  const cached = poolRanks.get(placement.pool) ?? rankUpstreams(view, placement);
  poolRanks.set(placement.pool, cached);
  return cached.get(upstream);
}

/** Cache of scores across views: most upstream objects are the same in the next view. */
const scores = new WeakMap<UpstreamConfig, number>();

function scoreOf(upstream: UpstreamConfig): number {
  const cached = scores.get(upstream);
  if (cached !== undefined) return cached;
  const score = rendezvousScore(`placement ${upstream.pool}`, upstream.id);
  scores.set(upstream, score);
  return score;
}

function rankUpstreams(
  view: ConfigurationView,
  placement: PlacementConfig,
): ReadonlyMap<UpstreamId, number> {
  const candidates = (view.upstreamsByPool.get(placement.pool) ?? [])
    .filter(({ id }) => !view.plannedStops.has(id))
    .map((upstream) => ({ id: upstream.id, score: scoreOf(upstream) }))
    .sort((a, b) => b.score - a.score);
  return new Map(candidates.map(({ id }, rank) => [id, rank]));
}

/** Returns the next order for an engine, or `undefined` if it is in the desired state. */
export function nextOrder(
  placement: PlacementConfig,
  report: UpstreamReport,
): EngineOrder | undefined {
  const { model, version, adapters, role } = placement;
  if (report.model !== model || report.version !== version) {
    return { kind: 'load-model', model, version };
  }
  const adapter = adapters.find((name) => !report.adapters.includes(name));
  if (adapter !== undefined) return { kind: 'load-adapter', adapter };
  const needsRoleChange = role !== undefined && role !== '' && report.role !== role;
  return needsRoleChange ? { kind: 'set-role', role } : undefined;
}

/** Whether an engine's report shows the effect of an order. */
export function hasEffect(order: EngineOrder, report: UpstreamReport): boolean {
  switch (order.kind) {
    case 'load-model':
      return report.model === order.model && report.version === order.version;
    case 'load-adapter':
      return report.adapters.includes(order.adapter);
    default:
      return report.role === order.role;
  }
}

/**
 * Returns the maximum number of concurrent model loads in a pool, so that its `servingShare` keeps
 * serving. A pool that is too small for the share still loads one engine at a time. `holders` is
 * the number of upstreams that should hold the model; it defaults to the maximum.
 */
export function maxPoolLoads(
  view: ConfigurationView,
  placement: PlacementConfig,
  holders = placementBounds(view, placement).max,
): number {
  const share = 1 - placement.servingShare;
  return Math.max(1, Math.floor(holders * share + ROUNDING_TOLERANCE));
}

export function maxFleetLoads(view: ConfigurationView): number {
  return view.concurrentLoads ?? DEFAULT_MAX_FLEET_LOADS;
}
