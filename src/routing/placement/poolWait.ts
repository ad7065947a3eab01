/**
 * Moving average of the expected wait at the upstreams of a pool. A pool without any wait has spare
 * capacity, however much has been admitted so far.
 */
import type { Millis } from '../../core/clock.js';
import { decayFactor } from '../decay.js';

export interface PoolWait {
  /** Adds a sample: the mean wait at the usable upstreams. */
  readonly record: (waitMs: Millis, now: Millis) => void;
  /**
   * Returns 1 if nothing waits; the value falls linearly to 0 at `SATURATED_WAIT_MS`. It is also 0
   * before the first sample.
   */
  readonly idleness: () => number;
}

/** Time constant of the average. */
const AVERAGE_TIME_CONSTANT_MS: Millis = 500;
/** With this much queued work, upstreams do not run idle between two decisions of the instances. */
export const SATURATED_WAIT_MS: Millis = 60;

export function createPoolWait(): PoolWait {
  let average: Millis | undefined;
  let recordedAt: Millis = 0;
  return {
    record: (waitMs, now) => {
      const factor = decayFactor(now - recordedAt, AVERAGE_TIME_CONSTANT_MS);
      average = average === undefined ? waitMs : waitMs + factor * (average - waitMs);
      recordedAt = now;
    },
    idleness: () => (average === undefined ? 0 : Math.max(0, 1 - average / SATURATED_WAIT_MS)),
  };
}
