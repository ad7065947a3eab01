/**
 * Events about changes of the prefix cache, published with a delay and with losses. A lost event
 * leaves a gap in the sequence numbers.
 */
import type { Millis } from '../core/clock.js';
import type { Random } from '../core/random.js';
import type { CacheChange } from './prefixCache.js';

/** Number of latest events always retained for slow readers; up to twice as many are kept. */
const RETAINED_EVENTS = 10_000;

export interface CacheEvent extends CacheChange {
  readonly seq: number;
}

export interface CacheEventsOptions {
  /** Delay between a change and the publication of its event. */
  readonly delayMs: Millis;
  /** Fraction of events that are never published. */
  readonly lossRate: number;
  readonly random: Random;
  readonly now: () => Millis;
}

export interface CacheEvents {
  add: (change: CacheChange) => void;
  /** Returns the published events after sequence number `after`; pass `next` as `after` in the next call. */
  read: (after: number) => { readonly events: readonly CacheEvent[]; readonly next: number };
  /** Discards all events and restarts the sequence numbers at 1. */
  clear: () => void;
}

/** Creates an empty event log. */
export function createCacheEvents(options: CacheEventsOptions): CacheEvents {
  let retained: { readonly event: CacheEvent; readonly visibleAt: Millis }[] = [];
  let seq = 0;

  return {
    add: (change) => {
      seq += 1;
      if (options.random.next() < options.lossRate) return;
      retained.push({ event: { seq, ...change }, visibleAt: options.now() + options.delayMs });
      if (retained.length > 2 * RETAINED_EVENTS) retained = retained.slice(-RETAINED_EVENTS);
    },
    read: (after) => {
      const now = options.now();
      const events = retained
        .filter(({ event, visibleAt }) => event.seq > after && visibleAt <= now)
        .map(({ event }) => event);
      return { events, next: events.at(-1)?.seq ?? Math.min(after, seq) };
    },
    clear: () => {
      retained = [];
      seq = 0;
    },
  };
}
