/**
 * Samples the load of the process at a fixed interval: event loop utilization, event loop lag and
 * traffic counts. Logs and metrics use the readings to distinguish a saturated process from saturated
 * upstreams.
 */
import { performance } from 'node:perf_hooks';
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';

/** Counters that are reset with each reading. */
export type LoadCounter =
  /** Accepted caller connections. */
  | 'accepted'
  /** Caller requests that were read completely. */
  | 'read'
  /** Requests whose callers disconnected before admission. */
  | 'dead'
  /** Messages from and to peer instances. */
  | 'messagesIn'
  | 'messagesOut';

/** Measurements of one interval. */
export interface MeasuredLoad extends Readonly<Record<LoadCounter, number>> {
  /** Fraction of the interval, from 0 to 1, in which the loop ran or waited for the CPU. */
  readonly utilization: number;
  /** Delay of the reading's timer. */
  readonly lagMs: Millis;
  /** Longest wait of a request between being read and being admitted. */
  readonly oldestMs: Millis;
}

export interface LoadMeterOptions {
  readonly now: () => Millis;
  readonly onReading: (reading: MeasuredLoad) => void;
  /** Event loop utilization since the previous call; that of this process by default. */
  readonly utilization?: () => number;
  readonly intervalMs?: Millis;
}

export interface LoadMeter {
  readonly start: () => void;
  readonly stop: () => void;
  readonly count: (what: LoadCounter) => void;
  /** Records how long a request waited between being read and being admitted. */
  readonly recordWait: (ageMs: Millis) => void;
  /** The latest reading; all zeros before the first one. */
  readonly lastReading: () => MeasuredLoad;
}

const ZERO_COUNTS: Readonly<Record<LoadCounter, number>> = {
  accepted: 0,
  read: 0,
  dead: 0,
  messagesIn: 0,
  messagesOut: 0,
};

export function createLoadMeter(options: LoadMeterOptions): LoadMeter {
  const { now, onReading, intervalMs = MS_PER_SECOND } = options;
  const utilization = options.utilization ?? createUtilizationReader();
  let counts = { ...ZERO_COUNTS };
  let oldestMs: Millis = 0;
  let dueAt: Millis = 0;
  let timer: NodeJS.Timeout | undefined;
  let lastReading: MeasuredLoad = { ...ZERO_COUNTS, utilization: 0, lagMs: 0, oldestMs: 0 };

  function schedule(): void {
    dueAt = now() + intervalMs;
    timer = setTimeout(takeReading, intervalMs);
    timer.unref();
  }

  function takeReading(): void {
    lastReading = {
      ...counts,
      utilization: utilization(),
      lagMs: Math.max(0, now() - dueAt),
      oldestMs,
    };
    counts = { ...ZERO_COUNTS };
    oldestMs = 0;
    onReading(lastReading);
    schedule();
  }

  return {
    start: schedule,
    stop: () => clearTimeout(timer),
    count: (what) => {
      counts[what] += 1;
    },
    recordWait: (ageMs) => {
      oldestMs = Math.max(oldestMs, ageMs);
    },
    lastReading: () => lastReading,
  };
}

/** Creates a function that returns the event loop utilization since its previous call. */
function createUtilizationReader(): () => number {
  let previous = performance.eventLoopUtilization();
  return () => {
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(current, previous);
    previous = current;
    return utilization;
  };
}
