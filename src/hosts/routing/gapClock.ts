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

/** Smaller differences from the time of day are due to its adjustment. */
const SMALLEST_DAY_GAP_MS: Millis = 300;
/** The time since boot may be told in whole seconds. */
const SMALLEST_BOOT_GAP_MS: Millis = 1_100;
/** The time since boot is read from a file, and not more often than this. */
const BOOT_CHECK_INTERVAL_MS: Millis = 200;

const PROCESS_SOURCES: GapClockSources = {
  steady: () => performance.timeOrigin + performance.now(),
  timeOfDay: () => Date.now(),
  sinceBoot: () => uptime() * MS_PER_SECOND,
};

export function createGapClock(sources: GapClockSources = PROCESS_SOURCES): GapClock {
  const { steady, timeOfDay, sinceBoot } = sources;
  const day = createComparison(timeOfDay() - steady(), SMALLEST_DAY_GAP_MS);
  const boot = createComparison(sinceBoot() - steady(), SMALLEST_BOOT_GAP_MS);
  let bootCheckedAt = steady();

  function takeBootGap(now: Millis): Millis {
    if (now - bootCheckedAt < BOOT_CHECK_INTERVAL_MS) return 0;
    bootCheckedAt = now;
    return boot.takeGap(sinceBoot() - now);
  }

  return {
    now: steady,
    takeGap: () => {
      const now = steady();
      const dayGap = day.takeGap(timeOfDay() - now);
      // A suspension shows in both, maybe at different calls; counting it twice errs on the safe side.
      return Math.max(dayGap, takeBootGap(now));
    },
  };
}

/** Follows by how much a clock is ahead of the steady one. */
function createComparison(lead: Millis, smallestGap: Millis) {
  let known = lead;
  return {
    /** Time by which the clock has gained since the last gap; 0 below the smallest one. */
    takeGap: (next: Millis): Millis => {
      const gap = next - known;
      if (Math.abs(gap) < smallestGap) return 0;
      known = next;
      return Math.max(0, gap);
    },
  };
}
