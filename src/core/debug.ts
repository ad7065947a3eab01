/** Assertions for invariants that only a programming error can violate. */

function fail(message: string): never {
  throw new Error(`Debug failure: ${message}`);
}

/** Throws if `condition` is false. */
function assert(condition: boolean, message: string): asserts condition {
  if (!condition) fail(message);
}

/** Marks the unreachable default branch of an exhaustive switch. */
function assertNever(value: never): never {
  return fail(`unexpected value ${JSON.stringify(value)}`);
}

/** Returns `value`, or throws if it is `undefined`. */
function assertDefined<T>(value: T | undefined, what: string): T {
  if (value === undefined) fail(`${what} is undefined`);
  return value;
}

export const Debug = { fail, assert, assertNever, assertDefined } as const;
