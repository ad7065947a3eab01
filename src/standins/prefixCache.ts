/**
 * Prefix cache of the model engine: prompts are cut into blocks, a block is named by the hash of the
 * whole prefix up to its end, as instances name it, and the least recently used block is evicted
 * when the memory is full.
 */
import { PREFIX_BLOCK_CHARS, prefixBlocksOf } from '../hosts/callerRequest.js';
import { CHARS_PER_TOKEN } from './content.js';

/** Tokens in a block. */
export const BLOCK_TOKENS = PREFIX_BLOCK_CHARS / CHARS_PER_TOKEN;

/** A change of the cache. */
export interface CacheChange {
  readonly kind: 'stored' | 'evicted';
  /** Name of the block. */
  readonly block: string;
}

export interface PrefixCacheOptions {
  /** Blocks that fit into the memory. */
  readonly capacity: number;
  readonly onChange: (change: CacheChange) => void;
}

export interface PrefixCache {
  /** Tokens at the start of the prompt that need no processing; marks their blocks as used. */
  match: (prompt: string) => number;
  /** Keeps the full blocks of a processed prompt. */
  store: (prompt: string) => void;
  size: () => number;
  /** Forgets everything without an event, as a restart does. */
  clear: () => void;
}

/** Creates an empty cache. */
export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
  /** Blocks from the least to the most recently used. */
  const blocks = new Set<string>();

  function touch(block: string): void {
    blocks.delete(block);
    blocks.add(block);
  }

  function evictOver(capacity: number): void {
    for (const block of blocks) {
      if (blocks.size <= capacity) return;
      blocks.delete(block);
      options.onChange({ kind: 'evicted', block });
    }
  }

  return {
    match: (prompt) => {
      const names = prefixBlocksOf(prompt);
      const missing = names.findIndex((block) => !blocks.has(block));
      const count = missing < 0 ? names.length : missing;
      names.slice(0, count).forEach(touch);
      return count * BLOCK_TOKENS;
    },
    store: (prompt) => {
      prefixBlocksOf(prompt)
        .slice(0, options.capacity)
        .forEach((block) => {
          const isNew = !blocks.has(block);
          touch(block);
          if (isNew) options.onChange({ kind: 'stored', block });
        });
      evictOver(options.capacity);
    },
    size: () => blocks.size,
    clear: () => blocks.clear(),
  };
}
