/** Counts events in a sliding window, in slices of equal length. */
import type { Millis } from '../core/clock.js';

export interface SlidingCount {
  readonly add: (now: Millis) => void;
  /** Returns the number of events in the window, and those before it in the same slice. */
  readonly count: (now: Millis) => number;
}

export interface SlidingCountOptions {
  readonly windowMs: Millis;
  readonly slices: number;
}

export function createSlidingCount({ windowMs, slices }: SlidingCountOptions): SlidingCount {
  const sliceMs = windowMs / slices;
  let counted: { readonly slice: number; count: number }[] = [];

  function dropOld(now: Millis): number {
    const current = Math.floor(now / sliceMs);
    // A window begins within a slice, which is counted as a whole.
    counted = counted.filter(({ slice }) => slice >= current - slices);
    return current;
  }

  return {
    add: (now) => {
      const current = dropOld(now);
      const last = counted.at(-1);
      if (last?.slice === current) last.count += 1;
      else counted.push({ slice: current, count: 1 });
    },
    count: (now) => {
      dropOld(now);
      return counted.reduce((sum, { count }) => sum + count, 0);
    },
  };
}
