/** Iterates and filters raw headers; drops hop-by-hop headers (RFC 9110, section 7.6.1). */
import type { RawHeaders } from './types.js';

/** Lower-case names of the hop-by-hop headers. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Calls `action` for each header. */
export function forEachHeader(
  rawHeaders: RawHeaders,
  action: (name: string, value: string, lowerName: string) => void,
): void {
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = rawHeaders[i] ?? '';
    action(name, rawHeaders[i + 1] ?? '', name.toLowerCase());
  }
}

/** Returns all headers but the hop-by-hop ones, those listed in `Connection`, and `excluded`. */
export function endToEndHeaders(
  rawHeaders: RawHeaders,
  excluded: ReadonlySet<string> = new Set(),
): string[] {
  const connectionOptions = new Set<string>();
  forEachHeader(rawHeaders, (_name, value, lowerName) => {
    if (lowerName !== 'connection') return;
    value.split(',').forEach((token) => connectionOptions.add(token.trim().toLowerCase()));
  });
  const kept: string[] = [];
  forEachHeader(rawHeaders, (name, value, lowerName) => {
    const isExcluded =
      HOP_BY_HOP_HEADERS.has(lowerName) ||
      connectionOptions.has(lowerName) ||
      excluded.has(lowerName);
    if (!isExcluded) kept.push(name, value);
  });
  return kept;
}

/** Returns the first value of a header; `wantedName` is in lower case. */
export function headerValue(rawHeaders: RawHeaders, wantedName: string): string | undefined {
  let found: string | undefined;
  forEachHeader(rawHeaders, (_name, value, lowerName) => {
    if (lowerName === wantedName) found ??= value;
  });
  return found;
}
