/**
 * What is believed of the upstreams' prefix caches. Events come late and with gaps: a gap, or a new
 * start of the upstream, drops what was believed of it. Memory is bounded; the block stored longest
 * ago is forgotten first.
 */
import { hash32 } from '../hash.js';
import type { CoreState } from '../state.js';
import type { CacheEvent, UpstreamId, UpstreamReport } from '../types.js';
import type { CacheBelief } from './dispatchState.js';

/** Blocks of a request that are compared: the longest prefix and shorter ones at even distances. */
const COMPARED_BLOCKS = 3;

/** News of an upstream's cache. */
export interface CacheNews {
  readonly events: readonly CacheEvent[];
  readonly next: number;
  readonly gap: boolean;
  readonly report?: UpstreamReport;
}

/** Returns hashes of some of a request's prefix blocks, the longest prefix last. */
export function blockHashes(blocks: readonly string[]): readonly number[] {
  const amount = Math.min(COMPARED_BLOCKS, blocks.length);
  return Array.from({ length: amount }, (_, i) => {
    const block = blocks[Math.ceil(((i + 1) * blocks.length) / amount) - 1] as string;
    return hash32(block);
  });
}

export function noteCacheNews(state: CoreState, upstream: UpstreamId, news: CacheNews): void {
  const belief = beliefOf(state, upstream);
  const { report } = news;
  const hasRestarted = report !== undefined && report.epoch !== belief.epoch;
  if (hasRestarted) belief.epoch = report.epoch;
  if (news.gap || hasRestarted) belief.blocks.clear();
  news.events.forEach((event) => {
    const block = hash32(event.block);
    belief.blocks.delete(block);
    if (event.kind === 'stored') belief.blocks.add(block);
  });
  belief.next = hasRestarted && !news.gap ? news.next : Math.max(news.next, 0);
  trim(belief, state.settings.cacheBlocks);
}

/** Returns how many of the compared blocks the upstream is believed to hold. */
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

/** Returns the sequence after which cache events are to be read. */
export function cacheNext(state: CoreState, upstream: UpstreamId): number {
  return state.dispatch.caches.get(upstream)?.next ?? 0;
}

function beliefOf(state: CoreState, upstream: UpstreamId): CacheBelief {
  const { caches } = state.dispatch;
  const belief = caches.get(upstream) ?? { epoch: '', next: 0, blocks: new Set<number>() };
  caches.set(upstream, belief);
  return belief;
}

function trim(belief: CacheBelief, most: number): void {
  for (const block of belief.blocks) {
    if (belief.blocks.size <= most) return;
    belief.blocks.delete(block);
  }
}
