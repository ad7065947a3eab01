/** HTTP client for short JSON calls, with a timeout and a limit on the size of the response. */
import { Agent, errors, request, type Dispatcher } from 'undici';
import type { Millis } from '../core/clock.js';

const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

export interface JsonRequest {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly url: string;
  readonly body?: unknown;
  /** Overrides the timeout of the client. */
  readonly timeoutMs?: Millis;
}

export type JsonResult =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly value: unknown;
      readonly retryAfterMs?: Millis;
    }
  /** No part of the request was sent. */
  | { readonly kind: 'notSent'; readonly detail: string }
  /** The request may have taken effect. */
  | { readonly kind: 'unknown'; readonly detail: string };

export interface JsonClient {
  readonly call: (req: JsonRequest) => Promise<JsonResult>;
  readonly close: () => Promise<void>;
}

export interface JsonClientOptions {
  readonly timeoutMs: Millis;
  readonly connectTimeoutMs?: Millis;
}

const DEFAULT_CONNECT_TIMEOUT_MS = 2_000;
const MS_PER_SECOND = 1_000;
/** Errors that occur before a connection is established. */
const NOT_SENT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Creates a client that opens connections on demand. */
export function createJsonClient(options: JsonClientOptions): JsonClient {
  const connectTimeoutMs = options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
  const agent = new Agent({ connect: { timeout: connectTimeoutMs } });

  async function call(req: JsonRequest): Promise<JsonResult> {
    const timeoutMs = req.timeoutMs ?? options.timeoutMs;
    try {
      const res = await request(req.url, {
        dispatcher: agent,
        method: req.method,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        signal: AbortSignal.timeout(timeoutMs),
        headers: { 'content-type': 'application/json' },
        body: req.body === undefined ? null : JSON.stringify(req.body),
      });
      return await readResponse(res);
    } catch (err) {
      return toFailure(err);
    }
  }

  return { call, close: async () => agent.destroy() };
}

async function readResponse(res: Dispatcher.ResponseData): Promise<JsonResult> {
  const seconds = Number(res.headers['retry-after']);
  const retry = Number.isFinite(seconds) ? { retryAfterMs: seconds * MS_PER_SECOND } : {};
  const text = await readText(res);
  return { kind: 'answer', status: res.statusCode, value: parseJson(text), ...retry };
}

async function readText(res: Dispatcher.ResponseData): Promise<string> {
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of res.body) {
    size += (part as Buffer).length;
    if (size > MAX_RESPONSE_BYTES) throw new Error('The answer is too long.');
    parts.push(part as Buffer);
  }
  return Buffer.concat(parts).toString('utf8');
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function toFailure(err: unknown): JsonResult {
  const { code, message } = err as NodeJS.ErrnoException;
  const detail = code ?? message;
  const wasNotSent =
    (code !== undefined && NOT_SENT_ERROR_CODES.has(code)) ||
    err instanceof errors.ConnectTimeoutError;
  return { kind: wasNotSent ? 'notSent' : 'unknown', detail };
}
