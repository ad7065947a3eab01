/** Averages and counts that follow the last moments: what is older counts less and less. */
import type { Millis } from '../core/clock.js';

/** Part that is kept of a value after a time, with the time constant `spanMs`. */
export function partKept(sinceMs: Millis, spanMs: Millis): number {
  return Math.exp(-Math.max(0, sinceMs) / spanMs);
}

/** What is asked for and what is admitted of it, as of a time. */
export interface DecayingCounts {
  asked: number;
  admitted: number;
  at: Millis;
}

export function createDecayingCounts(now: Millis): DecayingCounts {
  return { asked: 0, admitted: 0, at: now };
}

/** Brings counts up to now. */
export function decay(counts: DecayingCounts, now: Millis, spanMs: Millis): void {
  const kept = partKept(now - counts.at, spanMs);
  counts.asked *= kept;
  counts.admitted *= kept;
  counts.at = now;
}
