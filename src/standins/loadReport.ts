/** Load reports of the model engine, which lag behind its state. */
import type { Millis } from '../core/clock.js';
import { MS_PER_SECOND } from '../core/clock.js';

/** Body of `GET /load`. */
export interface LoadReport {
  /** Requests in the batch. */
  readonly running: number;
  /** Requests that wait in the engine. */
  readonly queued: number;
  readonly slots: number;
  readonly tokensPerSecond: number;
  readonly model: string;
  readonly version: string;
  readonly role: string;
  readonly adapters: Readonly<Record<string, string>>;
  readonly orderNumber: number;
  /** Changes whenever the prefix cache was lost and its events start again. */
  readonly cacheEpoch: number;
}

export interface LaggingReport<T> {
  current: () => T;
  stop: () => void;
}

/** Publishes `read()` every `lagMs`; a lag of 0 shows the state of the moment. */
export function createLaggingReport<T>(read: () => T, lagMs: Millis): LaggingReport<T> {
  if (lagMs === 0) return { current: read, stop: () => {} };
  let published = read();
  const timer = setInterval(() => {
    published = read();
  }, lagMs);
  timer.unref();
  return { current: () => published, stop: () => clearInterval(timer) };
}

/** Creates a meter that turns a growing count into a rate over about the last second. */
export function createRateMeter(count: () => number): () => number {
  let countBefore = count();
  let measuredAt = performance.now();
  let rate = 0;
  return () => {
    const now = performance.now();
    const elapsed = now - measuredAt;
    if (elapsed < MS_PER_SECOND) return rate;
    const counted = count();
    rate = ((counted - countBefore) * MS_PER_SECOND) / elapsed;
    countBefore = counted;
    measuredAt = now;
    return rate;
  };
}
