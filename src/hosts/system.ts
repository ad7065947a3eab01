/** Clock and timers of Node.js. Time never goes backwards: it is read from the monotonic clock. */
import type { System } from './types.js';

/** Maximum delay of a Node.js timer. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/** Creates the `System` of this process. */
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
