/** Reads the status page, whose shape may be that of another version of the program. */

export type StatusValue = Readonly<Record<string, unknown>>;

/** Returns the object at a path; `undefined` if there is none. */
export function partOf(value: unknown, ...path: readonly string[]): StatusValue | undefined {
  let current: unknown = value;
  for (const name of path) {
    if (typeof current !== 'object' || current === null) return undefined;
    current = (current as StatusValue)[name];
  }
  return typeof current === 'object' && current !== null ? (current as StatusValue) : undefined;
}

/** Entries of a map on the page; a cut one holds its first entries beside its size. */
export function entriesOf(value: StatusValue | undefined): readonly (readonly [string, unknown])[] {
  const first = partOf(value, 'first');
  return Object.entries(first ?? value ?? {});
}

export function numberAt(value: unknown, ...path: readonly string[]): number {
  const parent = partOf(value, ...path.slice(0, -1));
  const found = parent?.[path.at(-1) ?? ''];
  return typeof found === 'number' ? found : 0;
}
