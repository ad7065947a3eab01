/**
 * Listening side shared by the stand-ins: an `h3` application on a Node.js server whose connections
 * can be cut or fall silent, which can hold all requests, and which can stop listening and later
 * listen again on the same port, as a process does that crashed and was restarted. Requests to
 * control paths are not subject to these faults.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import {
  fromNodeHandler,
  getQuery,
  HTTPError,
  toNodeHandler,
  type EventHandler,
  type H3,
  type H3Event,
} from 'h3';
import type { ZodType } from 'zod';
import type { Millis } from '../core/clock.js';

const LOOPBACK = '127.0.0.1';
/** Time between attempts to listen again on a port that is taken. */
const REOPEN_INTERVAL_MS: Millis = 100;
const CONTROL_PREFIX = '/_control/';

/** Where a stand-in listens. */
export interface ListenOptions {
  /** IP number; the loopback interface by default. */
  readonly host?: string;
  /** TCP port; 0, the default, lets the system choose. */
  readonly port?: number;
}

/** A running HTTP server. */
export interface HttpServer {
  readonly url: string;
  readonly port: number;
  /** Stops listening and resets every open connection. */
  close: () => Promise<void>;
  /** Closes, and listens again on the same port after a time. */
  crash: (restartAfterMs: Millis) => void;
  isListening: () => boolean;
  /** Holds requests unanswered until `release`. */
  hold: () => void;
  release: () => void;
  /** From now on no byte passes on the connections open at this moment. */
  silence: () => void;
  isSilent: (socket: Socket | null) => boolean;
}

/** Serves `app` over HTTP/1.1. Rejects if the port is taken. */
export async function listen(app: H3, options: ListenOptions = {}): Promise<HttpServer> {
  const host = options.host ?? LOOPBACK;
  const sockets = new Set<Socket>();
  const controlSockets = new WeakSet<Socket>();
  const silent = new WeakSet<Socket>();
  const handler = toNodeHandler(app);
  let held: (() => void)[] | undefined;
  let restart: NodeJS.Timeout | undefined;

  function handle(req: IncomingMessage, res: ServerResponse): void {
    void handler(req, res);
  }

  const server = createServer((req, res) => {
    if (req.url?.startsWith(CONTROL_PREFIX) === true) {
      controlSockets.add(req.socket);
      handle(req, res);
    } else if (silent.has(req.socket)) {
      req.resume();
    } else if (held !== undefined) {
      held.push(() => handle(req, res));
    } else {
      handle(req, res);
    }
  });
  server.keepAliveTimeout = 0;
  server.requestTimeout = 0;
  server.on('connection', (socket) => {
    socket.setNoDelay(true);
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });

  const open = async (port: number) =>
    new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => {
        server.removeListener('error', reject);
        resolve();
      });
    });
  await open(options.port ?? 0);
  const { port } = server.address() as AddressInfo;

  const shutDown = async (isCut: (socket: Socket) => boolean) =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      [...sockets].filter(isCut).forEach((socket) => socket.resetAndDestroy());
    });

  function reopen(): void {
    open(port).catch(() => {
      restart = setTimeout(reopen, REOPEN_INTERVAL_MS);
    });
  }

  function release(): void {
    const requests = held ?? [];
    held = undefined;
    requests.forEach((resume) => resume());
  }

  return {
    url: `http://${host}:${port}`,
    port,
    isListening: () => server.listening,
    close: async () => {
      clearTimeout(restart);
      held = undefined;
      await shutDown(() => true);
    },
    crash: (restartAfterMs) => {
      if (!server.listening) return;
      if (held !== undefined) held = [];
      // The request that asked for the crash is still answered.
      void shutDown((socket) => !controlSockets.has(socket));
      restart = setTimeout(reopen, restartAfterMs);
    },
    hold: () => {
      held ??= [];
    },
    release,
    silence: () => {
      sockets.forEach((socket) => {
        if (controlSockets.has(socket) || silent.has(socket)) return;
        silent.add(socket);
        // Written bytes stay in the buffer; the HTTP server would uncork at the end of a response.
        socket.cork();
        socket.uncork = () => {};
      });
    },
    isSilent: (socket) => socket !== null && silent.has(socket),
  };
}

/**
 * Wraps a handler that writes to the Node.js response itself, now or later. The route counts as
 * handled until the response is closed.
 */
export function nodeRoute(
  handler: (req: IncomingMessage, res: ServerResponse) => void | Promise<void>,
): EventHandler {
  return fromNodeHandler(async (req, res) => {
    const closed = new Promise<void>((resolve) => {
      res.once('close', () => resolve());
    });
    await handler(req as IncomingMessage, res as ServerResponse);
    await closed;
  });
}

/** Reads a whole request body. Rejects if the caller disconnects before its end. */
export async function readBytes(req: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of req) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

/** Parses JSON and checks it; throws an `HTTPError` with status 400 if it does not fit. */
export function parseJson<T>(schema: ZodType<T>, text: string): T {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    throw new HTTPError({ status: 400, message: 'The body is not JSON.' });
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  throw new HTTPError({ status: 400, message: parsed.error.issues[0]?.message ?? 'Bad body.' });
}

/** Reads a JSON body and checks it; throws an `HTTPError` with status 400 if it does not fit. */
export async function readJson<T>(schema: ZodType<T>, event: H3Event): Promise<T> {
  return parseJson(schema, await event.req.text());
}

/** A non-negative whole number of the query; `fallback` if it is missing or something else. */
export function queryNumber(event: H3Event, name: string, fallback: number): number {
  const value = Number(getQuery<Record<string, string>>(event)[name] ?? fallback);
  return Number.isFinite(value) && value >= 0 ? Math.trunc(value) : fallback;
}

/** Writes a JSON answer on a Node.js response. */
export function sendJson(res: ServerResponse, status: number, value: unknown): void {
  if (res.destroyed || res.headersSent) return;
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(value));
}

/** First value of a request header, or `undefined`. */
export function headerOf(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
