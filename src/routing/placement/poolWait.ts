/**
 * How long requests wait at a pool's upstreams on average, as placement sees it over the last moment.
 * Where nothing waits, there is capacity left, whatever has been admitted so far.
 */
import type { Millis } from '../../core/clock.js';
import { partKept } from '../decay.js';

export interface PoolWait {
  /** Takes in the mean wait at the upstreams that can be used. */
  readonly note: (waitMs: Millis, now: Millis) => void;
  /** 1 where nothing waits, 0 from the wait on at which upstreams are kept busy. */
  readonly idleness: () => number;
}

/** Time constant of the average. */
const AVERAGE_SPAN_MS: Millis = 500;
/** Upstreams at which this much waits do not run dry between two decisions of the instances. */
const BUSY_WAIT_MS: Millis = 60;

export function createPoolWait(): PoolWait {
  let average: Millis | undefined;
  let notedAt: Millis = 0;
  return {
    note: (waitMs, now) => {
      const kept = partKept(now - notedAt, AVERAGE_SPAN_MS);
      average = average === undefined ? waitMs : waitMs + kept * (average - waitMs);
      notedAt = now;
    },
    idleness: () => (average === undefined ? 0 : Math.max(0, 1 - average / BUSY_WAIT_MS)),
  };
}
