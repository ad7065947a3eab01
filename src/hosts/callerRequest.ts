/** Parses the request of a caller: size-limited body, pool, control headers and prompt. */
import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type { Millis } from '../core/clock.js';
import type { CallerRequestEvent, KeyHash, NotRunProblem, RequestId } from '../core/types.js';
import { getHeader } from './httpServer.js';
import { HOP_BY_HOP_HEADERS } from './routing/headers.js';
import type { OutgoingRequest } from './types.js';

/** Length of a prefix block in characters of the prompt. */
export const PREFIX_BLOCK_CHARS = 256;
/** Maximum number of prefix blocks that are hashed per prompt. */
const MAX_PREFIX_BLOCKS = 64;
const BLOCK_HASH_CHARS = 16;
/** Estimate used to derive the number of prompt tokens. */
const CHARS_PER_TOKEN = 4;
const MAX_DEADLINE_MS: Millis = 24 * 60 * 60 * 1_000;
const MAX_IDEMPOTENCY_KEY_CHARS = 255;

/** Request headers that are not forwarded to the upstream or that are replaced for it. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP_HEADERS,
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

/** Destination of a request, derived from its path. */
export type CallerRoute =
  | { readonly kind: 'completion'; readonly path: string }
  | { readonly kind: 'service'; readonly pool: string; readonly path: string };

export interface ParsedCallerRequest {
  readonly event: CallerRequestEvent;
  readonly outgoing: OutgoingRequest;
}

export type ParseResult =
  | { readonly kind: 'read'; readonly request: ParsedCallerRequest }
  | { readonly kind: 'refused'; readonly problem: NotRunProblem };

class MalformedRequestError extends Error {}

interface CompletionContent {
  readonly model: string;
  readonly prompt: string;
  readonly isStreamed: boolean;
}

const EMPTY_CONTENT: CompletionContent = { model: '', prompt: '', isStreamed: false };

/** Reads the body; `undefined` if it exceeds the limit. Rejects if the caller disconnects. */
export async function readBody(
  req: IncomingMessage,
  limit: number,
): Promise<Uint8Array | undefined> {
  if (Number(req.headers['content-length'] ?? 0) > limit) return undefined;
  const parts: Buffer[] = [];
  let size = 0;
  // Leaving the loop early must not destroy the connection: the refusal is sent on it.
  for await (const part of req.iterator({ destroyOnReturn: false })) {
    size += (part as Buffer).length;
    if (size > limit) return undefined;
    parts.push(part as Buffer);
  }
  return parts.length === 1 ? parts[0] : Buffer.concat(parts);
}

/** Parses the control headers and the content of a request whose body was read. */
export function parseCallerRequest(
  requestId: RequestId,
  route: CallerRoute,
  req: IncomingMessage,
  body: Uint8Array,
): ParseResult {
  try {
    return { kind: 'read', request: parseRequest(requestId, route, req, body) };
  } catch (err) {
    if (err instanceof MalformedRequestError) return refuseMalformed(err.message);
    throw err;
  }
}

/** Creates the refusal of a request that cannot be parsed. */
export function refuseMalformed(
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
): ParsedCallerRequest {
  const method = req.method ?? 'GET';
  const content = route.kind === 'completion' ? parseCompletion(body) : EMPTY_CONTENT;
  const pool = route.kind === 'completion' ? content.model : route.pool;
  const keyHash = hashBearerKey(req);
  const event: CallerRequestEvent = {
    kind: 'callerRequest',
    requestId,
    keyHash,
    pool,
    method,
    path: route.path,
    ...readControlHeaders(req),
    fingerprint: computeFingerprint(keyHash, method, route.path, body),
    bodyBytes: body.length,
    promptTokens: Math.ceil(content.prompt.length / CHARS_PER_TOKEN),
    prefixBlocks: hashPrefixBlocks(content.prompt),
    streamed: content.isStreamed,
  };
  return {
    event,
    outgoing: { method, path: route.path, headers: selectForwardedHeaders(req, route), body },
  };
}

/** Returns the SHA-256 of the bearer key, so that no key reaches the core, a log or a dump. */
export function hashBearerKey(req: IncomingMessage): KeyHash {
  const match = /^Bearer +([!-~]+) *$/i.exec(getHeader(req, 'authorization') ?? '');
  return match?.[1] === undefined ? '' : sha256(match[1]);
}

function readControlHeaders(req: IncomingMessage) {
  const idempotent = readBooleanHeader(req, 'x-idempotent');
  const idempotencyKey = getHeader(req, 'idempotency-key');
  const costHint = readNumberHeader(req, 'x-cost-hint');
  const deadlineInMs = readNumberHeader(req, 'x-deadline-ms');
  if (idempotencyKey !== undefined && !/^[!-~]+$/.test(idempotencyKey)) {
    throw new MalformedRequestError('Idempotency-Key has characters other than visible ASCII.');
  }
  if ((idempotencyKey?.length ?? 0) > MAX_IDEMPOTENCY_KEY_CHARS) {
    throw new MalformedRequestError(
      `Idempotency-Key is longer than ${MAX_IDEMPOTENCY_KEY_CHARS} characters.`,
    );
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

function readBooleanHeader(req: IncomingMessage, name: string): boolean | undefined {
  const value = getHeader(req, name)?.toLowerCase();
  if (value === undefined) return undefined;
  if (value !== 'true' && value !== 'false') {
    throw new MalformedRequestError(`${name} is neither true nor false.`);
  }
  return value === 'true';
}

function readNumberHeader(req: IncomingMessage, name: string): number | undefined {
  const text = getHeader(req, name);
  if (text === undefined) return undefined;
  if (!/^\d{1,15}(\.\d{1,6})?$/.test(text)) {
    throw new MalformedRequestError(`${name} is not a number.`);
  }
  return Number(text);
}

function parseCompletion(body: Uint8Array): CompletionContent {
  const value = parseJson(body);
  if (!isObject(value)) throw new MalformedRequestError('The body is not a JSON object.');
  const { model, stream = false } = value;
  if (typeof model !== 'string' || model === '')
    throw new MalformedRequestError("'model' is missing.");
  if (typeof stream !== 'boolean') throw new MalformedRequestError("'stream' is not a boolean.");
  return { model, prompt: extractPrompt(value), isStreamed: stream };
}

function parseJson(body: Uint8Array): unknown {
  let text: string;
  try {
    text = new TextDecoder('utf-8', { fatal: true }).decode(body);
  } catch {
    throw new MalformedRequestError('The body is not UTF-8.');
  }
  try {
    return JSON.parse(text);
  } catch {
    throw new MalformedRequestError('The body is not JSON.');
  }
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Returns the prompt as a single string; the messages of a chat are joined. */
function extractPrompt(value: Readonly<Record<string, unknown>>): string {
  const { messages, prompt } = value;
  if (messages === undefined) return contentToText(prompt ?? '', "'prompt'");
  if (!Array.isArray(messages)) throw new MalformedRequestError("'messages' is not a list.");
  return messages
    .map((message: unknown) => {
      if (!isObject(message)) throw new MalformedRequestError('A message is not an object.');
      return `${String(message.role)} ${contentToText(message.content ?? '', 'A content')}`;
    })
    .join('\n');
}

function contentToText(value: unknown, fieldName: string): string {
  if (typeof value === 'string') return value;
  if (Array.isArray(value)) return JSON.stringify(value);
  throw new MalformedRequestError(`${fieldName} is neither a text nor a list.`);
}

/** Computes chained hashes: the hash of a block covers the whole prefix up to its end. */
export function hashPrefixBlocks(prompt: string): readonly string[] {
  const count = Math.min(Math.floor(prompt.length / PREFIX_BLOCK_CHARS), MAX_PREFIX_BLOCKS);
  const blocks: string[] = [];
  let previousHash = '';
  for (let i = 0; i < count; i += 1) {
    const block = prompt.slice(i * PREFIX_BLOCK_CHARS, (i + 1) * PREFIX_BLOCK_CHARS);
    previousHash = sha256(previousHash + block).slice(0, BLOCK_HASH_CHARS);
    blocks.push(previousHash);
  }
  return blocks;
}

function computeFingerprint(
  keyHash: KeyHash,
  method: string,
  path: string,
  body: Uint8Array,
): string {
  const hash = createHash('sha256').update(`${keyHash}\n${method}\n${path}\n`).update(body);
  return hash.digest('hex').slice(0, 2 * BLOCK_HASH_CHARS);
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function selectForwardedHeaders(req: IncomingMessage, route: CallerRoute): Record<string, string> {
  const excludedHeaders = (getHeader(req, 'connection') ?? '').toLowerCase().split(/\s*,\s*/);
  // Tokens can be counted only in an uncompressed response.
  if (route.kind === 'completion') excludedHeaders.push('accept-encoding');
  const headers: Record<string, string> = {};
  Object.entries(req.headers).forEach(([name, value]) => {
    if (value === undefined || DROPPED_HEADERS.has(name) || excludedHeaders.includes(name)) return;
    headers[name] = Array.isArray(value) ? value.join(', ') : value;
  });
  return headers;
}
