/** Control calls to engines: load and cache events, orders, steering of requests, cache moves. */
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
  readonly giveOrder: (
    upstream: UpstreamId,
    url: string,
    orderNumber: number,
    order: EngineOrder,
  ) => void;
  readonly steer: (plan: AttemptPlan, action: 'cancel' | 'suspend' | 'resume') => void;
  /** Resolves when the copy is made or has failed; it never rejects. */
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
    const report = readReport(load);
    post({
      kind: 'upstreamReport',
      upstream,
      ...(report === undefined ? {} : { report }),
      ...readCacheEvents(cache, cacheAfter),
    });
  }

  async function giveOrder(
    upstream: UpstreamId,
    url: string,
    orderNumber: number,
    order: EngineOrder,
  ): Promise<void> {
    const body = { number: orderNumber, order: wireOrder(order) };
    const result = await client.call({ method: 'POST', url: `${url}/orders`, body });
    post({ kind: 'orderSettled', upstream, orderNumber, result: orderResult(result) });
  }

  async function moveCache(attempt: AttemptId, fromUrl: string, toUrl: string): Promise<void> {
    const path = `/kv/${encodeURIComponent(attempt)}`;
    const got = await client.call({ method: 'GET', url: `${fromUrl}${path}` });
    if (got.kind !== 'answer' || got.status !== 200) return;
    await client.call({ method: 'PUT', url: `${toUrl}${path}`, body: got.value });
  }

  return {
    poll: (...args) => {
      void poll(...args);
    },
    giveOrder: (...args) => {
      void giveOrder(...args);
    },
    steer: (plan, action) => {
      const id = encodeURIComponent(plan.attemptId);
      void client.call({ method: 'POST', url: `${plan.url}/requests/${id}/${action}` });
    },
    moveCache,
    close: client.close,
  };
}

function readReport(result: JsonResult): UpstreamReport | undefined {
  if (result.kind !== 'answer' || result.status !== 200) return undefined;
  const parsed = loadSchema.safeParse(result.value);
  if (!parsed.success) return undefined;
  const { adapters, cacheEpoch, ...report } = parsed.data;
  // An adapter is named with and without its version, so that either name is found.
  const names = Object.entries(adapters).flatMap(([name, version]) => [name, `${name}@${version}`]);
  return { ...report, adapters: names, epoch: String(cacheEpoch) };
}

type CacheFacts = Pick<
  Extract<CoreEvent, { kind: 'upstreamReport' }>,
  'cacheEvents' | 'cacheNext' | 'cacheGap'
>;

function readCacheEvents(result: JsonResult, after: number): CacheFacts {
  const parsed = result.kind === 'answer' ? cacheSchema.safeParse(result.value) : undefined;
  if (parsed?.success !== true) return { cacheEvents: [], cacheNext: after, cacheGap: false };
  const { events, next } = parsed.data;
  const cacheEvents = events.map(({ seq, kind, block }): CacheEvent => ({
    sequence: seq,
    kind,
    block,
  }));
  const hasHole = cacheEvents.some(({ sequence }, i) => sequence !== after + 1 + i);
  return { cacheEvents, cacheNext: next, cacheGap: hasHole || next < after };
}

function wireOrder(order: EngineOrder): object {
  if (order.kind !== 'load-adapter') return order;
  const [adapter, version = DEFAULT_ADAPTER_VERSION] = order.adapter.split('@');
  return { kind: order.kind, adapter, version };
}

function orderResult(result: JsonResult): 'accepted' | 'stale' | 'failed' | 'unknown' {
  if (result.kind === 'notSent') return 'failed';
  if (result.kind === 'unknown') return 'unknown';
  if (result.status === 409) return 'stale';
  return result.status < 300 ? 'accepted' : 'failed';
}
