/** Discrete-event simulation. Actions run in order of time; ties run in order of scheduling. */
import TinyQueue from 'tinyqueue';
import type { Millis } from '../../core/clock.js';

export interface Simulation {
  readonly now: () => Millis;
  readonly at: (time: Millis, action: () => void) => void;
  readonly after: (delay: Millis, action: () => void) => void;
  /** Runs all actions up to and including `end`. */
  readonly runUntil: (end: Millis) => void;
}

interface ScheduledAction {
  readonly time: Millis;
  readonly order: number;
  readonly action: () => void;
}

export function createSimulation(): Simulation {
  const queue = new TinyQueue<ScheduledAction>([], (a, b) => a.time - b.time || a.order - b.order);
  let now: Millis = 0;
  let order = 0;
  const at = (time: Millis, action: () => void) => {
    order += 1;
    queue.push({ time: Math.max(now, time), order, action });
  };
  return {
    now: () => now,
    at,
    after: (delay, action) => at(now + delay, action),
    runUntil: (end) => {
      for (let next = queue.peek(); next !== undefined; next = queue.peek()) {
        if (next.time > end) break;
        queue.pop();
        now = next.time;
        next.action();
      }
      now = end;
    },
  };
}
