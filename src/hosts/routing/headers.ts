/** Headers of requests and answers, of which some end at one connection (RFC 9110, section 7.6.1). */
import type { RawHeaders } from './types.js';

/** Lower-case names of headers that belong to one connection. */
export const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
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

/** Headers that are passed on: all but those of the connection, those it names, and `dropped`. */
export function endToEndHeaders(
  rawHeaders: RawHeaders,
  dropped: ReadonlySet<string> = new Set(),
): string[] {
  const named = new Set<string>();
  forEachHeader(rawHeaders, (_name, value, lowerName) => {
    if (lowerName !== 'connection') return;
    value.split(',').forEach((token) => named.add(token.trim().toLowerCase()));
  });
  const kept: string[] = [];
  forEachHeader(rawHeaders, (name, value, lowerName) => {
    const isDropped =
      CONNECTION_HEADERS.has(lowerName) || named.has(lowerName) || dropped.has(lowerName);
    if (!isDropped) kept.push(name, value);
  });
  return kept;
}

/** First value of a header. */
export function headerValue(rawHeaders: RawHeaders, wanted: string): string | undefined {
  let found: string | undefined;
  forEachHeader(rawHeaders, (_name, value, lowerName) => {
    if (lowerName === wanted) found ??= value;
  });
  return found;
}
