/**
 * Stand-in for the platform: the append-only log, the list of instances and the store of model
 * weights, over HTTP.
 */
import { getQuery, getRouterParam, H3, type H3Event } from 'h3';
import { z } from 'zod';
import type { Millis } from '../core/clock.js';
import { MS_PER_SECOND } from '../core/clock.js';
import { listen, parseJson, type ListenOptions } from './http.js';
import { createLogStream, type LogStream } from './log.js';

const DEFAULT_READ_LIMIT = 1_000;
const MAX_WAIT_MS: Millis = 30_000;

export interface PlatformOptions extends ListenOptions {
  /** Downloads of weights that may start in a second. */
  readonly weightsPerSecond?: number;
  /** Size of the weights of a model. */
  readonly weightBytes?: number;
}

const DEFAULTS = { weightsPerSecond: 2, weightBytes: 4_096 } as const;

const instanceSchema = z.object({
  id: z.string(),
  address: z.string(),
  domain: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
});
const instancesSchema = z.object({ instances: z.array(instanceSchema) });
const appendSchema = z.object({ records: z.array(z.string()).min(1) });

/** An entry of the instance list. */
export type ListedInstance = z.infer<typeof instanceSchema>;

export interface PlatformStandin {
  readonly url: string;
  readonly port: number;
  setInstances: (instances: readonly ListedInstance[]) => void;
  stop: () => Promise<void>;
}

/** Starts a platform. Rejects if the port is taken. */
export async function createPlatformStandin(
  options: PlatformOptions = {},
): Promise<PlatformStandin> {
  const cfg = { ...DEFAULTS, ...options };
  const streams = new Map<string, LogStream>();
  let instances: readonly ListedInstance[] = [];
  let weightsFreeAt: Millis = 0;

  function streamOf(event: H3Event): LogStream {
    const name = getRouterParam(event, 'name') ?? '';
    const existing = streams.get(name);
    if (existing !== undefined) return existing;
    const created = createLogStream();
    streams.set(name, created);
    return created;
  }

  const numberOf = (event: H3Event, name: string, fallback: number) => {
    const value = Number(getQuery<Record<string, string>>(event)[name] ?? fallback);
    return Number.isFinite(value) && value >= 0 ? Math.trunc(value) : fallback;
  };

  const app = new H3({ silent: true });
  app.post('/streams/:name/records', async (event) => {
    const { records } = parseJson(appendSchema, await event.req.text());
    return { offset: streamOf(event).append(records) };
  });
  app.get('/streams/:name/records', async (event) => {
    const limit = numberOf(event, 'limit', DEFAULT_READ_LIMIT);
    const waitMs = Math.min(numberOf(event, 'waitMs', 0), MAX_WAIT_MS);
    const result = await streamOf(event).read(numberOf(event, 'from', 0), limit, waitMs);
    if (result.kind === 'records') return { records: result.records, next: result.next };
    event.res.status = 410;
    return { oldest: result.oldest };
  });
  app.get('/instances', () => ({ instances }));
  app.put('/_control/instances', async (event) => {
    instances = parseJson(instancesSchema, await event.req.text()).instances;
    return { instances };
  });
  app.get('/weights/:model/:version', (event) => {
    const now = Date.now();
    if (weightsFreeAt > now) {
      event.res.status = 429;
      const seconds = Math.ceil((weightsFreeAt - now) / MS_PER_SECOND);
      event.res.headers.set('retry-after', String(seconds));
      return { error: 'rate' };
    }
    weightsFreeAt = now + MS_PER_SECOND / cfg.weightsPerSecond;
    event.res.headers.set('content-type', 'application/octet-stream');
    return new Uint8Array(cfg.weightBytes);
  });

  const server = await listen(app, options);
  return {
    url: server.url,
    port: server.port,
    setInstances: (list) => {
      instances = list;
    },
    stop: async () => {
      streams.forEach((stream) => stream.wake());
      return server.close();
    },
  };
}
