/**
 * Stand-in for a plain service: answers any path with what it was asked, and counts how often each
 * idempotency key and each request was executed, so that a test can tell a call that ran twice.
 */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { H3 } from 'h3';
import type { Millis } from '../core/clock.js';
import { headerOf, listen, nodeRoute, readBytes, sendJson, type ListenOptions } from './http.js';

export interface ServiceOptions extends ListenOptions {
  /** Time that a call takes. */
  readonly latencyMs?: Millis;
  /** Calls executed at the same time; further ones wait. */
  readonly concurrency?: number;
}

const DEFAULTS = { latencyMs: 5, concurrency: 16 } as const;

/** How often a key was executed. */
export interface ExecutionCounts {
  /** By `Idempotency-Key`. */
  readonly byKey: Readonly<Record<string, number>>;
  /** By `X-Request-Id`. */
  readonly byRequest: Readonly<Record<string, number>>;
  readonly total: number;
}

export interface ServiceStandin {
  readonly url: string;
  readonly port: number;
  executions: () => ExecutionCounts;
  stop: () => Promise<void>;
}

/** Hash of a body as the service returns it. */
export function bodyHash(body: Uint8Array | string): string {
  return createHash('sha256').update(body).digest('hex');
}

/** Starts a plain service. Rejects if the port is taken. */
export async function createServiceStandin(options: ServiceOptions = {}): Promise<ServiceStandin> {
  const cfg = { ...DEFAULTS, ...options };
  const byKey = new Map<string, number>();
  const byRequest = new Map<string, number>();
  const waiting: (() => void)[] = [];
  let running = 0;
  let total = 0;

  async function acquire(): Promise<void> {
    if (running < cfg.concurrency) running += 1;
    else {
      await new Promise<void>((resolve) => {
        waiting.push(resolve);
      });
    }
  }

  function release(): void {
    const next = waiting.shift();
    if (next === undefined) running -= 1;
    else next();
  }

  function countExecution(req: IncomingMessage): void {
    total += 1;
    const key = headerOf(req, 'idempotency-key');
    const id = headerOf(req, 'x-request-id');
    if (key !== undefined) byKey.set(key, (byKey.get(key) ?? 0) + 1);
    if (id !== undefined) byRequest.set(id, (byRequest.get(id) ?? 0) + 1);
  }

  async function execute(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readBytes(req);
    await acquire();
    try {
      if (res.destroyed) return;
      countExecution(req);
      await sleep(cfg.latencyMs);
      const id = headerOf(req, 'x-request-id');
      if (id !== undefined && !res.headersSent) res.setHeader('x-request-id', id);
      sendJson(res, 200, { method: req.method, path: req.url, bodyHash: bodyHash(body) });
    } finally {
      release();
    }
  }

  const executions = () => ({
    byKey: Object.fromEntries(byKey),
    byRequest: Object.fromEntries(byRequest),
    total,
  });
  const app = new H3({ silent: true });
  app.get('/_control/executions', executions);
  app.all('/**', nodeRoute(execute));
  const server = await listen(app, options);
  return { url: server.url, port: server.port, executions, stop: server.close };
}
