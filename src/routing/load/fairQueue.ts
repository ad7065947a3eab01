/**
 * A queue that serves its keys in turn, and the entries of one key in their order.
 *
 * Load pattern: one customer sends many times its usual to an instance whose processor is saturated.
 * Each customer's requests then wait behind its own, not behind the others'.
 */
export interface FairQueue<T> {
  readonly add: (key: string, entry: T) => void;
  /** The first entry of the key whose turn it is. */
  readonly take: () => T | undefined;
  readonly size: () => number;
}

export function createFairQueue<T>(): FairQueue<T> {
  /** Keys that wait, in the order of their turns. */
  const waiting = new Map<string, T[]>();
  let size = 0;
  return {
    add: (key, entry) => {
      size += 1;
      const entries = waiting.get(key);
      if (entries === undefined) waiting.set(key, [entry]);
      else entries.push(entry);
    },
    take: () => {
      const [first] = waiting;
      if (first === undefined) return undefined;
      const [key, entries] = first;
      waiting.delete(key);
      const entry = entries.shift();
      // The others come first before this key has its next turn.
      if (entries.length > 0) waiting.set(key, entries);
      size -= 1;
      return entry;
    },
    size: () => size,
  };
}
