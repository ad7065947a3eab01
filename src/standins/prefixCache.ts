/**
 * LRU cache of prompt prefixes in a model engine. Prompts are split into fixed-size blocks; a block
 * is identified by the hash of the entire prefix up to its end, in the same way as on instances.
 */
import { PREFIX_BLOCK_CHARS, hashPrefixBlocks } from '../hosts/callerRequest.js';
import { CHARS_PER_TOKEN } from './content.js';

/** Number of tokens in a block. */
export const TOKENS_PER_BLOCK = PREFIX_BLOCK_CHARS / CHARS_PER_TOKEN;

/** A change of the cache. */
export interface CacheChange {
  readonly kind: 'stored' | 'evicted';
  /** Hash that identifies the block. */
  readonly block: string;
}

export interface PrefixCacheOptions {
  /** Maximum number of cached blocks. */
  readonly capacity: number;
  readonly onChange: (change: CacheChange) => void;
}

export interface PrefixCache {
  /** Returns the number of leading prompt tokens that are cached; marks their blocks as used. */
  match: (prompt: string) => number;
  /** Caches the full blocks of a processed prompt. */
  store: (prompt: string) => void;
  size: () => number;
  /** Removes all blocks without events, as a restart does. */
  clear: () => void;
}

/** Creates an empty cache. */
export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
  /** Block hashes, from the least to the most recently used. */
  const blocks = new Set<string>();

  function touch(block: string): void {
    blocks.delete(block);
    blocks.add(block);
  }

  function evictDownTo(capacity: number): void {
    for (const block of blocks) {
      if (blocks.size <= capacity) return;
      blocks.delete(block);
      options.onChange({ kind: 'evicted', block });
    }
  }

  return {
    match: (prompt) => {
      const hashes = hashPrefixBlocks(prompt);
      const missing = hashes.findIndex((block) => !blocks.has(block));
      const count = missing < 0 ? hashes.length : missing;
      hashes.slice(0, count).forEach(touch);
      return count * TOKENS_PER_BLOCK;
    },
    store: (prompt) => {
      hashPrefixBlocks(prompt)
        .slice(0, options.capacity)
        .forEach((block) => {
          const isNew = !blocks.has(block);
          touch(block);
          if (isNew) options.onChange({ kind: 'stored', block });
        });
      evictDownTo(options.capacity);
    },
    size: () => blocks.size,
    clear: () => blocks.clear(),
  };
}
