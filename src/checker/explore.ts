/**
 * Exhaustive exploration of a transition system: tries every sequence of actions up to a maximum
 * depth and expands each distinct state once. A state is restored by replaying its actions on a new
 * system, so systems need not support copying.
 */

/** A system that is driven by discrete actions and checks its own invariants. */
export interface TransitionSystem {
  /** Names of the actions that are possible in the current state, in a deterministic order. */
  readonly enabledActions: () => readonly string[];
  readonly apply: (action: string) => void;
  /** Serialized state; equal for states that behave identically from here on. */
  readonly stateKey: () => string;
  /** Description of the violated invariant in the current state, or `undefined`. */
  readonly violation: () => string | undefined;
}

export interface ExploreOptions {
  readonly create: () => TransitionSystem;
  /** Maximum length of a sequence of actions. */
  readonly maxDepth: number;
  /** Maximum number of distinct states; an exploration that reaches it is incomplete. */
  readonly maxStates?: number;
}

export interface ExploreResult {
  readonly states: number;
  /** False only if the exploration stopped because it reached `maxStates`. */
  readonly isComplete: boolean;
  /** A shortest sequence of actions that violates an invariant. */
  readonly failure?: { readonly violation: string; readonly trace: readonly string[] };
}

/** Explores breadth-first, so that a failure has a trace of minimal length. */
export function explore(options: ExploreOptions): ExploreResult {
  const { create, maxDepth, maxStates = 1_000_000 } = options;
  const seen = new Set([create().stateKey()]);
  let frontier: (readonly string[])[] = [[]];
  for (let depth = 0; depth < maxDepth && frontier.length > 0; depth += 1) {
    const nextFrontier: (readonly string[])[] = [];
    for (const trace of frontier) {
      for (const action of replay(create, trace).enabledActions()) {
        const nextTrace = [...trace, action];
        const system = replay(create, nextTrace);
        const violation = system.violation();
        if (violation !== undefined) {
          return {
            states: seen.size,
            isComplete: true,
            failure: { violation, trace: nextTrace },
          };
        }
        const key = system.stateKey();
        if (!seen.has(key)) {
          seen.add(key);
          nextFrontier.push(nextTrace);
        }
        if (seen.size >= maxStates) return { states: seen.size, isComplete: false };
      }
    }
    frontier = nextFrontier;
  }
  return { states: seen.size, isComplete: true };
}

function replay(create: () => TransitionSystem, trace: readonly string[]): TransitionSystem {
  const system = create();
  trace.forEach((action) => system.apply(action));
  return system;
}
