/**
 * Splits a stream of server-sent events into whole events, counts the tokens they carry and finds
 * the end mark. Only whole events are passed on, so that a stream that breaks off can be resumed.
 */

/** End of an event: an empty line, after `\n` or `\r\n`. */
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const END_MARK = '[DONE]';
/** Longest single event; a longer one is not a completion stream. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** What a chunk completed. */
export interface EventBatch {
  /** Bytes of the whole events; empty if none was completed. */
  readonly bytes: Uint8Array;
  readonly tokens: number;
  /** Whether an event named another answer than the first event did. */
  readonly isForeign: boolean;
}

export interface TokenUsage {
  readonly promptTokens?: number;
  readonly outputTokens?: number;
}

export interface EventStreamReader {
  readonly read: (chunk: Uint8Array) => EventBatch;
  readonly hasEnded: () => boolean;
  /** Whether bytes of an unfinished event are left. */
  readonly hasRest: () => boolean;
  readonly usage: () => TokenUsage;
  /** Id that the events name, if they name one. */
  readonly answerId: () => string | undefined;
}

const NOTHING = new Uint8Array(0);

/** Creates a reader of one stream. With an `expectedId` events with another id are foreign. */
export function createEventStreamReader(expectedId?: string): EventStreamReader {
  let rest: Uint8Array = NOTHING;
  let hasEnded = false;
  let answerId = expectedId;
  let usage: TokenUsage = {};

  /** Reads one event; returns its tokens, or `undefined` if it is another answer's. */
  function readEvent(text: string): number | undefined {
    const data = dataOf(text);
    if (data === undefined) return 0;
    if (data.trim() === END_MARK) {
      hasEnded = true;
      return 0;
    }
    const value = parseObject(data);
    if (value === undefined) return 0;
    const { id } = value;
    if (typeof id === 'string') {
      answerId ??= id;
      if (id !== answerId) return undefined;
    }
    if (isRecord(value.usage)) usage = readUsage(value.usage);
    return hasContent(value) ? 1 : 0;
  }

  return {
    read: (chunk) => {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const end = endOfLastEvent(bytes);
      rest = end === bytes.length ? NOTHING : bytes.subarray(end);
      if (rest.length > MAX_EVENT_BYTES) throw new Error('An event is too long.');
      if (end === 0) return { bytes: NOTHING, tokens: 0, isForeign: false };
      const whole = bytes.subarray(0, end);
      let tokens = 0;
      for (const text of splitEvents(whole)) {
        const count = readEvent(text);
        if (count === undefined) return { bytes: NOTHING, tokens: 0, isForeign: true };
        tokens += count;
      }
      return { bytes: whole, tokens, isForeign: false };
    },
    hasEnded: () => hasEnded,
    hasRest: () => rest.length > 0,
    usage: () => usage,
    answerId: () => answerId,
  };
}

/** Position after the last empty line, with which the last whole event ends; 0 if there is none. */
export function endOfLastEvent(bytes: Uint8Array): number {
  for (let i = bytes.length - 1; i > 0; i -= 1) {
    if (bytes[i] === LINE_FEED) {
      const before = bytes[i - 1] === CARRIAGE_RETURN ? i - 2 : i - 1;
      if (before >= 0 && bytes[before] === LINE_FEED) return i + 1;
    }
  }
  return 0;
}

function splitEvents(bytes: Uint8Array): readonly string[] {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)
    .toString('utf8')
    .split(/\r?\n\r?\n/)
    .filter((text) => text !== '');
}

/** The data lines of an event, joined; `undefined` if it has none. */
function dataOf(text: string): string | undefined {
  if (text.startsWith('data: ') && !text.includes('\n')) return text.slice('data: '.length);
  const lines = text.split(/\r?\n/).filter((line) => line.startsWith('data:'));
  if (lines.length === 0) return undefined;
  return lines.map((line) => line.slice('data:'.length).replace(/^ /, '')).join('\n');
}

function parseObject(text: string): Readonly<Record<string, unknown>> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return isRecord(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Whether the event carries a part of the answer's text. */
function hasContent(value: Readonly<Record<string, unknown>>): boolean {
  const { choices } = value;
  if (!Array.isArray(choices)) return false;
  return choices.some((choice: unknown) => {
    if (!isRecord(choice)) return false;
    if (typeof choice.text === 'string') return choice.text !== '';
    const { delta } = choice;
    return isRecord(delta) && typeof delta.content === 'string' && delta.content !== '';
  });
}

/** Reads the `usage` object of a completion; prompt tokens count without the cached ones. */
export function readUsage(usage: Readonly<Record<string, unknown>>): TokenUsage {
  const prompt = usage.prompt_tokens;
  const output = usage.completion_tokens;
  const details = usage.prompt_tokens_details;
  const cached = isRecord(details) ? Number(details.cached_tokens ?? 0) : 0;
  return {
    ...(typeof prompt === 'number' ? { promptTokens: Math.max(0, prompt - cached) } : {}),
    ...(typeof output === 'number' ? { outputTokens: output } : {}),
  };
}

/** What an answer that came as one JSON body tells of itself. */
export interface BodyFacts extends TokenUsage {
  readonly id?: string;
}

/** Reads the id and the usage of an answer that came as one JSON body. */
export function readBodyFacts(body: Uint8Array): BodyFacts {
  const value = parseObject(Buffer.from(body).toString('utf8'));
  const usage = isRecord(value?.usage) ? readUsage(value.usage) : {};
  return typeof value?.id === 'string' ? { ...usage, id: value.id } : usage;
}
