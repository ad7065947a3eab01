/**
 * HTTP server shared by the stand-ins: an `h3` application on a Node.js server with injectable
 * faults. Connections can be reset or silenced, requests can be held, and the server can stop
 * listening and later listen again on the same port, as after a process crash and restart. Requests
 * to control paths are not subject to these faults.
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
/** Interval between attempts to listen again while the port is in use. */
const LISTEN_RETRY_INTERVAL_MS: Millis = 100;
const CONTROL_PREFIX = '/_control/';

/** Address on which a stand-in listens. */
export interface ListenOptions {
  /** IP address; the loopback address by default. */
  readonly host?: string;
  /** TCP port; with 0, the default, the operating system selects a free port. */
  readonly port?: number;
}

/** A running HTTP server. */
export interface HttpServer {
  readonly url: string;
  readonly port: number;
  /** Stops listening and resets every open connection. */
  close: () => Promise<void>;
  /** Closes the server, and listens again on the same port after `restartAfterMs`. */
  crash: (restartAfterMs: Millis) => void;
  isListening: () => boolean;
  /** Defers the processing of requests until `releaseRequests` is called. */
  holdRequests: () => void;
  releaseRequests: () => void;
  /** Stops all traffic on the currently open connections without closing them. */
  silenceConnections: () => void;
  isSilenced: (socket: Socket | null) => boolean;
}

/** Serves `app` over HTTP/1.1. Rejects if the port is in use. */
export async function listen(app: H3, options: ListenOptions = {}): Promise<HttpServer> {
  const host = options.host ?? LOOPBACK;
  const openSockets = new Set<Socket>();
  const controlSockets = new WeakSet<Socket>();
  const silencedSockets = new WeakSet<Socket>();
  const handler = toNodeHandler(app);
  let heldRequests: (() => void)[] | undefined;
  let restartTimer: NodeJS.Timeout | undefined;

  function handle(req: IncomingMessage, res: ServerResponse): void {
    void handler(req, res);
  }

  const server = createServer((req, res) => {
    if (req.url?.startsWith(CONTROL_PREFIX) === true) {
      controlSockets.add(req.socket);
      handle(req, res);
    } else if (silencedSockets.has(req.socket)) {
      req.resume();
    } else if (heldRequests !== undefined) {
      heldRequests.push(() => handle(req, res));
    } else {
      handle(req, res);
    }
  });
  server.keepAliveTimeout = 0;
  server.requestTimeout = 0;
  server.on('connection', (socket) => {
    socket.setNoDelay(true);
    openSockets.add(socket);
    socket.once('close', () => openSockets.delete(socket));
  });

  const listenOn = async (port: number) =>
    new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => {
        server.removeListener('error', reject);
        resolve();
      });
    });
  await listenOn(options.port ?? 0);
  const { port } = server.address() as AddressInfo;

  const closeServer = async (shouldReset: (socket: Socket) => boolean) =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      [...openSockets].filter(shouldReset).forEach((socket) => socket.resetAndDestroy());
    });

  function listenAgain(): void {
    listenOn(port).catch(() => {
      restartTimer = setTimeout(listenAgain, LISTEN_RETRY_INTERVAL_MS);
    });
  }

  function releaseRequests(): void {
    const requests = heldRequests ?? [];
    heldRequests = undefined;
    requests.forEach((resume) => resume());
  }

  return {
    url: `http://${host}:${port}`,
    port,
    isListening: () => server.listening,
    close: async () => {
      clearTimeout(restartTimer);
      heldRequests = undefined;
      await closeServer(() => true);
    },
    crash: (restartAfterMs) => {
      if (!server.listening) return;
      if (heldRequests !== undefined) heldRequests = [];
      // Connections with control requests stay open, so that the request for the crash is answered.
      void closeServer((socket) => !controlSockets.has(socket));
      restartTimer = setTimeout(listenAgain, restartAfterMs);
    },
    holdRequests: () => {
      heldRequests ??= [];
    },
    releaseRequests,
    silenceConnections: () => {
      openSockets.forEach((socket) => {
        if (controlSockets.has(socket) || silencedSockets.has(socket)) return;
        silencedSockets.add(socket);
        // Written bytes stay in the buffer. `uncork` is disabled because the HTTP server calls it at
        // the end of a response.
        socket.cork();
        socket.uncork = () => {};
      });
    },
    isSilenced: (socket) => socket !== null && silencedSockets.has(socket),
  };
}

/**
 * Wraps a handler that writes to the Node.js response directly, possibly after it has returned. The
 * route is pending until the response is closed.
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

/** Reads the complete request body. Rejects if the caller disconnects before its end. */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const part of req) chunks.push(part as Buffer);
  return Buffer.concat(chunks);
}

/** Parses and validates JSON text; throws an `HTTPError` with status 400 if it is invalid. */
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

/** Reads and validates a JSON body; throws an `HTTPError` with status 400 if it is invalid. */
export async function readJson<T>(schema: ZodType<T>, event: H3Event): Promise<T> {
  return parseJson(schema, await event.req.text());
}

/** Returns a query parameter, truncated to an integer; `fallback` if missing, negative or not a number. */
export function readQueryNumber(event: H3Event, name: string, fallback: number): number {
  const value = Number(getQuery<Record<string, string>>(event)[name] ?? fallback);
  return Number.isFinite(value) && value >= 0 ? Math.trunc(value) : fallback;
}

/** Writes a JSON response, unless the response is closed or its headers were sent. */
export function sendJson(res: ServerResponse, status: number, value: unknown): void {
  if (res.destroyed || res.headersSent) return;
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(value));
}

/** Returns the first value of a request header, or `undefined`. */
export function getHeader(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
