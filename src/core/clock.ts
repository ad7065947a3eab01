/**
 * Time representation of the whole program: milliseconds since the Unix epoch, or a duration in
 * milliseconds. The core never reads a clock; the current time is an argument of `reduce`.
 */

/** A point in time or a duration, in milliseconds. */
export type Millis = number;

export const MS_PER_SECOND: Millis = 1_000;

/** Source of the current time for the hosts, which perform input and output for the core. */
export interface Clock {
  now: () => Millis;
}

/** A clock that only advances on request, for tests and trace replay. */
export interface ManualClock extends Clock {
  advance: (span: Millis) => void;
}

/** Creates a clock that starts at `start` and is moved forward with `advance`. */
export function createManualClock(start: Millis = 0): ManualClock {
  let current = start;
  return {
    now: () => current,
    advance: (span) => {
      current += span;
    },
  };
}
