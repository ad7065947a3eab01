/**
 * A queue that serves its keys round-robin, and the newest entry of a key first.
 *
 * Load pattern: one customer sends many times its usual load to an instance whose processor is
 * saturated. Round-robin makes each customer's requests wait behind its own only. Within a
 * customer, the newest request can still be answered in time; in order of arrival, all of them
 * would be late. Entries that have waited too long are taken from the old end and refused.
 */
import type { Millis } from '../../core/clock.js';

export interface FairQueue<T> {
  readonly add: (key: string, entry: T, now: Millis) => void;
  /** Removes and returns the newest entry of the next key. */
  readonly takeNewest: () => T | undefined;
  /** Removes and returns the oldest entry, if it was added at `before` or earlier. */
  readonly takeOldest: (before: Millis) => T | undefined;
  readonly size: () => number;
}

interface Waiting<T> {
  readonly entry: T;
  readonly addedAt: Millis;
}

export function createFairQueue<T>(): FairQueue<T> {
  /** Waiting entries by key; keys are in round-robin order. */
  const byKey = new Map<string, Waiting<T>[]>();
  let size = 0;

  /** Moves a key with its remaining entries to the end of the order. */
  function endTurn(key: string, remaining: Waiting<T>[]): void {
    byKey.delete(key);
    if (remaining.length > 0) byKey.set(key, remaining);
  }

  return {
    add: (key, entry, addedAt) => {
      size += 1;
      const waiting = byKey.get(key);
      if (waiting === undefined) byKey.set(key, [{ entry, addedAt }]);
      else waiting.push({ entry, addedAt });
    },
    takeNewest: () => {
      const [turn] = byKey;
      if (turn === undefined) return undefined;
      const [key, waiting] = turn;
      const newest = waiting.pop();
      endTurn(key, waiting);
      size -= 1;
      return newest?.entry;
    },
    takeOldest: (before) => {
      let oldestKey: string | undefined;
      let oldestAt = before;
      byKey.forEach(([first], key) => {
        if (first === undefined || first.addedAt > oldestAt) return;
        oldestKey = key;
        oldestAt = first.addedAt;
      });
      if (oldestKey === undefined) return undefined;
      const waiting = byKey.get(oldestKey) ?? [];
      const oldest = waiting.shift();
      if (waiting.length === 0) byKey.delete(oldestKey);
      size -= 1;
      return oldest?.entry;
    },
    size: () => size,
  };
}
