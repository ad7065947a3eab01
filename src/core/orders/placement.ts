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
  return chosenHolders(view, placement).has(upstream.id) ? placement : undefined;
}

/** Whether all upstreams of a pool may hold its model. */
function holdsWhole(view: ConfigurationView, placement: PlacementConfig): boolean {
  return placement.maxUpstreams >= (view.upstreamsByPool.get(placement.pool)?.length ?? 0);
}

/** Number of upstreams of a pool that hold its model. */
function holderCount(view: ConfigurationView, placement: PlacementConfig): number {
  const all = view.upstreamsByPool.get(placement.pool)?.length ?? 0;
  let stopping = 0;
  for (const id of view.plannedStops.keys()) {
    if (view.upstreams.get(id)?.pool === placement.pool) stopping += 1;
  }
  return Math.min(placement.maxUpstreams, all - stopping);
}

/** Choices by view: they cost a score for each upstream of the pool. */
const choices = new WeakMap<ConfigurationView, Map<PoolId, ReadonlySet<UpstreamId>>>();

/** Chooses by rendezvous the upstreams that hold the model of a pool larger than its bound. */
function chosenHolders(
  view: ConfigurationView,
  placement: PlacementConfig,
): ReadonlySet<UpstreamId> {
  const ofView = choices.get(view) ?? new Map<PoolId, ReadonlySet<UpstreamId>>();
  choices.set(view, ofView);
  const known = ofView.get(placement.pool);
  if (known !== undefined) return known;
  const candidates = (view.upstreamsByPool.get(placement.pool) ?? [])
    .filter(({ id }) => !view.plannedStops.has(id))
    .map(({ id }) => ({ id, score: rendezvousScore(`placement ${placement.pool}`, id) }))
    .sort((a, b) => b.score - a.score);
  const chosen = new Set(candidates.slice(0, placement.maxUpstreams).map(({ id }) => id));
  ofView.set(placement.pool, chosen);
  return chosen;
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
 * too small for the share still loads one engine at a time.
 */
export function poolLoadsOf(view: ConfigurationView, placement: PlacementConfig): number {
  const share = 1 - placement.servingShare;
  return Math.max(1, Math.floor(holderCount(view, placement) * share + ROUNDING));
}

export function fleetLoadsOf(view: ConfigurationView): number {
  return view.concurrentLoads ?? DEFAULT_FLEET_LOADS;
}
