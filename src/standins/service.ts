/**
 * Stand-in for a plain service: answers any path with a description of the request, and counts
 * executions by idempotency key, request id and body, so that tests can detect a call that was
 * executed twice. The counts survive a crash. `GET /load` reports load as model engines do.
 */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { H3 } from 'h3';
import type { Millis } from '../core/clock.js';
import { createRandom, type Random } from '../core/random.js';
import { serviceFaultSchema, type ParsedServiceFault, type ServiceFault } from './faults.js';
import {
  getHeader,
  listen,
  nodeRoute,
  readBody,
  readJson,
  sendJson,
  type HttpServer,
  type ListenOptions,
} from './http.js';
import { createCachedReport } from './loadReport.js';

export interface ServiceOptions extends ListenOptions {
  readonly seed?: number;
  /** Processing time of a call. */
  readonly latencyMs?: Millis;
  /** Maximum number of concurrent calls; further calls are queued. */
  readonly concurrency?: number;
  /** Maximum age of a load report; with 0 it is always current. */
  readonly loadLagMs?: Millis;
}

const DEFAULTS = { seed: 1, latencyMs: 5, concurrency: 16, loadLagMs: 0 } as const;

/** Numbers of executed calls. */
export interface ExecutionCounts {
  /** By `Idempotency-Key`. */
  readonly byKey: Readonly<Record<string, number>>;
  /** By `X-Request-Id`. */
  readonly byRequest: Readonly<Record<string, number>>;
  /** By hash of the body. */
  readonly byBody: Readonly<Record<string, number>>;
  readonly total: number;
}

/** Utilization of the service since its start, from `GET /_control/stats`. */
export interface ServiceStats {
  readonly slots: number;
  /** Time during which slots were in use, summed over all slots. */
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

/** Response body of a call: a description of the request. */
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

/** Returns the hash of a request body as reported in `ServiceReply.bodyHash`. */
export function bodyHash(body: Uint8Array | string): string {
  return createHash('sha256').update(body).digest('hex');
}

/** Starts a plain service. Rejects if the port is in use. */
export async function createServiceStandin(options: ServiceOptions = {}): Promise<ServiceStandin> {
  const cfg = { ...DEFAULTS, ...options };
  const app = new H3({ silent: true, allowMalformedURL: true });
  const server = await listen(app, options);
  const slots = createSlots(cfg.concurrency);
  const counts = createExecutionCounter();
  const calls = createCallHandler({
    ...cfg,
    random: createRandom(cfg.seed),
    server,
    slots,
    counts,
  });
  const report = createCachedReport(
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
  const waitingCalls: (() => void)[] = [];
  const startedAt = performance.now();
  let running = 0;
  let busySlotMs = 0;
  let busyTimeUpdatedAt = startedAt;

  function updateBusyTime(): void {
    const now = performance.now();
    busySlotMs += running * (now - busyTimeUpdatedAt);
    busyTimeUpdatedAt = now;
  }

  return {
    acquire: async () => {
      updateBusyTime();
      if (running < slots) {
        running += 1;
        return;
      }
      await new Promise<void>((resolve) => {
        waitingCalls.push(resolve);
      });
    },
    release: () => {
      updateBusyTime();
      const next = waitingCalls.shift();
      if (next === undefined) running -= 1;
      else next();
    },
    running: () => running,
    queued: () => waitingCalls.length,
    stats: () => {
      updateBusyTime();
      return { slots, busySlotMs, elapsedMs: performance.now() - startedAt };
    },
  };
}

interface ExecutionCounter {
  count: (req: IncomingMessage, body: Buffer) => void;
  read: () => ExecutionCounts;
}

function createExecutionCounter(): ExecutionCounter {
  const byKey = new Map<string, number>();
  const byRequest = new Map<string, number>();
  const byBody = new Map<string, number>();
  let total = 0;
  const increment = (map: Map<string, number>, name: string | undefined) => {
    if (name !== undefined) map.set(name, (map.get(name) ?? 0) + 1);
  };
  return {
    count: (req, body) => {
      total += 1;
      increment(byKey, getHeader(req, 'idempotency-key'));
      increment(byRequest, getHeader(req, 'x-request-id'));
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

interface CallHandlerOptions {
  readonly latencyMs: Millis;
  readonly random: Random;
  readonly server: HttpServer;
  readonly slots: Slots;
  readonly counts: ExecutionCounter;
}

interface CallHandler {
  execute: (req: IncomingMessage, res: ServerResponse) => Promise<void>;
  setFault: (fault: ServiceFault) => void;
}

/** Creates the handler that executes calls and applies the configured faults. */
function createCallHandler({
  latencyMs,
  random,
  server,
  slots,
  counts,
}: CallHandlerOptions): CallHandler {
  let faults: CallFaults = {};
  let slowdown = 1;
  let lastAnswer: Answer | undefined;

  function shouldInject(fault: { readonly rate: number } | undefined): boolean {
    return fault !== undefined && random.next() < fault.rate;
  }

  function setFault(input: ServiceFault): void {
    const fault = serviceFaultSchema.parse(input);
    switch (fault.kind) {
      case 'crash':
        server.crash(fault.restartAfterMs);
        return;
      case 'hang':
        server.holdRequests();
        return;
      case 'silent':
        server.silenceConnections();
        return;
      case 'slow':
        slowdown = fault.factor;
        return;
      case 'clear':
        faults = {};
        slowdown = 1;
        server.releaseRequests();
        return;
      default:
        faults = { ...faults, [fault.kind]: fault };
    }
  }

  async function run(req: IncomingMessage, body: Buffer): Promise<Answer> {
    counts.count(req, body);
    const { poison } = faults;
    if (poison !== undefined && body.includes(poison.marker)) server.crash(poison.restartAfterMs);
    await sleep(latencyMs * slowdown);
    const { method = '', url: path = '' } = req;
    return {
      id: getHeader(req, 'x-request-id'),
      reply: { method, path, bodyHash: bodyHash(body) },
    };
  }

  async function sendAnswer(res: ServerResponse, ownAnswer: Answer): Promise<void> {
    const { late, crossed } = faults;
    if (shouldInject(late)) await sleep(late?.delayMs ?? 0);
    const sent = shouldInject(crossed) ? (lastAnswer ?? ownAnswer) : ownAnswer;
    lastAnswer = ownAnswer;
    if (shouldInject(faults['lost-reply'])) {
      res.socket?.resetAndDestroy();
      return;
    }
    if (sent.id !== undefined && !res.headersSent) res.setHeader('x-request-id', sent.id);
    sendJson(res, 200, sent.reply);
  }

  return {
    setFault,
    execute: async (req, res) => {
      const body = await readBody(req);
      const { refuse } = faults;
      if (shouldInject(refuse)) {
        sendJson(res, refuse?.status ?? 503, { executed: 'no' });
        return;
      }
      await slots.acquire();
      let answer: Answer | undefined;
      try {
        // The caller may have disconnected while its call was queued.
        if (!res.destroyed) answer = await run(req, body);
      } finally {
        slots.release();
      }
      if (answer !== undefined) await sendAnswer(res, answer);
    },
  };
}
