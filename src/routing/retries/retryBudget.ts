/**
 * Budget of retries of one pool: a share of the instance's own requests in a sliding window, plus
 * the instance's part of a slack that all instances have together. Since each instance stays within
 * its part, the fleet does, and nothing has to be exchanged.
 */
import type { Millis } from '../../core/clock.js';

export interface RetryBudgetOptions {
  readonly ratio: number;
  /** This instance's part of the slack in each window. */
  readonly slack: number;
  readonly windowMs: Millis;
}

export interface RetryBudget {
  readonly noteRequest: (now: Millis) => void;
  /** Takes one retry; false if the budget is spent. */
  readonly take: (now: Millis, options: RetryBudgetOptions) => boolean;
  /** Retries that could be taken now. */
  readonly left: (now: Millis, options: RetryBudgetOptions) => number;
}

/** Parts into which a window is divided. */
const SLICES = 10;

interface Slice {
  readonly number: number;
  requests: number;
  retries: number;
}

export function createRetryBudget(): RetryBudget {
  let slices: Slice[] = [];
  let sliceMs: Millis = 1_000;

  function current(now: Millis): Slice {
    const number = Math.floor(now / sliceMs);
    // One slice more than the window, since windows slide.
    slices = slices.filter((slice) => slice.number >= number - SLICES);
    const last = slices.at(-1);
    if (last?.number === number) return last;
    const slice = { number, requests: 0, retries: 0 };
    slices.push(slice);
    return slice;
  }

  function left(now: Millis, options: RetryBudgetOptions): number {
    sliceMs = options.windowMs / SLICES;
    current(now);
    const requests = slices.reduce((sum, slice) => sum + slice.requests, 0);
    const retries = slices.reduce((sum, slice) => sum + slice.retries, 0);
    return options.ratio * requests + options.slack - retries;
  }

  return {
    noteRequest: (now) => {
      current(now).requests += 1;
    },
    left,
    take: (now, options) => {
      if (left(now, options) < 1) return false;
      current(now).retries += 1;
      return true;
    },
  };
}
