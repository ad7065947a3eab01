/** HTTP client of the platform's log and instance list. */
import * as z from 'zod';
import type { Millis } from '../core/clock.js';
import type { AppendResult, ListedInstance, LogReadResult } from '../core/types.js';
import { createJsonClient, type JsonResult } from './jsonClient.js';
import type { PlatformHost, Post } from './types.js';

export interface PlatformHostOptions {
  readonly post: Post;
  /** Base URL, `http://ip:port`; if it is not set, every call fails. */
  readonly url: string | undefined;
  /** Timeout of a call, in addition to the time that a read waits for new records. */
  readonly timeoutMs?: Millis;
}

const DEFAULT_TIMEOUT_MS = 3_000;

const recordsSchema = z.object({
  records: z.array(z.object({ offset: z.number(), data: z.string() })),
  next: z.number(),
});
const expiredSchema = z.object({ oldest: z.number() });
const appendedSchema = z.object({ offset: z.number() });
const listSchema = z.object({
  instances: z.array(
    z.object({
      id: z.string(),
      address: z.string(),
      domain: z.string(),
      region: z.string(),
      state: z.enum(['live', 'leaving']),
      kind: z.enum(['instance', 'upstream']).default('instance'),
    }),
  ),
});

/** Creates the host; connections are opened on demand. */
export function createPlatformHost(options: PlatformHostOptions): PlatformHost {
  const { post, url } = options;
  const client = createJsonClient({ timeoutMs: options.timeoutMs ?? DEFAULT_TIMEOUT_MS });
  const baseTimeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;

  async function call(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
    timeoutMs = baseTimeoutMs,
  ): Promise<JsonResult> {
    if (url === undefined) return { kind: 'notSent', detail: 'No platform is set.' };
    return client.call({ method, url: `${url}${path}`, body, timeoutMs });
  }

  async function readLog(
    stream: string,
    from: number,
    limit: number,
    waitMs: Millis,
  ): Promise<void> {
    const query = `from=${from}&limit=${limit}&waitMs=${waitMs}`;
    const path = `${getRecordsPath(stream)}?${query}`;
    const result = toReadResult(await call('GET', path, undefined, baseTimeoutMs + waitMs));
    post({ kind: 'logRead', stream, from, result });
  }

  async function appendLog(
    appendId: number,
    stream: string,
    records: readonly string[],
  ): Promise<void> {
    const result = toAppendResult(await call('POST', getRecordsPath(stream), { records }));
    post({ kind: 'appendSettled', appendId, stream, result });
  }

  async function readInstanceList(): Promise<void> {
    const instances = toInstanceList(await call('GET', '/instances'));
    post({ kind: 'instanceList', ...(instances === undefined ? {} : { instances }) });
  }

  return {
    readLog: (...args) => {
      void readLog(...args);
    },
    appendLog: (...args) => {
      void appendLog(...args);
    },
    readInstanceList: () => {
      void readInstanceList();
    },
    close: client.close,
  };
}

function getRecordsPath(stream: string): string {
  return `/streams/${encodeURIComponent(stream)}/records`;
}

function toReadResult(result: JsonResult): LogReadResult {
  if (result.kind !== 'answer') return { kind: 'failed', detail: result.detail };
  const expired = result.status === 410 ? expiredSchema.safeParse(result.value) : undefined;
  if (expired?.success) return { kind: 'expired', oldest: expired.data.oldest };
  const parsed = result.status === 200 ? recordsSchema.safeParse(result.value) : undefined;
  if (parsed?.success) return { kind: 'records', ...parsed.data };
  return { kind: 'failed', detail: `status ${result.status}` };
}

/**
 * Converts the result of an append. Apart from a request that was never sent, only a refusal by the
 * log itself proves that nothing was appended.
 */
function toAppendResult(result: JsonResult): AppendResult {
  if (result.kind === 'notSent') return { kind: 'rejected', detail: result.detail };
  if (result.kind === 'unknown') return { kind: 'unknown', detail: result.detail };
  const { status, value, retryAfterMs } = result;
  const parsed = status < 300 ? appendedSchema.safeParse(value) : undefined;
  if (parsed?.success) return { kind: 'appended', offset: parsed.data.offset };
  const detail = `status ${status}`;
  const isRefusal = status >= 400 && status < 500 && status !== 408;
  if (!isRefusal) return { kind: 'unknown', detail };
  return { kind: 'rejected', detail, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
}

function toInstanceList(result: JsonResult): readonly ListedInstance[] | undefined {
  const isSuccess = result.kind === 'answer' && result.status === 200;
  const parsed = isSuccess ? listSchema.safeParse(result.value) : undefined;
  return parsed?.success ? parsed.data.instances : undefined;
}
