/** Accessors for the status page, whose shape may differ if the instance runs another version. */

export type StatusObject = Readonly<Record<string, unknown>>;

/** Returns the object at a path, or `undefined` if there is none. */
export function objectAt(value: unknown, ...path: readonly string[]): StatusObject | undefined {
  let current: unknown = value;
  for (const name of path) {
    if (typeof current !== 'object' || current === null) return undefined;
    current = (current as StatusObject)[name];
  }
  return typeof current === 'object' && current !== null ? (current as StatusObject) : undefined;
}

/** Returns the entries of a map. A truncated map holds its first entries in `first`. */
export function entriesOf(
  value: StatusObject | undefined,
): readonly (readonly [string, unknown])[] {
  const first = objectAt(value, 'first');
  return Object.entries(first ?? value ?? {});
}

export function numberAt(value: unknown, ...path: readonly string[]): number {
  const parent = objectAt(value, ...path.slice(0, -1));
  const found = parent?.[path.at(-1) ?? ''];
  return typeof found === 'number' ? found : 0;
}
