/**
 * One append-only stream of the platform's log: records with offsets, readers that wait for the
 * next record, and records that expire by count and by age.
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

export interface LogStreamOptions {
  /** Records kept at most. */
  readonly retentionRecords: number;
  /** Age at which a record expires. */
  readonly retentionMs: Millis;
  readonly now: () => Millis;
}

export interface LogStream {
  /** Appends records and returns the offset of the first. */
  append: (records: readonly string[]) => number;
  /** Reads from `from`; waits up to `waitMs` if there is nothing yet. */
  read: (from: number, limit: number, waitMs: Millis) => Promise<ReadResult>;
  /** Wakes all waiting readers. */
  wake: () => void;
}

interface StoredRecord {
  readonly data: string;
  readonly appendedAt: Millis;
}

/** Creates an empty stream. */
export function createLogStream(options: LogStreamOptions): LogStream {
  const waiting = new Set<() => void>();
  let records: StoredRecord[] = [];
  let oldest = 0;

  function expire(): void {
    const limit = options.now() - options.retentionMs;
    const firstFresh = records.findIndex(({ appendedAt }) => appendedAt >= limit);
    const aged = firstFresh < 0 ? records.length : firstFresh;
    const expired = Math.max(aged, records.length - options.retentionRecords);
    if (expired <= 0) return;
    records = records.slice(expired);
    oldest += expired;
  }

  function wake(): void {
    waiting.forEach((resume) => resume());
    waiting.clear();
  }

  const waitForAppend = async (waitMs: Millis) =>
    new Promise<void>((resolve) => {
      waiting.add(resolve);
      setTimeout(() => {
        waiting.delete(resolve);
        resolve();
      }, waitMs).unref();
    });

  function readNow(from: number, limit: number): ReadResult {
    expire();
    if (from < oldest) return { kind: 'expired', oldest };
    const found = records
      .slice(from - oldest, from - oldest + limit)
      .map(({ data }, i) => ({ offset: from + i, data }));
    return { kind: 'records', records: found, next: from + found.length };
  }

  return {
    append: (added) => {
      const first = oldest + records.length;
      const appendedAt = options.now();
      added.forEach((data) => records.push({ data, appendedAt }));
      expire();
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
