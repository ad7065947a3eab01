/**
 * One append-only stream of the platform's log: records with offsets, readers that wait for the
 * next record, and records that expire.
 */
import type { Millis } from '../core/clock.js';

export interface LogRecord {
  readonly offset: number;
  readonly data: string;
}

/** What a read gives. */
export type ReadResult =
  | { readonly kind: 'records'; readonly records: readonly LogRecord[]; readonly next: number }
  | { readonly kind: 'expired'; readonly oldest: number };

export interface LogStream {
  /** Appends records and returns the offset of the first. */
  append: (records: readonly string[]) => number;
  /** Reads from `from`; waits up to `waitMs` if there is nothing yet. */
  read: (from: number, limit: number, waitMs: Millis) => Promise<ReadResult>;
  /** Wakes all waiting readers. */
  wake: () => void;
}

/** Creates an empty stream. */
export function createLogStream(): LogStream {
  const records: string[] = [];
  const oldest = 0;
  const waiting = new Set<() => void>();

  const wake = () => {
    waiting.forEach((resume) => resume());
    waiting.clear();
  };

  const waitForAppend = async (waitMs: Millis) =>
    new Promise<void>((resolve) => {
      waiting.add(resolve);
      setTimeout(resolve, waitMs).unref();
    });

  function readNow(from: number, limit: number): ReadResult {
    if (from < oldest) return { kind: 'expired', oldest };
    const found = records
      .slice(from - oldest, from - oldest + limit)
      .map((data, i) => ({ offset: from + i, data }));
    return { kind: 'records', records: found, next: from + found.length };
  }

  return {
    append: (added) => {
      const first = oldest + records.length;
      records.push(...added);
      wake();
      return first;
    },
    read: async (from, limit, waitMs) => {
      if (from >= oldest + records.length && waitMs > 0) await waitForAppend(waitMs);
      return readNow(from, limit);
    },
    wake,
  };
}
