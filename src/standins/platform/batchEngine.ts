/**
 * Stand-in for an upstream of the platform over real sockets: answers with events or a body, tells
 * its load, refuses what it is not meant for, and misbehaves on request. It records what it ran.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Millis } from '../../core/clock.js';

/** How the next requests are answered. */
export type EngineFault =
  | { readonly kind: 'none' }
  /** 503 without running. */
  | { readonly kind: 'shed' }
  /** Runs, then a server error. */
  | { readonly kind: 'error' }
  /** Runs and never answers. */
  | { readonly kind: 'hang' }
  /** Runs and resets the connection before its answer. */
  | { readonly kind: 'reset' }
  /** Breaks off in the middle of an event. */
  | { readonly kind: 'breakOff'; readonly afterEvents: number }
  /** Answers with the id of another request. */
  | { readonly kind: 'foreign' }
  /** A second answer follows the first on the same connection. */
  | { readonly kind: 'extra' }
  /** No length; the end of the connection ends the answer. */
  | { readonly kind: 'unframed'; readonly isReset: boolean }
  /** In chunks on a connection that is closed in the usual way before the last one. */
  | { readonly kind: 'unfinished' };

export interface EngineRun {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly headers: IncomingMessage['headers'];
  /** Whether the connection was closed before the answer had ended. */
  isAbandoned: boolean;
}

export interface BatchEngine {
  readonly id: string;
  readonly address: string;
  readonly runs: readonly EngineRun[];
  readonly setFault: (fault: EngineFault) => void;
  /** Number of further requests that the fault strikes; all by default. */
  readonly strikeNext: (count: number) => void;
  readonly connections: () => number;
  /** Ends as a crash does. */
  readonly close: () => Promise<void>;
}

export interface BatchEngineOptions {
  readonly id: string;
  readonly port?: number;
  readonly events?: number;
  readonly eventGapMs?: Millis;
  readonly firstEventMs?: Millis;
  /** Whether answers are streams of events. */
  readonly isStream?: boolean;
}

const DEFAULTS = { port: 0, events: 5, eventGapMs: 2, firstEventMs: 2, isStream: true } as const;

/** Text of one event of the stand-in's streams. */
export function eventText(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** Starts an engine on the loopback interface. */
export async function startBatchEngine(options: BatchEngineOptions): Promise<BatchEngine> {
  const cfg = { ...DEFAULTS, ...options };
  const runs: EngineRun[] = [];
  const sockets = new Set<Socket>();
  let fault: EngineFault = { kind: 'none' };
  let strikes = Infinity;

  function takeFault(): EngineFault {
    if (strikes <= 0) return { kind: 'none' };
    if (fault.kind !== 'none') strikes -= 1;
    return fault;
  }

  function headersOf(requestId: string): Record<string, string> {
    return {
      'Request-Id': requestId,
      'Response-Signature': `signed-${requestId}`,
      'Server-Load': `${sockets.size},0,8`,
    };
  }

  async function streamEvents(req: IncomingMessage, res: ServerResponse, stopAfter: number) {
    const from = Number(req.headers['last-event-id'] ?? 0);
    await sleep(cfg.firstEventMs);
    for (let id = from + 1; id <= cfg.events; id += 1) {
      if (id - from > stopAfter) {
        res.write(eventText(id).slice(0, 4));
        res.write('', () => res.destroy());
        return;
      }
      res.write(eventText(id));
      // eslint-disable-next-line no-await-in-loop -- events have a pause between them
      await sleep(cfg.eventGapMs);
    }
    res.end();
  }

  async function answer(run: EngineRun, req: IncomingMessage, res: ServerResponse) {
    const struck = takeFault();
    const headers = headersOf(run.requestId);
    switch (struck.kind) {
      case 'shed':
        runs.pop();
        res.writeHead(503, { 'Not-Executed': '1', 'Request-Id': run.requestId });
        res.end();
        return;
      case 'error':
        res.writeHead(500, headers);
        res.end('failed');
        return;
      case 'hang':
        return;
      case 'reset':
        req.socket.resetAndDestroy();
        return;
      case 'foreign':
        res.writeHead(200, headersOf('another'));
        res.end('not yours');
        return;
      case 'unframed':
        req.socket.write(`HTTP/1.1 200 OK\r\n${headerLines(headers)}\r\nwhole body`);
        // At once: the reset arrives together with the bytes before it.
        if (struck.isReset) req.socket.resetAndDestroy();
        else req.socket.end();
        return;
      case 'unfinished': {
        const lines = headerLines({
          ...headers,
          Connection: 'close',
          'Transfer-Encoding': 'chunked',
        });
        req.socket.write(`HTTP/1.1 200 OK\r\n${lines}\r\n4\r\npart\r\n`);
        await sleep(cfg.eventGapMs);
        req.socket.end();
        return;
      }
      default:
        break;
    }
    if (cfg.isStream) {
      res.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
      await streamEvents(req, res, struck.kind === 'breakOff' ? struck.afterEvents : Infinity);
    } else {
      await sleep(cfg.firstEventMs);
      res.writeHead(200, headers);
      res.end(`answer to ${run.requestId}`);
    }
    if (struck.kind === 'extra') {
      const lines = headerLines({ ...headersOf(run.requestId), 'Content-Length': '5' });
      req.socket.write(`HTTP/1.1 200 OK\r\n${lines}\r\nextra`);
    }
  }

  async function handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const parts: Buffer[] = [];
    for await (const part of req) parts.push(part as Buffer);
    const expected = req.headers['expect-instance'];
    if (expected !== undefined && expected !== cfg.id) {
      res.writeHead(421, { 'Instance-Id': cfg.id, 'Not-Executed': '1' });
      res.end();
      return;
    }
    const run: EngineRun = {
      requestId: String(req.headers['request-id']),
      method: req.method ?? '',
      path: req.url ?? '',
      body: Buffer.concat(parts).toString('utf8'),
      headers: req.headers,
      isAbandoned: false,
    };
    runs.push(run);
    res.once('close', () => {
      run.isAbandoned = !res.writableFinished;
    });
    await answer(run, req, res);
  }

  const server = createServer((req, res) => {
    handle(req, res).catch(() => res.destroy());
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(cfg.port, '127.0.0.1', resolve);
  });
  return {
    id: cfg.id,
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    runs,
    setFault: (next) => {
      fault = next;
      strikes = Infinity;
    },
    strikeNext: (count) => {
      strikes = count;
    },
    connections: () => sockets.size,
    close: async () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        sockets.forEach((socket) => socket.resetAndDestroy());
      }),
  };
}

function headerLines(headers: Readonly<Record<string, string>>): string {
  return Object.entries(headers)
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('');
}
