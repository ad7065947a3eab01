/**
 * A monotonic clock that detects gaps, i.e. time it did not count. While the process is suspended the
 * monotonic clock stands still, but the time of day and the time since boot advance. The time of day
 * may also be set; a forward jump is reported as a gap too, since the two cases cannot always be
 * distinguished.
 *
 * On an emulated machine the time since boot may be that of the host. It then runs at a different rate
 * than the monotonic clock and would report gaps repeatedly, so it is trusted only until it has been
 * seen to drift.
 */
import { uptime } from 'node:os';
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import type { ClockGap, GapClock } from './types.js';

export interface ClockSources {
  readonly monotonic: () => Millis;
  readonly timeOfDay: () => Millis;
  /** Time since the machine started, suspensions included. */
  readonly sinceBoot: () => Millis;
}

/** Smaller shifts are attributed to gradual adjustment of the time of day. */
const MIN_TIME_OF_DAY_SHIFT_MS: Millis = 300;
/**
 * The time since boot may have a resolution of one second, and the monotonic clock of a busy process
 * may lag by a few hundred milliseconds within one turn of the event loop. Shorter suspensions are
 * detected by the time of day.
 */
const MIN_BOOT_GAP_MS: Millis = 1_800;
/** Reported if a gap of unknown length is possible; longer than any information stays valid. */
const UNKNOWN_GAP_LENGTH_MS: Millis = 3_600_000;
/** Minimum interval between reads of the time since boot, which is read from a file. */
const BOOT_CHECK_INTERVAL_MS: Millis = 200;
/** A pair of clock readings that takes longer than this is repeated. */
const MAX_READING_MS: Millis = 20;
const MAX_READINGS = 3;

const SYSTEM_CLOCKS: ClockSources = {
  monotonic: () => performance.timeOrigin + performance.now(),
  timeOfDay: () => Date.now(),
  sinceBoot: () => uptime() * MS_PER_SECOND,
};

export function createGapClock(sources: ClockSources = SYSTEM_CLOCKS): GapClock {
  const { monotonic, timeOfDay, sinceBoot } = sources;
  const timeOfDayReader = createOffsetReader(monotonic, timeOfDay);
  const bootReader = createOffsetReader(monotonic, sinceBoot);
  let timeOfDayOffset = timeOfDayReader.initialOffset;
  let bootOffset = bootReader.initialOffset;
  /** Offset of the time since boot after its last gap; drift is measured from here. */
  let bootBaseline = bootReader.initialOffset;
  let isBootTrusted = true;
  let bootCheckedAt = monotonic();
  let hasTimeOfDayShifted = false;

  /** Returns the change of the time of day's offset since the last shift; 0 below the minimum. */
  function takeTimeOfDayShift(): Millis {
    const offset = timeOfDayReader.read() ?? timeOfDayOffset;
    const shift = offset - timeOfDayOffset;
    if (Math.abs(shift) < MIN_TIME_OF_DAY_SHIFT_MS) return 0;
    timeOfDayOffset = offset;
    hasTimeOfDayShifted = true;
    return shift;
  }

  function takeBootGap(): Millis {
    const now = monotonic();
    if (!isBootTrusted || now - bootCheckedAt < BOOT_CHECK_INTERVAL_MS) return 0;
    bootCheckedAt = now;
    const offset = bootReader.read() ?? bootOffset;
    const gap = offset - bootOffset;
    bootOffset = offset;
    const isGap = gap >= MIN_BOOT_GAP_MS;
    if (isGap) bootBaseline = offset;
    const hasDrifted = Math.abs(offset - bootBaseline) >= MIN_BOOT_GAP_MS;
    // Setting the time of day rarely coincides with a suspension, so a boot gap without a shift of the
    // time of day means that the time since boot runs at a different rate.
    if (hasDrifted || (isGap && !hasTimeOfDayShifted)) isBootTrusted = false;
    hasTimeOfDayShifted = false;
    return isGap ? gap : 0;
  }

  return {
    now: monotonic,
    isBootTrusted: () => isBootTrusted,
    // Both clocks show a suspension, possibly in different calls. Counting it twice is safe.
    takeGap: (): ClockGap | undefined => {
      const timeOfDayShift = takeTimeOfDayShift();
      const bootGap = takeBootGap();
      if (bootGap > 0 && bootGap >= timeOfDayShift) return { clock: 'sinceBoot', ms: bootGap };
      if (timeOfDayShift > 0) return { clock: 'timeOfDay', ms: timeOfDayShift };
      // The time of day was set back, possibly while the process was suspended.
      if (timeOfDayShift < 0 && !isBootTrusted) return { clock: 'none', ms: UNKNOWN_GAP_LENGTH_MS };
      return undefined;
    },
  };
}

/** Creates a reader of a clock's offset from the monotonic clock. */
function createOffsetReader(monotonic: () => Millis, clock: () => Millis) {
  /**
   * Reads both clocks, and again if too much time passed in between: a process that is descheduled
   * between the two readings would count that delay as a gap.
   */
  function read(): Millis | undefined {
    for (let i = 0; i < MAX_READINGS; i += 1) {
      const before = monotonic();
      const value = clock();
      if (monotonic() - before <= MAX_READING_MS) return value - before;
    }
    // The next call tries again.
    return undefined;
  }
  return { read, initialOffset: read() ?? clock() - monotonic() };
}
