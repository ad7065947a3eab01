/**
 * Crashes of upstreams while they held requests with a possible cause.
 *
 * An upstream that crashes holds many requests, and several upstreams may fail at once. Neither says
 * much about one of these requests. What does is that upstreams crash again and again, each one while
 * it held a request that was sent after the crash before. Only such crashes are counted.
 */
import type { Millis } from '../../core/clock.js';

export interface Crash {
  /** Hash of the upstream's id and start time. */
  readonly upstream: number;
  readonly crashedAt: Millis;
  /** Time for which the upstream had held the last of the requests with the cause. */
  readonly runMs: Millis;
}

/** Maximum number of crashes kept for one cause. */
const MAX_CRASHES = 8;
/** Within this time, reports of several instances on one upstream are about the same crash. */
const SAME_CRASH_MS: Millis = 1_500;
/**
 * Time by which the clocks of two instances may seem to differ, since reports arrive late. A request
 * that was sent earlier than this after a crash may have been sent before it.
 */
const CLOCK_MARGIN_MS: Millis = 250;

/**
 * Adds a crash, unless it is known; returns the same array if nothing changes. Of the requests of
 * several instances at one upstream, the one that was sent last says most.
 *
 * @param isObserved Whether this instance observed the crash, rather than having been told.
 */
export function addCrash(
  crashes: readonly Crash[],
  crash: Crash,
  isObserved: boolean,
): readonly Crash[] {
  const known = crashes.find((other) => isSameCrash(other, crash, isObserved));
  if (known === undefined) {
    return [...crashes, crash].sort((a, b) => a.crashedAt - b.crashedAt).slice(-MAX_CRASHES);
  }
  if (known.runMs <= crash.runMs) return crashes;
  return crashes.map((other) => (other === known ? { ...known, runMs: crash.runMs } : other));
}

function isSameCrash(known: Crash, crash: Crash, isObserved: boolean): boolean {
  if (known.upstream !== crash.upstream) return false;
  // The upstream came back without a new start if a request was sent to it after the crash.
  if (isObserved) return crash.crashedAt - crash.runMs < known.crashedAt;
  return Math.abs(crash.crashedAt - known.crashedAt) < SAME_CRASH_MS;
}

/**
 * Counts crashes of which each one hit a request that was sent after the one before: the largest number
 * of disjoint intervals from sending to crash. The crashes are in order of time.
 */
export function countSuccessiveCrashes(crashes: readonly Crash[]): number {
  let count = 0;
  let earliestSentAt = -Infinity;
  crashes.forEach(({ crashedAt, runMs }) => {
    if (crashedAt - runMs < earliestSentAt) return;
    count += 1;
    earliestSentAt = crashedAt + CLOCK_MARGIN_MS;
  });
  return count;
}

/** Whether each of a cause's crashes is also one of another cause. */
export function areExplainedBy(crashes: readonly Crash[], others: readonly Crash[]): boolean {
  return crashes.every(({ upstream, crashedAt }) =>
    others.some(
      (other) =>
        other.upstream === upstream && Math.abs(other.crashedAt - crashedAt) < SAME_CRASH_MS,
    ),
  );
}
