/**
 * Control calls to engines (model servers): polling load and cache events, sending orders,
 * cancelling, suspending and resuming requests, and copying caches between engines.
 */
import * as z from 'zod';
import type { Millis } from '../core/clock.js';
import type {
  AttemptId,
  AttemptPlan,
  CacheEvent,
  CoreEvent,
  EngineOrder,
  UpstreamId,
  UpstreamReport,
} from '../core/types.js';
import { createJsonClient, type JsonResult } from './jsonClient.js';
import type { Post } from './types.js';

export interface EngineControlOptions {
  readonly post: Post;
  readonly timeoutMs: Millis;
}

export interface EngineControl {
  readonly poll: (upstream: UpstreamId, url: string, cacheAfter: number) => void;
  readonly sendOrder: (
    upstream: UpstreamId,
    url: string,
    orderNumber: number,
    order: EngineOrder,
  ) => void;
  readonly controlAttempt: (plan: AttemptPlan, action: 'cancel' | 'suspend' | 'resume') => void;
  /** Copies the cache of a request; resolves when the copy is done or has failed, never rejects. */
  readonly moveCache: (attempt: AttemptId, fromUrl: string, toUrl: string) => Promise<void>;
  readonly close: () => Promise<void>;
}

const DEFAULT_ADAPTER_VERSION = '1';

const loadSchema = z.object({
  running: z.number(),
  queued: z.number().default(0),
  slots: z.number(),
  tokensPerSecond: z.number().default(0),
  model: z.string().default(''),
  version: z.string().default(''),
  role: z.string().default(''),
  adapters: z.record(z.string(), z.string()).default({}),
  orderNumber: z.number().default(0),
  cacheEpoch: z.union([z.number(), z.string()]).default(0),
});

const cacheSchema = z.object({
  events: z.array(
    z.object({ seq: z.number(), kind: z.enum(['stored', 'evicted']), block: z.string() }),
  ),
  next: z.number(),
});

export function createEngineControl(options: EngineControlOptions): EngineControl {
  const { post } = options;
  const client = createJsonClient({ timeoutMs: options.timeoutMs });

  async function poll(upstream: UpstreamId, url: string, cacheAfter: number): Promise<void> {
    const [load, cache] = await Promise.all([
      client.call({ method: 'GET', url: `${url}/load` }),
      client.call({ method: 'GET', url: `${url}/cache/events?after=${cacheAfter}` }),
    ]);
    const report = parseLoadReport(load);
    post({
      kind: 'upstreamReport',
      upstream,
      ...(report === undefined ? {} : { report }),
      ...parseCacheEvents(cache, cacheAfter),
    });
  }

  async function sendOrder(
    upstream: UpstreamId,
    url: string,
    orderNumber: number,
    order: EngineOrder,
  ): Promise<void> {
    const body = { number: orderNumber, order: toWireOrder(order) };
    const result = await client.call({ method: 'POST', url: `${url}/orders`, body });
    post({ kind: 'orderSettled', upstream, orderNumber, result: toOrderResult(result) });
  }

  async function moveCache(attempt: AttemptId, fromUrl: string, toUrl: string): Promise<void> {
    const path = `/kv/${encodeURIComponent(attempt)}`;
    const download = await client.call({ method: 'GET', url: `${fromUrl}${path}` });
    if (download.kind !== 'answer' || download.status !== 200) return;
    await client.call({ method: 'PUT', url: `${toUrl}${path}`, body: download.value });
  }

  return {
    poll: (...args) => {
      void poll(...args);
    },
    sendOrder: (...args) => {
      void sendOrder(...args);
    },
    controlAttempt: (plan, action) => {
      const id = encodeURIComponent(plan.attemptId);
      void client.call({ method: 'POST', url: `${plan.url}/requests/${id}/${action}` });
    },
    moveCache,
    close: client.close,
  };
}

function parseLoadReport(result: JsonResult): UpstreamReport | undefined {
  if (result.kind !== 'answer' || result.status !== 200) return undefined;
  const parsed = loadSchema.safeParse(result.value);
  if (!parsed.success) return undefined;
  const { adapters, cacheEpoch, ...report } = parsed.data;
  // An adapter is listed with and without its version, so that a lookup by either name succeeds.
  const names = Object.entries(adapters).flatMap(([name, version]) => [name, `${name}@${version}`]);
  return { ...report, adapters: names, epoch: String(cacheEpoch) };
}

type CacheEventFields = Pick<
  Extract<CoreEvent, { kind: 'upstreamReport' }>,
  'cacheEvents' | 'cacheNext' | 'cacheGap'
>;

function parseCacheEvents(result: JsonResult, after: number): CacheEventFields {
  const parsed = result.kind === 'answer' ? cacheSchema.safeParse(result.value) : undefined;
  if (parsed?.success !== true) return { cacheEvents: [], cacheNext: after, cacheGap: false };
  const { events, next } = parsed.data;
  const cacheEvents = events.map(({ seq, kind, block }): CacheEvent => ({
    sequence: seq,
    kind,
    block,
  }));
  const hasSequenceGap = cacheEvents.some(({ sequence }, i) => sequence !== after + 1 + i);
  return { cacheEvents, cacheNext: next, cacheGap: hasSequenceGap || next < after };
}

function toWireOrder(order: EngineOrder): object {
  if (order.kind !== 'load-adapter') return order;
  const [adapter, version = DEFAULT_ADAPTER_VERSION] = order.adapter.split('@');
  return { kind: order.kind, adapter, version };
}

function toOrderResult(result: JsonResult): 'accepted' | 'stale' | 'failed' | 'unknown' {
  if (result.kind === 'notSent') return 'failed';
  if (result.kind === 'unknown') return 'unknown';
  if (result.status === 409) return 'stale';
  return result.status < 300 ? 'accepted' : 'failed';
}
