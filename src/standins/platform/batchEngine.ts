/**
 * Stand-in for an upstream of the platform, over real sockets: answers with an event stream or a
 * plain body, reports its load in a header, rejects requests for another instance, injects faults
 * and records the requests that it executed.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Millis } from '../../core/clock.js';

/** Fault that determines how the next requests are answered. */
export type EngineFault =
  | { readonly kind: 'none' }
  /** Answers 503 without executing the request, with a `Retry-After` if one is given. */
  | { readonly kind: 'shed'; readonly retryAfter?: string }
  /** Executes the request, then answers 500. */
  | { readonly kind: 'error' }
  /** Executes the request, but never answers. */
  | { readonly kind: 'hang' }
  /** Executes the request, then resets the connection without an answer. */
  | { readonly kind: 'reset' }
  /** Closes the connection in the middle of an event, after `afterEvents` complete events. */
  | { readonly kind: 'breakOff'; readonly afterEvents: number }
  /** Answers with the request id and body of another request. */
  | { readonly kind: 'foreign' }
  /** Sends an extra response after the regular one on the same connection. */
  | { readonly kind: 'extra' }
  /** Sends a body without a length, which ends with a regular close or a reset of the connection. */
  | { readonly kind: 'unframed'; readonly isReset: boolean }
  /** Sends events without a length, and closes the connection regularly, in the midst of an event or not. */
  | { readonly kind: 'unframedStream'; readonly endsInsideEvent: boolean }
  /** Sends the whole regular answer without a length, and closes the connection regularly. */
  | { readonly kind: 'unframedWhole' }
  /** Sends a body in chunks without end, until the connection is closed. */
  | { readonly kind: 'endless' }
  /** Sends all but the last bytes of a long error answer, and then nothing. */
  | { readonly kind: 'heldError' }
  /** Sends a chunked body, but closes the connection regularly before the last chunk. */
  | { readonly kind: 'unfinished' }
  /** Closes the connection regularly in the middle of the head of a successful answer. */
  | { readonly kind: 'cutHead' }
  /**
   * Answers the first request of a connection with a refusal that does not name the request, and sends
   * the same refusal again before it answers the next one, which it executes.
   */
  | { readonly kind: 'repeatedRefusal' };

/** A request that the engine executed. */
export interface EngineRun {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly headers: IncomingMessage['headers'];
  /** Whether the connection was closed before the response was complete. */
  isAbandoned: boolean;
}

/** A request to an engine that had said that it leaves. */
export interface LateArrival {
  readonly requestId: string;
  /** Unix time of its arrival. */
  readonly at: number;
  /** Time since the engine first said so. */
  readonly sinceMs: Millis;
}

export interface BatchEngine {
  readonly id: string;
  readonly address: string;
  readonly runs: readonly EngineRun[];
  readonly setFault: (fault: EngineFault) => void;
  /** Limits the current fault to the next `count` requests; without a limit it applies to all. */
  readonly limitFault: (count: number) => void;
  /** Sets the requests per second that all answers state; `undefined` states none. */
  readonly setRateLimit: (perSecond: number | undefined) => void;
  /** Sets whether all answers say that the engine leaves. */
  readonly setLeaving: (isLeaving: boolean) => void;
  /** Requests that arrived after an answer had said that the engine leaves. */
  readonly lateArrivals: () => readonly LateArrival[];
  /** Number of requests that arrived, with those that were not executed. */
  readonly arrivals: () => number;
  readonly connections: () => number;
  /** Stops listening and resets all connections, as a crash does. */
  readonly close: () => Promise<void>;
}

export interface BatchEngineOptions {
  readonly id: string;
  readonly port?: number;
  /** Number of events in a complete stream. */
  readonly events?: number;
  /** Time between two events. */
  readonly eventGapMs?: Millis;
  /** Time before the first event, or before a plain body. */
  readonly firstEventMs?: Millis;
  /** Whether answers are event streams. */
  readonly isStream?: boolean;
}

const DEFAULTS = { port: 0, events: 5, eventGapMs: 2, firstEventMs: 2, isStream: true } as const;

/** Interval at which a body without end goes on. */
const ENDLESS_INTERVAL_MS: Millis = 10;
const LONG_ERROR_BYTES = 4 * 1024 * 1024;

/** A refusal that does not name the request that it answers. */
const REFUSAL = 'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n';

/** Returns the text of one event in the streams of the stand-in. */
export function eventText(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** Starts an engine on the loopback interface. */
export async function startBatchEngine(options: BatchEngineOptions): Promise<BatchEngine> {
  const cfg = { ...DEFAULTS, ...options };
  const runs: EngineRun[] = [];
  const sockets = new Set<Socket>();
  const refusedSockets = new WeakSet<Socket>();
  let fault: EngineFault = { kind: 'none' };
  let remainingFaults = Infinity;
  let rateLimit: number | undefined;
  let isLeaving = false;
  let saidAt: number | undefined;
  const lateArrivals: LateArrival[] = [];
  let arrivals = 0;

  function consumeFault(): EngineFault {
    if (remainingFaults <= 0) return { kind: 'none' };
    if (fault.kind !== 'none') remainingFaults -= 1;
    return fault;
  }

  function createHeaders(requestId: string): Record<string, string> {
    return {
      'Request-Id': requestId,
      'Response-Signature': `signed-${requestId}`,
      'Server-Load': `${sockets.size},0,8`,
      ...statementHeaders(),
    };
  }

  /** Headers in which the engine tells of itself. */
  function statementHeaders(): Record<string, string> {
    if (isLeaving) saidAt ??= Date.now();
    return {
      ...(rateLimit === undefined ? {} : { 'Server-Limit': String(rateLimit) }),
      ...(isLeaving ? { 'Server-Leaving': '1' } : {}),
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
      // eslint-disable-next-line no-await-in-loop -- events are spaced by `eventGapMs`
      await sleep(cfg.eventGapMs);
    }
    res.end();
  }

  async function sendAnswer(run: EngineRun, req: IncomingMessage, res: ServerResponse) {
    const activeFault = consumeFault();
    const headers = createHeaders(run.requestId);
    switch (activeFault.kind) {
      case 'shed':
        runs.pop();
        res.writeHead(503, {
          'Not-Executed': '1',
          'Request-Id': run.requestId,
          ...statementHeaders(),
          ...(activeFault.retryAfter === undefined
            ? {}
            : { 'Retry-After': activeFault.retryAfter }),
        });
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
        res.writeHead(200, createHeaders('another'));
        res.end('not yours');
        return;
      case 'unframed':
        req.socket.write(`HTTP/1.1 200 OK\r\n${formatHeaders(headers)}\r\nwhole body`);
        // Without a delay, so that the reset arrives together with the preceding bytes.
        if (activeFault.isReset) req.socket.resetAndDestroy();
        else req.socket.end();
        return;
      case 'unframedStream': {
        const lines = formatHeaders({ ...headers, 'Content-Type': 'text/event-stream' });
        const events = [1, 2, 3].map(eventText).join('');
        const sent = activeFault.endsInsideEvent ? events.slice(0, -4) : events;
        req.socket.write(`HTTP/1.1 200 OK\r\n${lines}\r\n${sent}`);
        await sleep(cfg.eventGapMs);
        req.socket.end();
        return;
      }
      case 'unframedWhole': {
        const from = Number(req.headers['last-event-id'] ?? 0);
        const ids = Array.from({ length: cfg.events - from }, (_, i) => from + i + 1);
        const events = ids.map(eventText).join('');
        const body = cfg.isStream ? events : `answer to ${run.requestId}`;
        req.socket.write(`HTTP/1.1 200 OK\r\n${formatHeaders(headers)}\r\n${body}`);
        req.socket.end();
        return;
      }
      case 'endless': {
        const lines = formatHeaders({ ...headers, 'Transfer-Encoding': 'chunked' });
        req.socket.write(`HTTP/1.1 200 OK\r\n${lines}\r\n`);
        const timer = setInterval(() => req.socket.write('1\r\nx\r\n'), ENDLESS_INTERVAL_MS);
        req.socket.once('close', () => clearInterval(timer));
        return;
      }
      case 'heldError': {
        const lines = formatHeaders({ ...headers, 'Content-Length': String(LONG_ERROR_BYTES) });
        req.socket.write(`HTTP/1.1 500 Internal Server Error\r\n${lines}\r\n`);
        req.socket.write(Buffer.alloc(LONG_ERROR_BYTES - 100, 'x'));
        return;
      }
      case 'cutHead':
        req.socket.write('HTTP/1.1 200 OK\r\nContent-Length: 10\r\nResponse-Sig');
        await sleep(cfg.eventGapMs);
        req.socket.end();
        return;
      case 'repeatedRefusal':
        if (!refusedSockets.has(req.socket)) {
          refusedSockets.add(req.socket);
          runs.pop();
          req.socket.write(REFUSAL);
          return;
        }
        req.socket.write(REFUSAL);
        return;
      case 'unfinished': {
        const lines = formatHeaders({
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
      await streamEvents(
        req,
        res,
        activeFault.kind === 'breakOff' ? activeFault.afterEvents : Infinity,
      );
    } else {
      await sleep(cfg.firstEventMs);
      res.writeHead(200, headers);
      res.end(`answer to ${run.requestId}`);
    }
    if (activeFault.kind === 'extra') {
      const lines = formatHeaders({ ...createHeaders(run.requestId), 'Content-Length': '5' });
      req.socket.write(`HTTP/1.1 200 OK\r\n${lines}\r\nextra`);
    }
  }

  async function handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    arrivals += 1;
    if (saidAt !== undefined) {
      const at = Date.now();
      const requestId = String(req.headers['request-id']);
      lateArrivals.push({ requestId, at, sinceMs: at - saidAt });
    }
    const chunks: Buffer[] = [];
    for await (const part of req) chunks.push(part as Buffer);
    const expectedInstance = req.headers['expect-instance'];
    if (expectedInstance !== undefined && expectedInstance !== cfg.id) {
      res.writeHead(421, { 'Instance-Id': cfg.id, 'Not-Executed': '1', ...statementHeaders() });
      res.end();
      return;
    }
    const run: EngineRun = {
      requestId: String(req.headers['request-id']),
      method: req.method ?? '',
      path: req.url ?? '',
      body: Buffer.concat(chunks).toString('utf8'),
      headers: req.headers,
      isAbandoned: false,
    };
    runs.push(run);
    res.once('close', () => {
      run.isAbandoned = !res.writableFinished;
    });
    await sendAnswer(run, req, res);
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
      remainingFaults = Infinity;
    },
    limitFault: (count) => {
      remainingFaults = count;
    },
    setRateLimit: (perSecond) => {
      rateLimit = perSecond;
    },
    setLeaving: (next) => {
      isLeaving = next;
      saidAt = undefined;
    },
    lateArrivals: () => lateArrivals,
    arrivals: () => arrivals,
    connections: () => sockets.size,
    close: async () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        sockets.forEach((socket) => socket.resetAndDestroy());
      }),
  };
}

function formatHeaders(headers: Readonly<Record<string, string>>): string {
  return Object.entries(headers)
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('');
}
