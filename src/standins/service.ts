/**
 * Stand-in for a plain service: answers any path with what it was asked, and counts how often each
 * idempotency key and each request was executed, so that a test can tell a call that ran twice. The
 * counts outlive a crash. `GET /load` reports load as model engines do.
 */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { H3 } from 'h3';
import type { Millis } from '../core/clock.js';
import { createRandom, type Random } from '../core/random.js';
import { serviceFaultSchema, type ParsedServiceFault, type ServiceFault } from './faults.js';
import {
  headerOf,
  listen,
  nodeRoute,
  readBytes,
  readJson,
  sendJson,
  type HttpServer,
  type ListenOptions,
} from './http.js';
import { createLaggingReport } from './loadReport.js';

export interface ServiceOptions extends ListenOptions {
  readonly seed?: number;
  /** Time that a call takes. */
  readonly latencyMs?: Millis;
  /** Calls executed at the same time; further ones wait. */
  readonly concurrency?: number;
  /** Age that a load report reaches; 0 reports the state of the moment. */
  readonly loadLagMs?: Millis;
}

const DEFAULTS = { seed: 1, latencyMs: 5, concurrency: 16, loadLagMs: 0 } as const;

/** How often a key was executed. */
export interface ExecutionCounts {
  /** By `Idempotency-Key`. */
  readonly byKey: Readonly<Record<string, number>>;
  /** By `X-Request-Id`. */
  readonly byRequest: Readonly<Record<string, number>>;
  /** By hash of the body. */
  readonly byBody: Readonly<Record<string, number>>;
  readonly total: number;
}

/** Use of the service since its start, from `GET /_control/stats`. */
export interface ServiceStats {
  readonly slots: number;
  /** Time that slots were taken, summed over the slots. */
  readonly busySlotMs: Millis;
  readonly elapsedMs: Millis;
}

export interface ServiceStandin {
  readonly url: string;
  readonly port: number;
  executions: () => ExecutionCounts;
  stats: () => ServiceStats;
  setFault: (fault: ServiceFault) => void;
  isListening: () => boolean;
  stop: () => Promise<void>;
}

/** Body of an answer. */
export interface ServiceReply {
  readonly method: string;
  readonly path: string;
  /** SHA-256 of the body, in hexadecimal. */
  readonly bodyHash: string;
}

interface Answer {
  readonly id: string | undefined;
  readonly reply: ServiceReply;
}

type CallFault = Exclude<
  ParsedServiceFault,
  { kind: 'crash' | 'hang' | 'silent' | 'clear' | 'slow' }
>;
type CallFaults = { [K in CallFault['kind']]?: Extract<CallFault, { kind: K }> };

/** Hash of a body as the service returns it. */
export function bodyHash(body: Uint8Array | string): string {
  return createHash('sha256').update(body).digest('hex');
}

/** Starts a plain service. Rejects if the port is taken. */
export async function createServiceStandin(options: ServiceOptions = {}): Promise<ServiceStandin> {
  const cfg = { ...DEFAULTS, ...options };
  const app = new H3({ silent: true });
  const server = await listen(app, options);
  const slots = createSlots(cfg.concurrency);
  const counts = createExecutionCounts();
  const calls = createCalls({ ...cfg, random: createRandom(cfg.seed), server, slots, counts });
  const report = createLaggingReport(
    () => ({ running: slots.running(), queued: slots.queued(), slots: cfg.concurrency }),
    cfg.loadLagMs,
  );

  app.get('/load', report.current);
  app.get('/_control/executions', counts.read);
  app.get('/_control/stats', slots.stats);
  app.post('/_control/faults', async (event) => {
    calls.setFault(await readJson(serviceFaultSchema, event));
    return { done: true };
  });
  app.all('/**', nodeRoute(calls.execute));
  return {
    url: server.url,
    port: server.port,
    executions: counts.read,
    stats: slots.stats,
    setFault: calls.setFault,
    isListening: server.isListening,
    stop: async () => {
      report.stop();
      await server.close();
    },
  };
}

interface Slots {
  acquire: () => Promise<void>;
  release: () => void;
  running: () => number;
  queued: () => number;
  stats: () => ServiceStats;
}

function createSlots(slots: number): Slots {
  const waiting: (() => void)[] = [];
  const startedAt = performance.now();
  let running = 0;
  let busySlotMs = 0;
  let countedAt = startedAt;

  function countBusyTime(): void {
    const now = performance.now();
    busySlotMs += running * (now - countedAt);
    countedAt = now;
  }

  return {
    acquire: async () => {
      countBusyTime();
      if (running < slots) {
        running += 1;
        return;
      }
      await new Promise<void>((resolve) => {
        waiting.push(resolve);
      });
    },
    release: () => {
      countBusyTime();
      const next = waiting.shift();
      if (next === undefined) running -= 1;
      else next();
    },
    running: () => running,
    queued: () => waiting.length,
    stats: () => {
      countBusyTime();
      return { slots, busySlotMs, elapsedMs: performance.now() - startedAt };
    },
  };
}

interface Executions {
  add: (req: IncomingMessage, body: Buffer) => void;
  read: () => ExecutionCounts;
}

function createExecutionCounts(): Executions {
  const byKey = new Map<string, number>();
  const byRequest = new Map<string, number>();
  const byBody = new Map<string, number>();
  let total = 0;
  const increment = (map: Map<string, number>, name: string | undefined) => {
    if (name !== undefined) map.set(name, (map.get(name) ?? 0) + 1);
  };
  return {
    add: (req, body) => {
      total += 1;
      increment(byKey, headerOf(req, 'idempotency-key'));
      increment(byRequest, headerOf(req, 'x-request-id'));
      increment(byBody, bodyHash(body));
    },
    read: () => ({
      byKey: Object.fromEntries(byKey),
      byRequest: Object.fromEntries(byRequest),
      byBody: Object.fromEntries(byBody),
      total,
    }),
  };
}

interface CallOptions {
  readonly latencyMs: Millis;
  readonly random: Random;
  readonly server: HttpServer;
  readonly slots: Slots;
  readonly counts: Executions;
}

interface Calls {
  execute: (req: IncomingMessage, res: ServerResponse) => Promise<void>;
  setFault: (fault: ServiceFault) => void;
}

/** Executes calls under the faults that are set. */
function createCalls({ latencyMs, random, server, slots, counts }: CallOptions): Calls {
  let faults: CallFaults = {};
  let slowdown = 1;
  let lastAnswer: Answer | undefined;

  function isDrawn(fault: { readonly rate: number } | undefined): boolean {
    return fault !== undefined && random.next() < fault.rate;
  }

  function setFault(input: ServiceFault): void {
    const fault = serviceFaultSchema.parse(input);
    switch (fault.kind) {
      case 'crash':
        server.crash(fault.restartAfterMs);
        return;
      case 'hang':
        server.hold();
        return;
      case 'silent':
        server.silence();
        return;
      case 'slow':
        slowdown = fault.factor;
        return;
      case 'clear':
        faults = {};
        slowdown = 1;
        server.release();
        return;
      default:
        faults = { ...faults, [fault.kind]: fault };
    }
  }

  async function run(req: IncomingMessage, body: Buffer): Promise<Answer> {
    counts.add(req, body);
    const { poison } = faults;
    if (poison !== undefined && body.includes(poison.marker)) server.crash(poison.restartAfterMs);
    await sleep(latencyMs * slowdown);
    const { method = '', url: path = '' } = req;
    return {
      id: headerOf(req, 'x-request-id'),
      reply: { method, path, bodyHash: bodyHash(body) },
    };
  }

  async function answer(res: ServerResponse, own: Answer): Promise<void> {
    const { late, crossed } = faults;
    if (isDrawn(late)) await sleep(late?.delayMs ?? 0);
    const sent = isDrawn(crossed) ? (lastAnswer ?? own) : own;
    lastAnswer = own;
    if (isDrawn(faults['lost-reply'])) {
      res.socket?.resetAndDestroy();
      return;
    }
    if (sent.id !== undefined && !res.headersSent) res.setHeader('x-request-id', sent.id);
    sendJson(res, 200, sent.reply);
  }

  return {
    setFault,
    execute: async (req, res) => {
      const body = await readBytes(req);
      const { refuse } = faults;
      if (isDrawn(refuse)) {
        sendJson(res, refuse?.status ?? 503, { executed: 'no' });
        return;
      }
      await slots.acquire();
      let own: Answer | undefined;
      try {
        // A caller that left while its call waited is not served.
        if (!res.destroyed) own = await run(req, body);
      } finally {
        slots.release();
      }
      if (own !== undefined) await answer(res, own);
    },
  };
}
