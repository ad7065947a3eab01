/**
 * Configuration of the benchmarks of exact outcomes: a model pool with streamed, idempotent requests
 * and a service pool with non-idempotent ones.
 */
import type { ConfigurationView, PoolConfig, UpstreamConfig } from '../../core/types.js';
import { createFleetView } from '../support/fleetView.js';

export const MODEL_POOL = 'pool0';
export const SERVICE_POOL = 'pool1';

export interface ExactViewOptions {
  readonly version: number;
  /** Total number of upstreams, assigned alternately to the model pool and the service pool. */
  readonly upstreams: number;
  readonly slots: number;
  readonly plannedStops?: readonly string[];
}

export function createExactView(options: ExactViewOptions): ConfigurationView {
  const { plannedStops = [], ...sizes } = options;
  const view = createFleetView({ ...sizes, customers: 4, pools: 2, domains: 3, regions: 3 });
  const pools = [...view.pools.values()].map(toExactPool);
  const upstreams = [...view.upstreams.values()].map(toExactUpstream);
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

function toExactPool(pool: PoolConfig): PoolConfig {
  if (pool.id === MODEL_POOL) return pool;
  const cost = { perPromptToken: 0, perOutputToken: 0, perSlotMs: 1 };
  return { ...pool, kind: 'service', idempotentByDefault: false, cost };
}

function toExactUpstream(upstream: UpstreamConfig): UpstreamConfig {
  return { ...upstream, reportsLoad: true };
}
