/**
 * Exhaustive exploration of a system with choices: every sequence of choices up to a depth, each
 * state visited once. A system is rebuilt by repeating its choices, so it needs no copying.
 */

/** A system that is driven by choices and can tell whether a rule was broken. */
export interface ChoiceSystem {
  /** Names of the choices that are open now, in a fixed order. */
  readonly choices: () => readonly string[];
  readonly apply: (choice: string) => void;
  /** Text that is equal for states that behave alike from here on. */
  readonly key: () => string;
  /** The broken rule, or `undefined`. */
  readonly violation: () => string | undefined;
}

export interface ExploreOptions {
  readonly create: () => ChoiceSystem;
  /** Longest sequence of choices. */
  readonly maxDepth: number;
  /** Largest number of states; an exploration that reaches it is not complete. */
  readonly maxStates?: number;
}

export interface ExploreResult {
  readonly states: number;
  readonly isComplete: boolean;
  /** The shortest sequence of choices that breaks a rule. */
  readonly failure?: { readonly rule: string; readonly trace: readonly string[] };
}

/** Explores breadth-first, so that the failure found is one of the shortest. */
export function explore(options: ExploreOptions): ExploreResult {
  const { create, maxDepth, maxStates = 1_000_000 } = options;
  const seen = new Set([create().key()]);
  let frontier: (readonly string[])[] = [[]];
  for (let depth = 0; depth < maxDepth && frontier.length > 0; depth += 1) {
    const next: (readonly string[])[] = [];
    for (const trace of frontier) {
      for (const choice of replay(create, trace).choices()) {
        const extended = [...trace, choice];
        const system = replay(create, extended);
        const rule = system.violation();
        if (rule !== undefined) {
          return { states: seen.size, isComplete: true, failure: { rule, trace: extended } };
        }
        const key = system.key();
        if (!seen.has(key)) {
          seen.add(key);
          next.push(extended);
        }
        if (seen.size >= maxStates) return { states: seen.size, isComplete: false };
      }
    }
    frontier = next;
  }
  return { states: seen.size, isComplete: true };
}

function replay(create: () => ChoiceSystem, trace: readonly string[]): ChoiceSystem {
  const system = create();
  trace.forEach((choice) => system.apply(choice));
  return system;
}
