/**
 * Stand-in for the platform: the append-only log, the list of instances and the store of model
 * weights, over HTTP, with rate limits, propagation delays and outages.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { getRouterParam, H3, type H3Event } from 'h3';
import * as z from 'zod';
import type { Millis } from '../core/clock.js';
import { MS_PER_SECOND } from '../core/clock.js';
import { createRandom } from '../core/random.js';
import {
  platformFaultSchema,
  type ParsedPlatformFault,
  type PlatformFault,
  type PlatformPart,
} from './faults.js';
import { listen, readQueryNumber, readJson, type ListenOptions } from './http.js';
import { createLogStream, type LogStream } from './log.js';
import { createRateLimit, type RateLimit } from './rateLimit.js';

const DEFAULT_READ_LIMIT = 1_000;
const MAX_WAIT_MS: Millis = 30_000;

export interface PlatformOptions extends ListenOptions {
  readonly seed?: number;
  /** Maximum rate of appends, over all streams together. */
  readonly appendsPerSecond?: number;
  /** Maximum number of records that a stream retains. */
  readonly retentionRecords?: number;
  /** Maximum age of a retained record. */
  readonly retentionMs?: Millis;
  /** Delay before a change of the instance list becomes visible. */
  readonly listLagMs?: Millis;
  /** Maximum rate of weight downloads. */
  readonly weightsPerSecond?: number;
  /** Size of each weight download in bytes. */
  readonly weightBytes?: number;
}

const DEFAULTS = {
  seed: 1,
  appendsPerSecond: 400,
  retentionRecords: 1_000_000,
  retentionMs: 3_600_000,
  listLagMs: 0,
  weightsPerSecond: 2,
  weightBytes: 4_096,
} as const;

const instanceSchema = z.object({
  id: z.string(),
  address: z.string(),
  domain: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
  kind: z.enum(['instance', 'upstream']).default('instance'),
});
const instancesSchema = z.object({ instances: z.array(instanceSchema) });
const appendSchema = z.object({ records: z.array(z.string()).min(1) });

/** An entry of the instance list. */
export type ListedInstance = z.input<typeof instanceSchema>;

/** Call counters from `GET /_control/stats`. */
export interface PlatformStats {
  readonly appends: number;
  readonly appendedRecords: number;
  readonly reads: number;
  readonly refused: number;
  readonly lostReplies: number;
  readonly downloads: number;
}

export interface PlatformStandin {
  readonly url: string;
  readonly port: number;
  setInstances: (instances: readonly ListedInstance[]) => void;
  setFault: (fault: PlatformFault) => void;
  stats: () => PlatformStats;
  stop: () => Promise<void>;
}

/** Starts a platform. Rejects if the port is in use. */
export async function createPlatformStandin(
  options: PlatformOptions = {},
): Promise<PlatformStandin> {
  const cfg = { ...DEFAULTS, ...options };
  const app = new H3({ silent: true });
  const server = await listen(app, options);
  const faults = createPlatformFaults(cfg.seed, server.silenceConnections);
  const list = createInstanceList(cfg.listLagMs);
  const streams = new Map<string, LogStream>();
  const stats = {
    appends: 0,
    appendedRecords: 0,
    reads: 0,
    refused: 0,
    lostReplies: 0,
    downloads: 0,
  };
  const now = () => Date.now();
  const appendLimit = createRateLimit(cfg.appendsPerSecond, cfg.appendsPerSecond, now);
  const weightLimit = createRateLimit(cfg.weightsPerSecond, 1, now);

  function getStream(event: H3Event): LogStream {
    const name = getRouterParam(event, 'name') ?? '';
    const existing = streams.get(name);
    if (existing !== undefined) return existing;
    const created = createLogStream({ ...cfg, now });
    streams.set(name, created);
    return created;
  }

  function refuse(event: H3Event, status: number, error: string): object {
    stats.refused += 1;
    event.res.status = status;
    return { error };
  }

  /** Responds with 429 if the rate limit is exceeded; otherwise returns `undefined`. */
  function refuseIfLimited(limit: RateLimit, event: H3Event): object | undefined {
    const waitMs = limit.take();
    if (waitMs === 0) return undefined;
    event.res.headers.set('retry-after', String(Math.ceil(waitMs / MS_PER_SECOND)));
    return refuse(event, 429, 'rate');
  }

  /** Wraps a route so that the outages and delays of a part of the platform apply to it. */
  const withFaults =
    (part: PlatformPart, route: (event: H3Event) => unknown) => async (event: H3Event) => {
      const isAvailable = await faults.applyFaults(part);
      return isAvailable ? route(event) : refuse(event, 503, 'outage');
    };

  async function append(event: H3Event): Promise<unknown> {
    const { records } = await readJson(appendSchema, event);
    const refusal = refuseIfLimited(appendLimit, event);
    if (refusal !== undefined) return refusal;
    const offset = getStream(event).append(records);
    stats.appends += 1;
    stats.appendedRecords += records.length;
    if (faults.shouldLoseReply()) {
      stats.lostReplies += 1;
      event.runtime?.node?.res?.socket?.destroy();
    }
    return { offset };
  }

  async function read(event: H3Event): Promise<unknown> {
    const from = readQueryNumber(event, 'from', 0);
    const limit = readQueryNumber(event, 'limit', DEFAULT_READ_LIMIT);
    const waitMs = Math.min(readQueryNumber(event, 'waitMs', 0), MAX_WAIT_MS);
    const result = await getStream(event).read(from, limit, waitMs);
    stats.reads += 1;
    if (result.kind === 'records') return { records: result.records, next: result.next };
    event.res.status = 410;
    return { oldest: result.oldest };
  }

  function download(event: H3Event): unknown {
    const refusal = refuseIfLimited(weightLimit, event);
    if (refusal !== undefined) return refusal;
    stats.downloads += 1;
    event.res.headers.set('content-type', 'application/octet-stream');
    return new Uint8Array(cfg.weightBytes);
  }

  app.post('/streams/:name/records', withFaults('log', append));
  app.get('/streams/:name/records', withFaults('log', read));
  app.get(
    '/instances',
    withFaults('list', () => ({ instances: list.readVisible() })),
  );
  app.get('/weights/:model/:version', withFaults('weights', download));
  app.put('/_control/instances', async (event) => {
    list.set((await readJson(instancesSchema, event)).instances);
    return { done: true };
  });
  app.post('/_control/faults', async (event) => {
    faults.set(await readJson(platformFaultSchema, event));
    return { done: true };
  });
  app.get('/_control/stats', () => stats);

  return {
    url: server.url,
    port: server.port,
    setInstances: list.set,
    setFault: faults.set,
    stats: () => ({ ...stats }),
    stop: async () => {
      faults.set({ kind: 'clear' });
      streams.forEach((stream) => stream.wake());
      await server.close();
    },
  };
}

interface InstanceList {
  set: (instances: readonly ListedInstance[]) => void;
  /** Returns the visible list, which lags behind `set`. */
  readVisible: () => readonly ListedInstance[];
}

function createInstanceList(lagMs: Millis): InstanceList {
  let visible: readonly ListedInstance[] = [];
  return {
    set: (instances) => {
      if (lagMs === 0) {
        visible = instances;
        return;
      }
      setTimeout(() => {
        visible = instances;
      }, lagMs).unref();
    },
    readVisible: () => visible,
  };
}

interface PlatformFaults {
  set: (fault: PlatformFault) => void;
  /** Applies delays and outages; resolves to false if the call must be refused. */
  applyFaults: (part: PlatformPart) => Promise<boolean>;
  shouldLoseReply: () => boolean;
}

type PersistentFault = Exclude<ParsedPlatformFault, { kind: 'silent' | 'clear' }>;

function createPlatformFaults(seed: number, silenceConnections: () => void): PlatformFaults {
  const random = createRandom(seed);
  const heldCalls = new Set<() => void>();
  let faults: { [K in PersistentFault['kind']]?: Extract<PersistentFault, { kind: K }> } = {};

  function clear(): void {
    faults = {};
    heldCalls.forEach((resume) => resume());
    heldCalls.clear();
  }

  const waitForClear = async () =>
    new Promise<void>((resolve) => {
      heldCalls.add(resolve);
    });

  return {
    set: (input) => {
      const fault = platformFaultSchema.parse(input);
      if (fault.kind === 'clear') clear();
      else if (fault.kind === 'silent') silenceConnections();
      else faults = { ...faults, [fault.kind]: fault };
    },
    applyFaults: async (part) => {
      const { outage, slow } = faults;
      if (slow?.parts.includes(part) === true) await sleep(slow.delayMs);
      if (outage?.parts.includes(part) !== true) return true;
      if (outage.mode === 'refuse') return false;
      await waitForClear();
      return true;
    },
    shouldLoseReply: () => random.next() < (faults['lost-reply']?.rate ?? 0),
  };
}
