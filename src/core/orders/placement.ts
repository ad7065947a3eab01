/** What each engine should hold, and the next order that brings it nearer to that. */
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

const DEFAULT_FLEET_LOADS = 4;
/** Keeps `8 * (1 - 0.75)` at 2 whatever the rounding of fractions. */
const ROUNDING = 1e-9;

/** Returns the placement that applies to an upstream, if it is among those that hold the model. */
export function placementOf(
  view: ConfigurationView,
  upstream: UpstreamConfig,
): PlacementConfig | undefined {
  if (view.plannedStops.has(upstream.id)) return undefined;
  const placement = view.placement.find(({ pool }) => pool === upstream.pool);
  if (placement === undefined || holdsWhole(view, placement)) return placement;
  const rank = rankOf(view, placement, upstream.id) ?? Infinity;
  return rank < placement.maxUpstreams ? placement : undefined;
}

/** Whether all upstreams of a pool may hold its model. */
function holdsWhole(view: ConfigurationView, placement: PlacementConfig): boolean {
  return placement.maxUpstreams >= (view.upstreamsByPool.get(placement.pool)?.length ?? 0);
}

/** Least and largest number of upstreams of a pool that hold its model. */
export function boundsOf(
  view: ConfigurationView,
  placement: PlacementConfig,
): { readonly least: number; readonly most: number } {
  const all = view.upstreamsByPool.get(placement.pool)?.length ?? 0;
  let stopping = 0;
  for (const id of view.plannedStops.keys()) {
    if (view.upstreams.get(id)?.pool === placement.pool) stopping += 1;
  }
  const most = Math.min(placement.maxUpstreams, all - stopping);
  return { least: Math.min(placement.minUpstreams, most), most };
}

/** Ranks by view: they cost a score for each upstream of the pool. */
const ranks = new WeakMap<ConfigurationView, Map<PoolId, ReadonlyMap<UpstreamId, number>>>();

/**
 * Returns the place of an upstream, from 0, in the order by rendezvous in which a pool's upstreams
 * come to hold its model; `undefined` with a planned stop.
 */
export function rankOf(
  view: ConfigurationView,
  placement: PlacementConfig,
  upstream: UpstreamId,
): number | undefined {
  const ofView = ranks.get(view) ?? new Map<PoolId, ReadonlyMap<UpstreamId, number>>();
  ranks.set(view, ofView);
  const known = ofView.get(placement.pool) ?? rankAll(view, placement);
  ofView.set(placement.pool, known);
  return known.get(upstream);
}

/** Scores outlive a view: most upstreams are the same in the next one. */
const scores = new WeakMap<UpstreamConfig, number>();

function scoreOf(upstream: UpstreamConfig): number {
  const known = scores.get(upstream);
  if (known !== undefined) return known;
  const score = rendezvousScore(`placement ${upstream.pool}`, upstream.id);
  scores.set(upstream, score);
  return score;
}

function rankAll(
  view: ConfigurationView,
  placement: PlacementConfig,
): ReadonlyMap<UpstreamId, number> {
  const candidates = (view.upstreamsByPool.get(placement.pool) ?? [])
    .filter(({ id }) => !view.plannedStops.has(id))
    .map((upstream) => ({ id: upstream.id, score: scoreOf(upstream) }))
    .sort((a, b) => b.score - a.score);
  return new Map(candidates.map(({ id }, rank) => [id, rank]));
}

/** Returns the next order for an engine, or `undefined` if it holds what it should. */
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
  const isOtherRole = role !== undefined && role !== '' && report.role !== role;
  return isOtherRole ? { kind: 'set-role', role } : undefined;
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
 * Model loads of a pool that may be under way at a time, so that its serving share goes on. A pool
 * too small for the share still loads one engine at a time. `holders` is the number of upstreams
 * that are to hold the model; absent for the largest allowed.
 */
export function poolLoadsOf(
  view: ConfigurationView,
  placement: PlacementConfig,
  holders = boundsOf(view, placement).most,
): number {
  const share = 1 - placement.servingShare;
  return Math.max(1, Math.floor(holders * share + ROUNDING));
}

export function fleetLoadsOf(view: ConfigurationView): number {
  return view.concurrentLoads ?? DEFAULT_FLEET_LOADS;
}
