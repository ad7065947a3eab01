/** Load reports that lag behind the state they describe. */
import type { Millis } from '../core/clock.js';
import { MS_PER_SECOND } from '../core/clock.js';

/** Body of `GET /load`. */
export interface LoadReport {
  /** Requests in the batch. */
  readonly running: number;
  /** Requests queued in the engine. */
  readonly queued: number;
  readonly slots: number;
  readonly tokensPerSecond: number;
  readonly model: string;
  readonly version: string;
  readonly role: string;
  readonly adapters: Readonly<Record<string, string>>;
  readonly orderNumber: number;
  /** Changes whenever the prefix cache is lost and its event numbers start over. */
  readonly cacheEpoch: number;
}

export interface CachedReport<T> {
  current: () => T;
  stop: () => void;
}

/** Refreshes the report from `read()` every `lagMs`; with a lag of 0 it is always current. */
export function createCachedReport<T>(read: () => T, lagMs: Millis): CachedReport<T> {
  if (lagMs === 0) return { current: read, stop: () => {} };
  let published = read();
  const timer = setInterval(() => {
    published = read();
  }, lagMs);
  timer.unref();
  return { current: () => published, stop: () => clearInterval(timer) };
}

/** Creates a meter that derives a rate per second from a growing count, updated at most once a second. */
export function createRateMeter(count: () => number): () => number {
  let previousCount = count();
  let measuredAt = performance.now();
  let rate = 0;
  return () => {
    const now = performance.now();
    const elapsed = now - measuredAt;
    if (elapsed < MS_PER_SECOND) return rate;
    const currentCount = count();
    rate = ((currentCount - previousCount) * MS_PER_SECOND) / elapsed;
    previousCount = currentCount;
    measuredAt = now;
    return rate;
  };
}
