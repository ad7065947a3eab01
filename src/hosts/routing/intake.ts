/**
 * Admission queue that passes one request to the core per turn of the event loop.
 *
 * Node.js accepts one connection per turn, however many are pending. If a turn handled everything that
 * arrived on keep-alive connections, new callers would time out in the accept queue while the process
 * was busy with the others. Requests therefore wait here, where their age is known, rather than in the
 * kernel's accept queue. In addition, each turn passes on one overdue request; the core rejects it, so
 * that its caller can go to another instance.
 */
import type { Millis } from '../../core/clock.js';
import { createFairQueue } from '../../routing/load/fairQueue.js';

export interface Intake<T> {
  /** Queues a request under its caller's key. It is admitted in a later turn. */
  readonly add: (key: string, entry: T) => void;
  /** Removes and returns all entries that were not admitted yet. */
  readonly takeAll: () => readonly T[];
}

export interface IntakeOptions<T> {
  readonly now: () => Millis;
  /** Passes a request to the core; returns false if it was dropped because its caller has left. */
  readonly admit: (entry: T) => boolean;
  /** Schedules an action for the next turn; `setImmediate` by default. */
  readonly defer?: (action: () => void) => void;
}

/** Wait after which a request is overdue and admitted in addition to the newest one. */
const OVERDUE_WAIT_MS: Millis = 100;

export function createIntake<T>(options: IntakeOptions<T>): Intake<T> {
  const { now, admit, defer = setImmediate } = options;
  const queue = createFairQueue<T>();
  let isTurnScheduled = false;

  /** Takes entries until one is admitted, skipping those whose callers have left. */
  function admitOne(take: () => T | undefined): void {
    let entry = take();
    while (entry !== undefined && !admit(entry)) entry = take();
  }

  function runTurn(): void {
    isTurnScheduled = queue.size() > 0;
    if (!isTurnScheduled) return;
    defer(runTurn);
    admitOne(queue.takeNewest);
    const overdueSince = now() - OVERDUE_WAIT_MS;
    admitOne(() => queue.takeOldest(overdueSince));
  }

  return {
    add: (key, entry) => {
      const addedAt = now();
      // Deferred by a turn, so that a disconnect that has already arrived is read first.
      defer(() => {
        queue.add(key, entry, addedAt);
        if (isTurnScheduled) return;
        isTurnScheduled = true;
        defer(runTurn);
      });
    },
    takeAll: () => {
      const entries: T[] = [];
      for (let entry = queue.takeNewest(); entry !== undefined; entry = queue.takeNewest())
        entries.push(entry);
      return entries;
    },
  };
}
