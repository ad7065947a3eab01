/**
 * A steady clock that tells when time has passed that it did not count: a suspended process sees
 * nothing of it on the steady clock, but the time of day and the time since the machine started go
 * on. The time of day may also be set; a jump ahead is reported as well, since the two cannot always
 * be told apart.
 *
 * The time since boot may be that of another machine, where this one is emulated: then it runs at
 * another pace than the steady clock, and would tell suspensions again and again. It counts until it
 * has shown that.
 */
import { uptime } from 'node:os';
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import type { ClockGap, GapClock } from './types.js';

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
/** Told where time may have passed and no clock says how much; longer than anything is believed. */
const UNKNOWN_GAP_MS: Millis = 3_600_000;
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
  const day = createLead(steady, timeOfDay);
  const boot = createLead(steady, sinceBoot);
  let dayLead = day.first;
  let bootLead = boot.first;
  /** Lead of the time since boot after its last gap, from which its pace shows. */
  let bootOrigin = boot.first;
  let isBootTrusted = true;
  let bootCheckedAt = steady();
  let hasDayShifted = false;

  /** Change of the time of day's lead; 0 below the smallest gap. */
  function takeDayShift(): Millis {
    const lead = day.read() ?? dayLead;
    const shift = lead - dayLead;
    if (Math.abs(shift) < SMALLEST_DAY_GAP_MS) return 0;
    dayLead = lead;
    hasDayShifted = true;
    return shift;
  }

  function takeBootGap(): Millis {
    const now = steady();
    if (!isBootTrusted || now - bootCheckedAt < BOOT_CHECK_INTERVAL_MS) return 0;
    bootCheckedAt = now;
    const lead = boot.read() ?? bootLead;
    const gap = lead - bootLead;
    bootLead = lead;
    const isGap = gap >= SMALLEST_BOOT_GAP_MS;
    if (isGap) bootOrigin = lead;
    const isOutOfPace = Math.abs(lead - bootOrigin) >= SMALLEST_BOOT_GAP_MS;
    // A suspension that the time of day hides is rare; two are another pace.
    if (isOutOfPace || (isGap && !hasDayShifted)) isBootTrusted = false;
    hasDayShifted = false;
    return isGap ? gap : 0;
  }

  return {
    now: steady,
    isBootTrusted: () => isBootTrusted,
    // A suspension shows in both, maybe at different calls; counting it twice errs on the safe side.
    takeGap: (): ClockGap | undefined => {
      const dayShift = takeDayShift();
      const bootGap = takeBootGap();
      if (bootGap > 0 && bootGap >= dayShift) return { clock: 'sinceBoot', ms: bootGap };
      if (dayShift > 0) return { clock: 'timeOfDay', ms: dayShift };
      // It was set back, maybe while the process was suspended.
      if (dayShift < 0 && !isBootTrusted) return { clock: 'none', ms: UNKNOWN_GAP_MS };
      return undefined;
    },
  };
}

/** By how much a clock is ahead of the steady one. */
function createLead(steady: () => Millis, clock: () => Millis) {
  /**
   * Reads two clocks so close to each other that their difference means something. A process that
   * waits for the processor between the readings would take that wait for time that was not counted.
   */
  function read(): Millis | undefined {
    for (let i = 0; i < MAX_READINGS; i += 1) {
      const before = steady();
      const value = clock();
      if (steady() - before <= LONGEST_READING_MS) return value - before;
    }
    // The next reading tells.
    return undefined;
  }
  return { read, first: read() ?? clock() - steady() };
}
