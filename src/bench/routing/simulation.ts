/** Simulated time: actions run in the order of their times, those of one time in the order given. */
import TinyQueue from 'tinyqueue';
import type { Millis } from '../../core/clock.js';

export interface Simulation {
  readonly now: () => Millis;
  readonly at: (time: Millis, action: () => void) => void;
  readonly after: (delay: Millis, action: () => void) => void;
  /** Runs all actions up to a time. */
  readonly runUntil: (end: Millis) => void;
}

interface Planned {
  readonly time: Millis;
  readonly order: number;
  readonly action: () => void;
}

export function createSimulation(): Simulation {
  const planned = new TinyQueue<Planned>([], (a, b) => a.time - b.time || a.order - b.order);
  let now: Millis = 0;
  let order = 0;
  const at = (time: Millis, action: () => void) => {
    order += 1;
    planned.push({ time: Math.max(now, time), order, action });
  };
  return {
    now: () => now,
    at,
    after: (delay, action) => at(now + delay, action),
    runUntil: (end) => {
      for (let next = planned.peek(); next !== undefined; next = planned.peek()) {
        if (next.time > end) break;
        planned.pop();
        now = next.time;
        next.action();
      }
      now = end;
    },
  };
}
