/** The real clock and timers. Time never steps back: it is read from the monotonic clock. */
import type { System } from './types.js';

/** Longest delay that a timer of Node.js takes. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/** Creates the system interface of this process. */
export function createSystem(): System {
  const now = () => performance.timeOrigin + performance.now();
  return {
    now,
    schedule: (at, action) => {
      const delay = Math.min(Math.max(0, at - now()), MAX_DELAY_MS);
      const timer = setTimeout(action, delay);
      return () => clearTimeout(timer);
    },
    defer: (action) => {
      setImmediate(action);
    },
  };
}
