/** Exponentially decaying counts and averages: older observations have less weight. */
import type { Millis } from '../core/clock.js';

/** Returns the fraction of a value that remains after `elapsedMs`. */
export function decayFactor(elapsedMs: Millis, timeConstantMs: Millis): number {
  return Math.exp(-Math.max(0, elapsedMs) / timeConstantMs);
}

/** Decaying counts of demand and of the admitted part of it, as of the time `at`. */
export interface DecayingCounts {
  asked: number;
  admitted: number;
  at: Millis;
}

export function createDecayingCounts(now: Millis): DecayingCounts {
  return { asked: 0, admitted: 0, at: now };
}

/** Applies the decay since the last update to counts. */
export function decay(counts: DecayingCounts, now: Millis, timeConstantMs: Millis): void {
  const factor = decayFactor(now - counts.at, timeConstantMs);
  counts.asked *= factor;
  counts.admitted *= factor;
  counts.at = now;
}
