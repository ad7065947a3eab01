/**
 * Prefix cache of the model engine: prompts are cut into blocks of tokens, a block is named by the
 * hash of its tokens and of all blocks before it, and the least recently used block is evicted when
 * the memory is full.
 */
import { hash32 } from '../core/hash.js';

/** Tokens in a block. */
export const BLOCK_TOKENS = 16;

/** A change of the cache. */
export interface CacheChange {
  readonly kind: 'stored' | 'evicted';
  /** Name of the block, in hexadecimal. */
  readonly block: string;
}

export interface PrefixCacheOptions {
  /** Blocks that fit into the memory. */
  readonly capacity: number;
  readonly onChange: (change: CacheChange) => void;
}

export interface PrefixCache {
  /** Tokens at the start of the prompt that need no processing; marks their blocks as used. */
  match: (tokens: readonly string[]) => number;
  /** Keeps the full blocks of a processed prompt. */
  store: (tokens: readonly string[]) => void;
  size: () => number;
  /** Forgets everything without an event, as a restart does. */
  clear: () => void;
}

/** Names of the full blocks of a prompt, from its start on. */
export function blocksOf(tokens: readonly string[]): readonly string[] {
  const blocks: string[] = [];
  let seed = 0;
  for (let start = 0; start + BLOCK_TOKENS <= tokens.length; start += BLOCK_TOKENS) {
    seed = hash32(tokens.slice(start, start + BLOCK_TOKENS).join(' '), seed);
    blocks.push(`${start / BLOCK_TOKENS}-${seed.toString(16)}`);
  }
  return blocks;
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
    match: (tokens) => {
      const names = blocksOf(tokens);
      const missing = names.findIndex((block) => !blocks.has(block));
      const count = missing < 0 ? names.length : missing;
      names.slice(0, count).forEach(touch);
      return count * BLOCK_TOKENS;
    },
    store: (tokens) => {
      blocksOf(tokens)
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
