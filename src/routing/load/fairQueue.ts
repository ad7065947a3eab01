/**
 * A queue that serves its keys in turn, and the newest entry of a key first.
 *
 * Load pattern: one customer sends many times its usual to an instance whose processor is saturated.
 * Each customer's requests then wait behind its own, not behind the others'. Of one customer, the
 * newest can still be answered in time; served in the order of arrival, all would be late. What has
 * waited too long is taken from the other end, to be turned away.
 */
import type { Millis } from '../../core/clock.js';

export interface FairQueue<T> {
  readonly add: (key: string, entry: T, now: Millis) => void;
  /** The newest entry of the key whose turn it is. */
  readonly takeNewest: () => T | undefined;
  /** The entry that waits longest, if it was added at `before` or earlier. */
  readonly takeOldest: (before: Millis) => T | undefined;
  readonly size: () => number;
}

interface Waiting<T> {
  readonly entry: T;
  readonly addedAt: Millis;
}

export function createFairQueue<T>(): FairQueue<T> {
  /** Keys that wait, in the order of their turns. */
  const byKey = new Map<string, Waiting<T>[]>();
  let size = 0;

  /** Puts what is left of a key behind the others. */
  function endTurn(key: string, left: Waiting<T>[]): void {
    byKey.delete(key);
    if (left.length > 0) byKey.set(key, left);
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
