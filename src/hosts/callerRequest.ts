/** Reads a caller's request: its body within limits, its pool, its marks and its prompt. */
import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type { Millis } from '../core/clock.js';
import type { CallerRequestEvent, KeyHash, NotRunProblem, RequestId } from '../core/types.js';
import { headerOf } from './httpServer.js';
import { CONNECTION_HEADERS } from './routing/headers.js';
import type { OutgoingRequest } from './types.js';

/** Characters of a prompt that one prefix block covers. */
export const PREFIX_BLOCK_CHARS = 256;
/** Longest prefix, in blocks, that is hashed. */
const MAX_PREFIX_BLOCKS = 64;
const BLOCK_HASH_CHARS = 16;
const CHARS_PER_TOKEN = 4;
const MAX_DEADLINE_MS: Millis = 24 * 60 * 60 * 1_000;
const MAX_KEY_CHARS = 255;

/** Request headers that end at this hop or that are replaced for the upstream. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set([
  ...CONNECTION_HEADERS,
  'authorization',
  'content-length',
  'expect',
  'host',
  'x-cost-hint',
  'x-deadline-ms',
  'x-idempotent',
  'x-request-id',
  'x-resume-from',
]);

/** Where a request goes, found from its path. */
export type CallerRoute =
  | { readonly kind: 'completion'; readonly path: string }
  | { readonly kind: 'service'; readonly pool: string; readonly path: string };

export interface ReadRequest {
  readonly event: CallerRequestEvent;
  readonly outgoing: OutgoingRequest;
}

export type ReadResult =
  | { readonly kind: 'read'; readonly request: ReadRequest }
  | { readonly kind: 'refused'; readonly problem: NotRunProblem };

class RequestFormatError extends Error {}

interface CompletionContent {
  readonly model: string;
  readonly prompt: string;
  readonly isStreamed: boolean;
}

const EMPTY_CONTENT: CompletionContent = { model: '', prompt: '', isStreamed: false };

/** Reads the body; `undefined` if it is over the limit. Rejects if the caller leaves. */
export async function readBody(
  req: IncomingMessage,
  limit: number,
): Promise<Uint8Array | undefined> {
  if (Number(req.headers['content-length'] ?? 0) > limit) return undefined;
  const parts: Buffer[] = [];
  let size = 0;
  // Leaving the loop early must not destroy the connection that the refusal is sent on.
  for await (const part of req.iterator({ destroyOnReturn: false })) {
    size += (part as Buffer).length;
    if (size > limit) return undefined;
    parts.push(part as Buffer);
  }
  return parts.length === 1 ? parts[0] : Buffer.concat(parts);
}

/** Reads the marks and the content of a request whose body has arrived. */
export function readCallerRequest(
  requestId: RequestId,
  route: CallerRoute,
  req: IncomingMessage,
  body: Uint8Array,
): ReadResult {
  try {
    return { kind: 'read', request: parseRequest(requestId, route, req, body) };
  } catch (err) {
    if (err instanceof RequestFormatError) return malformed(err.message);
    throw err;
  }
}

/** A refusal of a request that cannot be read. */
export function malformed(
  detail: string,
  status = 400,
): { kind: 'refused'; problem: NotRunProblem } {
  return {
    kind: 'refused',
    problem: {
      code: 'malformedRequest',
      status,
      executed: 'no',
      step: 'receive',
      peer: { kind: 'caller' },
      detail,
      args: { reason: detail },
    },
  };
}

function parseRequest(
  requestId: RequestId,
  route: CallerRoute,
  req: IncomingMessage,
  body: Uint8Array,
): ReadRequest {
  const method = req.method ?? 'GET';
  const content = route.kind === 'completion' ? readCompletion(body) : EMPTY_CONTENT;
  const pool = route.kind === 'completion' ? content.model : route.pool;
  const keyHash = readKeyHash(req);
  const event: CallerRequestEvent = {
    kind: 'callerRequest',
    requestId,
    keyHash,
    pool,
    method,
    path: route.path,
    ...readMarks(req),
    fingerprint: fingerprintOf(keyHash, method, route.path, body),
    bodyBytes: body.length,
    promptTokens: Math.ceil(content.prompt.length / CHARS_PER_TOKEN),
    prefixBlocks: prefixBlocksOf(content.prompt),
    streamed: content.isStreamed,
  };
  return {
    event,
    outgoing: { method, path: route.path, headers: forwardedHeaders(req, route), body },
  };
}

/** SHA-256 of the bearer key, so that no key reaches the core, a log or a dump. */
export function readKeyHash(req: IncomingMessage): KeyHash {
  const match = /^Bearer +([!-~]+) *$/i.exec(headerOf(req, 'authorization') ?? '');
  return match?.[1] === undefined ? '' : sha256(match[1]);
}

function readMarks(req: IncomingMessage) {
  const idempotent = readBoolean(req, 'x-idempotent');
  const idempotencyKey = headerOf(req, 'idempotency-key');
  const costHint = readNumber(req, 'x-cost-hint');
  const deadlineInMs = readNumber(req, 'x-deadline-ms');
  if (idempotencyKey !== undefined && !/^[!-~]+$/.test(idempotencyKey)) {
    throw new RequestFormatError('Idempotency-Key has characters other than visible ASCII.');
  }
  if ((idempotencyKey?.length ?? 0) > MAX_KEY_CHARS) {
    throw new RequestFormatError(`Idempotency-Key is longer than ${MAX_KEY_CHARS} characters.`);
  }
  return {
    ...(idempotent === undefined ? {} : { idempotent }),
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    ...(costHint === undefined ? {} : { costHint }),
    ...(deadlineInMs === undefined
      ? {}
      : { deadlineInMs: Math.min(deadlineInMs, MAX_DEADLINE_MS) }),
  };
}

function readBoolean(req: IncomingMessage, name: string): boolean | undefined {
  const value = headerOf(req, name)?.toLowerCase();
  if (value === undefined) return undefined;
  if (value !== 'true' && value !== 'false') {
    throw new RequestFormatError(`${name} is neither true nor false.`);
  }
  return value === 'true';
}

function readNumber(req: IncomingMessage, name: string): number | undefined {
  const text = headerOf(req, name);
  if (text === undefined) return undefined;
  if (!/^\d{1,15}(\.\d{1,6})?$/.test(text)) {
    throw new RequestFormatError(`${name} is not a number.`);
  }
  return Number(text);
}

function readCompletion(body: Uint8Array): CompletionContent {
  const value = parseJson(body);
  if (!isObject(value)) throw new RequestFormatError('The body is not a JSON object.');
  const { model, stream = false } = value;
  if (typeof model !== 'string' || model === '')
    throw new RequestFormatError("'model' is missing.");
  if (typeof stream !== 'boolean') throw new RequestFormatError("'stream' is not a boolean.");
  return { model, prompt: promptOf(value), isStreamed: stream };
}

function parseJson(body: Uint8Array): unknown {
  let text: string;
  try {
    text = new TextDecoder('utf-8', { fatal: true }).decode(body);
  } catch {
    throw new RequestFormatError('The body is not UTF-8.');
  }
  try {
    return JSON.parse(text);
  } catch {
    throw new RequestFormatError('The body is not JSON.');
  }
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** The prompt as one text: the messages one after the other, or the prompt itself. */
function promptOf(value: Readonly<Record<string, unknown>>): string {
  const { messages, prompt } = value;
  if (messages === undefined) return textOf(prompt ?? '', "'prompt'");
  if (!Array.isArray(messages)) throw new RequestFormatError("'messages' is not a list.");
  return messages
    .map((message: unknown) => {
      if (!isObject(message)) throw new RequestFormatError('A message is not an object.');
      return `${String(message.role)} ${textOf(message.content ?? '', 'A content')}`;
    })
    .join('\n');
}

function textOf(value: unknown, what: string): string {
  if (typeof value === 'string') return value;
  if (Array.isArray(value)) return JSON.stringify(value);
  throw new RequestFormatError(`${what} is neither a text nor a list.`);
}

/** Chained hashes: each block's hash covers the whole prefix up to its end. */
export function prefixBlocksOf(prompt: string): readonly string[] {
  const count = Math.min(Math.floor(prompt.length / PREFIX_BLOCK_CHARS), MAX_PREFIX_BLOCKS);
  const blocks: string[] = [];
  let previous = '';
  for (let i = 0; i < count; i += 1) {
    const block = prompt.slice(i * PREFIX_BLOCK_CHARS, (i + 1) * PREFIX_BLOCK_CHARS);
    previous = sha256(previous + block).slice(0, BLOCK_HASH_CHARS);
    blocks.push(previous);
  }
  return blocks;
}

function fingerprintOf(keyHash: KeyHash, method: string, path: string, body: Uint8Array): string {
  const hash = createHash('sha256').update(`${keyHash}\n${method}\n${path}\n`).update(body);
  return hash.digest('hex').slice(0, 2 * BLOCK_HASH_CHARS);
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function forwardedHeaders(req: IncomingMessage, route: CallerRoute): Record<string, string> {
  const named = (headerOf(req, 'connection') ?? '').toLowerCase().split(/\s*,\s*/);
  // Tokens can only be counted in an answer that is not compressed.
  if (route.kind === 'completion') named.push('accept-encoding');
  const headers: Record<string, string> = {};
  Object.entries(req.headers).forEach(([name, value]) => {
    if (value === undefined || DROPPED_HEADERS.has(name) || named.includes(name)) return;
    headers[name] = Array.isArray(value) ? value.join(', ') : value;
  });
  return headers;
}
