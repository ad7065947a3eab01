/** Turns the state of the core into bounded JSON for the status page. */

const MAX_ENTRIES = 100;
const MAX_DEPTH = 5;

/** Copies a value without functions; long lists and maps are cut, with their full size beside. */
export function describe(value: unknown, depth = 0): unknown {
  if (typeof value === 'function') return undefined;
  if (typeof value === 'string') return hideHashes(value);
  if (typeof value !== 'object' || value === null) return value;
  if (value instanceof Map) return describeMap(value, depth);
  if (value instanceof Set) return describeList([...value], value.size, depth);
  if (Array.isArray(value)) return describeList(value, value.length, depth);
  if (ArrayBuffer.isView(value)) return { bytes: value.byteLength };
  if (depth >= MAX_DEPTH) return '…';
  const entries = Object.entries(value).slice(0, MAX_ENTRIES);
  return Object.fromEntries(entries.map(([key, item]) => [key, describe(item, depth + 1)]));
}

/** Shortens hashes of keys, which are of no use to a reader but to a guesser. */
function hideHashes(text: string): string {
  return text.replace(/[0-9a-f]{64}/g, (hash) => `${hash.slice(0, 8)}…`);
}

function describeMap(map: ReadonlyMap<unknown, unknown>, depth: number): unknown {
  if (depth >= MAX_DEPTH) return { size: map.size };
  const shown: Record<string, unknown> = {};
  let left = MAX_ENTRIES;
  for (const [key, item] of map) {
    if (left === 0) return { size: map.size, first: shown };
    left -= 1;
    shown[hideHashes(String(key))] = describe(item, depth + 1);
  }
  return shown;
}

function describeList(list: readonly unknown[], size: number, depth: number): unknown {
  if (depth >= MAX_DEPTH) return { size };
  const shown = list.slice(0, MAX_ENTRIES).map((item) => describe(item, depth + 1));
  return size > MAX_ENTRIES ? { size, first: shown } : shown;
}
