/**
 * Splits a stream of server-sent events into complete events, counts the tokens they carry and
 * detects the end marker. Only complete events are forwarded, so that a stream that is cut can be
 * resumed.
 */

// An event ends with an empty line; lines end with `\n` or `\r\n`.
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Data of the last event of a completion stream. */
const END_MARKER = '[DONE]';
/** Maximum size of an event; a stream with a longer one is not a completion stream. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Events that were completed by a chunk. */
export interface EventBatch {
  /** Bytes of the complete events; empty if the chunk completed none. */
  readonly bytes: Uint8Array;
  readonly tokens: number;
  /** Whether an event's id differs from the expected id or, without one, from the first event's. */
  readonly isForeign: boolean;
}

export interface TokenUsage {
  readonly promptTokens?: number;
  readonly outputTokens?: number;
}

export interface EventStreamReader {
  readonly read: (chunk: Uint8Array) => EventBatch;
  readonly hasEnded: () => boolean;
  /** Whether bytes of an incomplete event remain. */
  readonly hasPartialEvent: () => boolean;
  readonly usage: () => TokenUsage;
  /** Id in the events, if they have one. */
  readonly responseId: () => string | undefined;
}

const EMPTY_BYTES = new Uint8Array(0);

/** Creates a reader of one stream. If `expectedId` is given, events with another id are foreign. */
export function createEventStreamReader(expectedId?: string): EventStreamReader {
  let partialEvent: Uint8Array = EMPTY_BYTES;
  let hasEnded = false;
  let responseId = expectedId;
  let usage: TokenUsage = {};

  /** Reads one event; returns its tokens, or `undefined` if it belongs to another response. */
  function readEvent(text: string): number | undefined {
    const data = extractData(text);
    if (data === undefined) return 0;
    if (data.trim() === END_MARKER) {
      hasEnded = true;
      return 0;
    }
    const value = parseObject(data);
    if (value === undefined) return 0;
    const { id } = value;
    if (typeof id === 'string') {
      responseId ??= id;
      if (id !== responseId) return undefined;
    }
    if (isRecord(value.usage)) usage = readUsage(value.usage);
    return hasContent(value) ? 1 : 0;
  }

  return {
    read: (chunk) => {
      const bytes = partialEvent.length === 0 ? chunk : Buffer.concat([partialEvent, chunk]);
      const end = findLastEventEnd(bytes);
      partialEvent = end === bytes.length ? EMPTY_BYTES : bytes.subarray(end);
      if (partialEvent.length > MAX_EVENT_BYTES) throw new Error('An event is too long.');
      if (end === 0) return { bytes: EMPTY_BYTES, tokens: 0, isForeign: false };
      const completeEvents = bytes.subarray(0, end);
      let tokens = 0;
      for (const text of splitEvents(completeEvents)) {
        const count = readEvent(text);
        if (count === undefined) return { bytes: EMPTY_BYTES, tokens: 0, isForeign: true };
        tokens += count;
      }
      return { bytes: completeEvents, tokens, isForeign: false };
    },
    hasEnded: () => hasEnded,
    hasPartialEvent: () => partialEvent.length > 0,
    usage: () => usage,
    responseId: () => responseId,
  };
}

/** Position after the last empty line, which ends the last complete event; 0 if there is none. */
export function findLastEventEnd(bytes: Uint8Array): number {
  for (let i = bytes.length - 1; i > 0; i -= 1) {
    if (bytes[i] === LINE_FEED) {
      const previousLineEnd = bytes[i - 1] === CARRIAGE_RETURN ? i - 2 : i - 1;
      if (previousLineEnd >= 0 && bytes[previousLineEnd] === LINE_FEED) return i + 1;
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

/** Returns the joined data lines of an event; `undefined` if it has none. */
function extractData(text: string): string | undefined {
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

/** Whether the event carries generated text. */
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

/** Reads the `usage` object of a completion. Cached prompt tokens are not counted. */
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

/** Id and token usage of a response that is a single JSON body. */
export interface ResponseBodyInfo extends TokenUsage {
  readonly id?: string;
}

/** Reads id and token usage of a response that is a single JSON body. */
export function readResponseBodyInfo(body: Uint8Array): ResponseBodyInfo {
  const value = parseObject(Buffer.from(body).toString('utf8'));
  const usage = isRecord(value?.usage) ? readUsage(value.usage) : {};
  return typeof value?.id === 'string' ? { ...usage, id: value.id } : usage;
}
