/**
 * Time as the whole program sees it: milliseconds since the Unix epoch, or a span of them. The core
 * never reads a clock; the current time is an argument of `reduce`.
 */

/** A point in time or a duration, in milliseconds. */
export type Millis = number;

export const MS_PER_SECOND: Millis = 1_000;

/** Source of the current time for hosts. */
export interface Clock {
  now: () => Millis;
}

/** A clock that moves only when told to, for tests and trace replay. */
export interface ManualClock extends Clock {
  advance: (span: Millis) => void;
}

/** Creates a clock that starts at `start` and moves by `advance`. */
export function createManualClock(start: Millis = 0): ManualClock {
  let current = start;
  return {
    now: () => current,
    advance: (span) => {
      current += span;
    },
  };
}
