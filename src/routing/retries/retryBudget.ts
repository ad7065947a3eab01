/**
 * Retry budget of one pool. Within a sliding window, an instance may make retries in proportion to
 * its own requests, plus its part of a slack that is divided among all instances. The fleet stays
 * within its total budget because each instance stays within its own, without any coordination.
 */
import type { Millis } from '../../core/clock.js';

export interface RetryBudgetOptions {
  /** Retries per request. */
  readonly ratio: number;
  /** This instance's part of the slack in each window. */
  readonly slack: number;
  readonly windowMs: Millis;
}

export interface RetryBudget {
  /** Counts a request, which increases the budget. */
  readonly recordRequest: (now: Millis) => void;
  /** Consumes one retry. Returns false if the budget is exhausted. */
  readonly tryConsume: (now: Millis, options: RetryBudgetOptions) => boolean;
  /** Returns the retries that remain. */
  readonly remaining: (now: Millis, options: RetryBudgetOptions) => number;
}

/** Number of slices into which a window is divided for counting. */
const SLICES_PER_WINDOW = 10;

interface Slice {
  readonly number: number;
  requests: number;
  retries: number;
}

export function createRetryBudget(): RetryBudget {
  let slices: Slice[] = [];
  let sliceMs: Millis = 1_000;

  function currentSlice(now: Millis): Slice {
    const number = Math.floor(now / sliceMs);
    // Keeps one slice more than a window has, since a window covers two of them only in part.
    slices = slices.filter((slice) => slice.number >= number - SLICES_PER_WINDOW);
    const last = slices.at(-1);
    if (last?.number === number) return last;
    const slice = { number, requests: 0, retries: 0 };
    slices.push(slice);
    return slice;
  }

  function remaining(now: Millis, options: RetryBudgetOptions): number {
    sliceMs = options.windowMs / SLICES_PER_WINDOW;
    currentSlice(now);
    const requests = slices.reduce((sum, slice) => sum + slice.requests, 0);
    const retries = slices.reduce((sum, slice) => sum + slice.retries, 0);
    return options.ratio * requests + options.slack - retries;
  }

  return {
    recordRequest: (now) => {
      currentSlice(now).requests += 1;
    },
    remaining,
    tryConsume: (now, options) => {
      if (remaining(now, options) < 1) return false;
      currentSlice(now).retries += 1;
      return true;
    },
  };
}
