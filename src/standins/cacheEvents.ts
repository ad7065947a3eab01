/**
 * Cache events as the model engine publishes them: some time after the change, and with gaps. A
 * lost event leaves a hole in the sequence numbers.
 */
import type { Millis } from '../core/clock.js';
import type { Random } from '../core/random.js';
import type { CacheChange } from './prefixCache.js';

/** Events kept for readers that fall behind. */
const MAX_KEPT_EVENTS = 10_000;

export interface CacheEvent extends CacheChange {
  readonly seq: number;
}

export interface CacheEventsOptions {
  /** Time between a change and its event. */
  readonly delayMs: Millis;
  /** Share of events that are never published. */
  readonly lossRate: number;
  readonly random: Random;
  readonly now: () => Millis;
}

export interface CacheEvents {
  add: (change: CacheChange) => void;
  /** Published events with a sequence number above `after`; `next` is the `after` of the next call. */
  read: (after: number) => { readonly events: readonly CacheEvent[]; readonly next: number };
  /** Starts again from sequence number 1. */
  clear: () => void;
}

/** Creates an empty list of events. */
export function createCacheEvents(options: CacheEventsOptions): CacheEvents {
  let kept: { readonly event: CacheEvent; readonly visibleAt: Millis }[] = [];
  let seq = 0;

  return {
    add: (change) => {
      seq += 1;
      if (options.random.next() < options.lossRate) return;
      kept.push({ event: { seq, ...change }, visibleAt: options.now() + options.delayMs });
      if (kept.length > 2 * MAX_KEPT_EVENTS) kept = kept.slice(-MAX_KEPT_EVENTS);
    },
    read: (after) => {
      const now = options.now();
      const events = kept
        .filter(({ event, visibleAt }) => event.seq > after && visibleAt <= now)
        .map(({ event }) => event);
      return { events, next: events.at(-1)?.seq ?? Math.min(after, seq) };
    },
    clear: () => {
      kept = [];
      seq = 0;
    },
  };
}
