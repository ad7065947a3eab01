/**
 * A steady clock that tells when time has passed that it did not count: a suspended process sees
 * nothing of it on the steady clock, but the time of day and the time since the machine started go
 * on. The time of day may also be set; a jump ahead is reported as well, since the two cannot always
 * be told apart.
 */
import { uptime } from 'node:os';
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import type { GapClock } from './types.js';

export interface GapClockSources {
  readonly steady: () => Millis;
  readonly timeOfDay: () => Millis;
  /** Time since the machine started, suspensions included. */
  readonly sinceBoot: () => Millis;
}

/** Smaller differences are due to the resolution of the clocks and to their adjustment. */
const SMALLEST_GAP_MS: Millis = 300;
/** The time since boot is read from a file, and not more often than this. */
const BOOT_CHECK_INTERVAL_MS: Millis = 200;

const PROCESS_SOURCES: GapClockSources = {
  steady: () => performance.timeOrigin + performance.now(),
  timeOfDay: () => Date.now(),
  sinceBoot: () => uptime() * MS_PER_SECOND,
};

export function createGapClock(sources: GapClockSources = PROCESS_SOURCES): GapClock {
  let steady = sources.steady();
  let timeOfDay = sources.timeOfDay();
  let bootCheckedAt = steady;
  let sinceBoot = sources.sinceBoot();

  function takeDayGap(now: Millis): Millis {
    const next = sources.timeOfDay();
    const gap = next - timeOfDay - (now - steady);
    steady = now;
    timeOfDay = next;
    return gap;
  }

  function takeBootGap(now: Millis): Millis {
    if (now - bootCheckedAt < BOOT_CHECK_INTERVAL_MS) return 0;
    const next = sources.sinceBoot();
    const gap = next - sinceBoot - (now - bootCheckedAt);
    sinceBoot = next;
    bootCheckedAt = now;
    return gap;
  }

  return {
    now: sources.steady,
    takeGap: () => {
      const now = sources.steady();
      // A suspension shows in both, maybe at different calls; counting it twice errs on the safe side.
      const gap = Math.max(takeDayGap(now), takeBootGap(now));
      return gap < SMALLEST_GAP_MS ? 0 : gap;
    },
  };
}
