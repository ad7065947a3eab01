/**
 * One append-only stream of the platform's log, with record offsets, long-polling reads, and
 * retention by count and by age.
 */
import type { Millis } from '../core/clock.js';

export interface LogRecord {
  readonly offset: number;
  readonly data: string;
}

/** Result of a read; `expired` if the requested offset is no longer retained. */
export type ReadResult =
  | { readonly kind: 'records'; readonly records: readonly LogRecord[]; readonly next: number }
  | { readonly kind: 'expired'; readonly oldest: number };

export interface LogStreamOptions {
  /** Maximum number of retained records. */
  readonly retentionRecords: number;
  /** Maximum age of a retained record. */
  readonly retentionMs: Millis;
  readonly now: () => Millis;
}

export interface LogStream {
  /** Appends records and returns the offset of the first one. */
  append: (records: readonly string[]) => number;
  /** Reads up to `limit` records from offset `from`; waits up to `waitMs` if there are none yet. */
  read: (from: number, limit: number, waitMs: Millis) => Promise<ReadResult>;
  /** Wakes all waiting readers without a new record. */
  wake: () => void;
}

interface StoredRecord {
  readonly data: string;
  readonly appendedAt: Millis;
}

/** Creates an empty stream. */
export function createLogStream(options: LogStreamOptions): LogStream {
  const waitingReaders = new Set<() => void>();
  let records: StoredRecord[] = [];
  let oldest = 0;

  function removeExpired(): void {
    const minAppendedAt = options.now() - options.retentionMs;
    const firstRetained = records.findIndex(({ appendedAt }) => appendedAt >= minAppendedAt);
    const expiredByAge = firstRetained < 0 ? records.length : firstRetained;
    const expiredCount = Math.max(expiredByAge, records.length - options.retentionRecords);
    if (expiredCount <= 0) return;
    records = records.slice(expiredCount);
    oldest += expiredCount;
  }

  function wake(): void {
    waitingReaders.forEach((resume) => resume());
    waitingReaders.clear();
  }

  const waitForAppend = async (waitMs: Millis) =>
    new Promise<void>((resolve) => {
      waitingReaders.add(resolve);
      setTimeout(() => {
        waitingReaders.delete(resolve);
        resolve();
      }, waitMs).unref();
    });

  function readNow(from: number, limit: number): ReadResult {
    removeExpired();
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
      removeExpired();
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
