/**
 * Lets requests into the core one in each turn of the loop.
 *
 * The loop accepts one connection in a turn, however many wait. A turn in which all that has arrived on
 * kept connections is decided would leave new callers waiting until they have given up, while the
 * process works for others without a pause. So each turn decides one request; those that wait are
 * here, where their age is known, and not in the system's queue of connections.
 */
import { createFairQueue } from '../../routing/load/fairQueue.js';

export interface Intake<T> {
  /** Takes a request of a caller, known by its key. It is decided in a later turn. */
  readonly add: (key: string, entry: T) => void;
}

export interface IntakeOptions<T> {
  /** Decides a request; false if it needed no work, as its caller had left. */
  readonly decide: (entry: T) => boolean;
  /** Calls an action in the next turn of the loop. */
  readonly nextTurn?: (action: () => void) => void;
}

export function createIntake<T>(options: IntakeOptions<T>): Intake<T> {
  const { decide, nextTurn = setImmediate } = options;
  const queue = createFairQueue<T>();
  let isTurnTaken = false;

  function decideNext(): void {
    let hasWorked = false;
    while (!hasWorked && queue.size() > 0) {
      const entry = queue.take();
      hasWorked = entry !== undefined && decide(entry);
    }
  }

  function runTurn(): void {
    isTurnTaken = queue.size() > 0;
    if (!isTurnTaken) return;
    nextTurn(runTurn);
    decideNext();
  }

  return {
    add: (key, entry) => {
      // What arrives until the turn after this one is read first: the caller may have left meanwhile.
      nextTurn(() => {
        queue.add(key, entry);
        if (isTurnTaken) return;
        isTurnTaken = true;
        nextTurn(runTurn);
      });
    },
  };
}
