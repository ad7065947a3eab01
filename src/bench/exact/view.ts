/** The configuration of the exact benches: an assistant on engines and a desk whose calls book. */
import type { ConfigurationView, PoolConfig, UpstreamConfig } from '../../core/types.js';
import { createFleetView } from '../support/fleetView.js';

export const CHAT = 'pool0';
export const DESK = 'pool1';

export interface ExactViewOptions {
  readonly version: number;
  /** Upstreams, alternately of the assistant and the desk. */
  readonly upstreams: number;
  readonly slots: number;
  readonly plannedStops?: readonly string[];
}

export function createExactView(options: ExactViewOptions): ConfigurationView {
  const { plannedStops = [], ...sizes } = options;
  const view = createFleetView({ ...sizes, customers: 4, pools: 2, domains: 3, regions: 3 });
  const pools = [...view.pools.values()].map(asExactPool);
  const upstreams = [...view.upstreams.values()].map(asExactUpstream);
  return {
    ...view,
    pools: new Map(pools.map((pool) => [pool.id, pool])),
    poolsByNumber: new Map(pools.map((pool) => [pool.number, pool])),
    upstreams: new Map(upstreams.map((upstream) => [upstream.id, upstream])),
    upstreamsByPool: new Map(
      pools.map(({ id }) => [id, upstreams.filter((upstream) => upstream.pool === id)]),
    ),
    plannedStops: new Map(
      plannedStops.map((upstream) => [upstream, { upstream, reason: 'planned' }]),
    ),
  };
}

function asExactPool(pool: PoolConfig): PoolConfig {
  if (pool.id === CHAT) return pool;
  const cost = { perPromptToken: 0, perOutputToken: 0, perSlotMs: 1 };
  return { ...pool, kind: 'service', idempotentByDefault: false, cost };
}

function asExactUpstream(upstream: UpstreamConfig): UpstreamConfig {
  return { ...upstream, reportsLoad: true };
}
