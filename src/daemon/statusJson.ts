/** Converts the core's state to JSON of bounded size for `GET /status`. */

const MAX_ENTRIES = 100;
const MAX_DEPTH = 5;

/** Copies a value without functions. Long lists and maps are truncated and report their full size. */
export function toStatusJson(value: unknown, depth = 0): unknown {
  if (typeof value === 'function') return undefined;
  if (typeof value === 'string') return shortenHashes(value);
  if (typeof value !== 'object' || value === null) return value;
  if (value instanceof Map) return mapToStatusJson(value, depth);
  if (value instanceof Set) return listToStatusJson([...value], value.size, depth);
  if (Array.isArray(value)) return listToStatusJson(value, value.length, depth);
  if (ArrayBuffer.isView(value)) return { bytes: value.byteLength };
  if (depth >= MAX_DEPTH) return '…';
  const entries = Object.entries(value).slice(0, MAX_ENTRIES);
  return Object.fromEntries(entries.map(([key, item]) => [key, toStatusJson(item, depth + 1)]));
}

/** Truncates hashes of API keys: readers do not need them, and they would allow offline guessing. */
function shortenHashes(text: string): string {
  return text.replace(/[0-9a-f]{64}/g, (hash) => `${hash.slice(0, 8)}…`);
}

function mapToStatusJson(map: ReadonlyMap<unknown, unknown>, depth: number): unknown {
  if (depth >= MAX_DEPTH) return { size: map.size };
  const shown: Record<string, unknown> = {};
  let remaining = MAX_ENTRIES;
  for (const [key, item] of map) {
    if (remaining === 0) return { size: map.size, first: shown };
    remaining -= 1;
    shown[shortenHashes(String(key))] = toStatusJson(item, depth + 1);
  }
  return shown;
}

function listToStatusJson(list: readonly unknown[], size: number, depth: number): unknown {
  if (depth >= MAX_DEPTH) return { size };
  const shown = list.slice(0, MAX_ENTRIES).map((item) => toStatusJson(item, depth + 1));
  return size > MAX_ENTRIES ? { size, first: shown } : shown;
}
