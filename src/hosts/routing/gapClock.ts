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
/**
 * The time since boot may be told in whole seconds, and the steady clock of a busy process may be
 * behind by some hundred milliseconds within a turn of its loop. Shorter suspensions show in the
 * time of day.
 */
const SMALLEST_BOOT_GAP_MS: Millis = 1_800;
/** The time since boot is read from a file, and not more often than this. */
const BOOT_CHECK_INTERVAL_MS: Millis = 200;
/** Two clocks whose readings lie further apart are read again. */
const LONGEST_READING_MS: Millis = 20;
const MAX_READINGS = 3;

const PROCESS_SOURCES: GapClockSources = {
  steady: () => performance.timeOrigin + performance.now(),
  timeOfDay: () => Date.now(),
  sinceBoot: () => uptime() * MS_PER_SECOND,
};

export function createGapClock(sources: GapClockSources = PROCESS_SOURCES): GapClock {
  const { steady, timeOfDay, sinceBoot } = sources;
  const day = createComparison(steady, timeOfDay, SMALLEST_DAY_GAP_MS);
  const boot = createComparison(steady, sinceBoot, SMALLEST_BOOT_GAP_MS);
  let bootCheckedAt = steady();

  function takeBootGap(): Millis {
    const now = steady();
    if (now - bootCheckedAt < BOOT_CHECK_INTERVAL_MS) return 0;
    bootCheckedAt = now;
    return boot.takeGap();
  }

  return {
    now: steady,
    // A suspension shows in both, maybe at different calls; counting it twice errs on the safe side.
    takeGap: () => Math.max(day.takeGap(), takeBootGap()),
  };
}

/** Follows by how much a clock is ahead of the steady one. */
function createComparison(steady: () => Millis, clock: () => Millis, smallestGap: Millis) {
  let known = readLead(steady, clock) ?? clock() - steady();
  return {
    /** Time by which the clock has gained since the last gap; 0 below the smallest one. */
    takeGap: (): Millis => {
      const lead = readLead(steady, clock);
      // The next reading tells.
      if (lead === undefined) return 0;
      const gap = lead - known;
      if (Math.abs(gap) < smallestGap) return 0;
      known = lead;
      return Math.max(0, gap);
    },
  };
}

/**
 * Reads two clocks so close to each other that their difference means something. A process that
 * waits for the processor between the readings would take that wait for time that was not counted.
 */
function readLead(steady: () => Millis, clock: () => Millis): Millis | undefined {
  for (let i = 0; i < MAX_READINGS; i += 1) {
    const before = steady();
    const read = clock();
    if (steady() - before <= LONGEST_READING_MS) return read - before;
  }
  return undefined;
}
