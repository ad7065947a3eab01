/**
 * Estimates the contents of the upstreams' prefix caches from their cache events. Events may be
 * delayed or missing: after a gap or a restart of the upstream, its estimate is cleared. The size
 * of an estimate is bounded; the block stored least recently is evicted first.
 */
import { hash32 } from '../hash.js';
import type { CoreState } from '../state.js';
import type { CacheEvent, UpstreamId, UpstreamReport } from '../types.js';
import type { CacheEstimate } from './dispatchState.js';

/** Number of compared prefixes per request: the longest and evenly spaced shorter ones. */
const COMPARED_BLOCKS = 3;

/** Cache events read from an upstream. */
export interface CacheUpdate {
  readonly events: readonly CacheEvent[];
  readonly next: number;
  readonly gap: boolean;
  readonly report?: UpstreamReport;
}

/** Returns hashes of some of a request's prefix blocks, the longest prefix last. */
export function blockHashes(blocks: readonly string[]): readonly number[] {
  const count = Math.min(COMPARED_BLOCKS, blocks.length);
  return Array.from({ length: count }, (_, i) => {
    const block = blocks[Math.ceil(((i + 1) * blocks.length) / count) - 1] as string;
    return hash32(block);
  });
}

/** Applies cache events to the estimate of an upstream's cache. */
export function applyCacheUpdate(
  state: CoreState,
  upstream: UpstreamId,
  update: CacheUpdate,
): void {
  const estimate = cacheEstimateOf(state, upstream);
  const { report } = update;
  const hasRestarted = report !== undefined && report.epoch !== estimate.epoch;
  if (hasRestarted) estimate.epoch = report.epoch;
  if (update.gap || hasRestarted) estimate.blocks.clear();
  update.events.forEach((event) => {
    const block = hash32(event.block);
    estimate.blocks.delete(block);
    if (event.kind === 'stored') estimate.blocks.add(block);
  });
  estimate.next = hasRestarted && !update.gap ? update.next : Math.max(update.next, 0);
  evictOldest(estimate, state.settings.cacheBlocks);
}

/** Returns how many of the compared prefixes the upstream is estimated to have cached. */
export function cachedBlocks(
  state: CoreState,
  upstream: UpstreamId,
  heads: readonly number[],
): number {
  const blocks = state.dispatch.caches.get(upstream)?.blocks;
  if (blocks === undefined) return 0;
  for (let i = heads.length - 1; i >= 0; i -= 1) {
    if (blocks.has(heads[i] as number)) return i + 1;
  }
  return 0;
}

/** Returns the sequence number after which to read cache events. */
export function nextCacheSequence(state: CoreState, upstream: UpstreamId): number {
  return state.dispatch.caches.get(upstream)?.next ?? 0;
}

function cacheEstimateOf(state: CoreState, upstream: UpstreamId): CacheEstimate {
  const { caches } = state.dispatch;
  const estimate = caches.get(upstream) ?? { epoch: '', next: 0, blocks: new Set<number>() };
  caches.set(upstream, estimate);
  return estimate;
}

function evictOldest(estimate: CacheEstimate, maxBlocks: number): void {
  for (const block of estimate.blocks) {
    if (estimate.blocks.size <= maxBlocks) return;
    estimate.blocks.delete(block);
  }
}
