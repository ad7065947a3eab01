/**
 * Measures what an instance does with its own processor: how busy its loop is, by how much it is late,
 * and what passes its ports. A reading is taken at a steady interval, so that a log line or the
 * metrics tell a saturated process from one whose upstreams are.
 */
import { performance } from 'node:perf_hooks';
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';

/** What is counted between two readings. */
export type LoadCount =
  /** Connections of callers that were accepted. */
  | 'accepted'
  /** Requests of callers that were read whole. */
  | 'read'
  /** Requests whose callers had left before they were decided. */
  | 'dead'
  /** Messages from and to other instances. */
  | 'messagesIn'
  | 'messagesOut';

/** What one interval has shown. */
export interface MeasuredLoad extends Readonly<Record<LoadCount, number>> {
  /** Part of the time in which the loop was at work or waited for the processor, from 0 to 1. */
  readonly utilization: number;
  /** Time by which the reading was late. */
  readonly lagMs: Millis;
  /** Longest time from a request's reading to its decision. */
  readonly oldestMs: Millis;
}

export interface LoadMeterOptions {
  readonly now: () => Millis;
  readonly onReading: (reading: MeasuredLoad) => void;
  /** Part of the time since the last call in which the loop was at work; the process's own by default. */
  readonly utilization?: () => number;
  readonly intervalMs?: Millis;
}

export interface LoadMeter {
  readonly start: () => void;
  readonly stop: () => void;
  readonly count: (what: LoadCount) => void;
  /** Notes how long a request waited from its reading to its decision. */
  readonly noteAge: (ageMs: Millis) => void;
  /** The last reading, or what there is before the first one. */
  readonly last: () => MeasuredLoad;
}

const NO_COUNTS: Readonly<Record<LoadCount, number>> = {
  accepted: 0,
  read: 0,
  dead: 0,
  messagesIn: 0,
  messagesOut: 0,
};

export function createLoadMeter(options: LoadMeterOptions): LoadMeter {
  const { now, onReading, intervalMs = MS_PER_SECOND } = options;
  const utilization = options.utilization ?? createLoopUtilization();
  let counts = { ...NO_COUNTS };
  let oldestMs: Millis = 0;
  let dueAt: Millis = 0;
  let timer: NodeJS.Timeout | undefined;
  let last: MeasuredLoad = { ...NO_COUNTS, utilization: 0, lagMs: 0, oldestMs: 0 };

  function schedule(): void {
    dueAt = now() + intervalMs;
    timer = setTimeout(take, intervalMs);
    timer.unref();
  }

  function take(): void {
    last = { ...counts, utilization: utilization(), lagMs: Math.max(0, now() - dueAt), oldestMs };
    counts = { ...NO_COUNTS };
    oldestMs = 0;
    onReading(last);
    schedule();
  }

  return {
    start: schedule,
    stop: () => clearTimeout(timer),
    count: (what) => {
      counts[what] += 1;
    },
    noteAge: (ageMs) => {
      oldestMs = Math.max(oldestMs, ageMs);
    },
    last: () => last,
  };
}

/** Part of the time since the last call in which the loop did not wait for events. */
function createLoopUtilization(): () => number {
  let before = performance.eventLoopUtilization();
  return () => {
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(current, before);
    before = current;
    return utilization;
  };
}
