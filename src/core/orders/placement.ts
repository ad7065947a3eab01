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

/** Returns the placement that applies to an upstream, if it is among those that hold the model. */
export function placementOf(
  view: ConfigurationView,
  upstream: UpstreamConfig,
): PlacementConfig | undefined {
  if (view.plannedStops.has(upstream.id)) return undefined;
  const placement = view.placement.find(({ pool }) => pool === upstream.pool);
  if (placement === undefined) return undefined;
  return holdersOf(view, placement).has(upstream.id) ? placement : undefined;
}

const holders = new WeakMap<ConfigurationView, Map<PoolId, ReadonlySet<UpstreamId>>>();

/** Returns the upstreams of a pool that hold its model: all, up to the largest number. */
export function holdersOf(
  view: ConfigurationView,
  placement: PlacementConfig,
): ReadonlySet<UpstreamId> {
  const ofView = holders.get(view) ?? new Map<PoolId, ReadonlySet<UpstreamId>>();
  holders.set(view, ofView);
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
  const { size } = holdersOf(view, placement);
  return Math.max(1, Math.floor(size * (1 - placement.servingShare) + 1e-9));
}

export function fleetLoadsOf(view: ConfigurationView): number {
  return view.concurrentLoads ?? DEFAULT_FLEET_LOADS;
}
