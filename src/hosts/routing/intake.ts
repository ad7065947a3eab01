/**
 * Lets requests into the core one in each turn of the loop.
 *
 * The loop accepts one connection in a turn, however many wait. A turn in which all that has arrived on
 * kept connections is decided would leave new callers waiting until they have given up, while the
 * process works for others without a pause. So each turn decides one request; those that wait are
 * here, where their age is known, and not in the system's queue of connections. A request that has
 * waited for long is decided beside it: the core turns it away, and its caller finds another instance.
 */
import type { Millis } from '../../core/clock.js';
import { createFairQueue } from '../../routing/load/fairQueue.js';

export interface Intake<T> {
  /** Takes a request of a caller, known by its key. It is decided in a later turn. */
  readonly add: (key: string, entry: T) => void;
}

export interface IntakeOptions<T> {
  readonly now: () => Millis;
  /** Decides a request; false if it needed no work, as its caller had left. */
  readonly decide: (entry: T) => boolean;
  /** Calls an action in the next turn of the loop. */
  readonly nextTurn?: (action: () => void) => void;
}

/** Wait after which a request is decided beside the newer ones. */
const LONG_WAIT_MS: Millis = 100;

export function createIntake<T>(options: IntakeOptions<T>): Intake<T> {
  const { now, decide, nextTurn = setImmediate } = options;
  const queue = createFairQueue<T>();
  let isTurnTaken = false;

  /** Takes entries until one of them needed work. */
  function decideOne(take: () => T | undefined): void {
    let entry = take();
    while (entry !== undefined && !decide(entry)) entry = take();
  }

  function runTurn(): void {
    isTurnTaken = queue.size() > 0;
    if (!isTurnTaken) return;
    nextTurn(runTurn);
    decideOne(queue.takeNewest);
    const before = now() - LONG_WAIT_MS;
    decideOne(() => queue.takeOldest(before));
  }

  return {
    add: (key, entry) => {
      const addedAt = now();
      // What arrives until the turn after this one is read first: the caller may have left meanwhile.
      nextTurn(() => {
        queue.add(key, entry, addedAt);
        if (isTurnTaken) return;
        isTurnTaken = true;
        nextTurn(runTurn);
      });
    },
  };
}
