/**
 * HTTP server for the ports of callers and operators: an `h3` application on a Node.js server, with
 * TLS if certificates are given.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createServer as createTlsServer, type Server as TlsServer } from 'node:https';
import type { AddressInfo, Socket } from 'node:net';
import type { H3, EventHandler } from 'h3';
import { fromNodeHandler, toNodeHandler } from 'h3';
import type { Millis } from '../core/clock.js';
import type { CertificateSource } from './certificates.js';

/** Limits on connections and their requests. */
export interface HttpLimits {
  readonly maxHeaderBytes: number;
  /** Time within which the headers must arrive. */
  readonly headersTimeoutMs: Millis;
  /** Time within which the whole request must arrive. */
  readonly requestTimeoutMs: Millis;
  readonly maxConnections: number;
}

export const DEFAULT_HTTP_LIMITS: HttpLimits = {
  maxHeaderBytes: 16 * 1024,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 60_000,
  maxConnections: 20_000,
};

/** Interval at which the time limits of connections are checked. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** Handles a request; the response may be written later. */
export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => void | Promise<void>;

export interface HttpServerOptions {
  /** An application, or one handler for all paths. */
  readonly app: H3 | RequestHandler;
  readonly host: string;
  readonly port: number;
  readonly limits?: Partial<HttpLimits>;
  readonly certificates?: CertificateSource | undefined;
  /**
   * Creates the raw response to bytes that are not a valid request. `errorCode` is the code of the
   * Node.js error; it is empty if there is none, as for a missing `Host` header.
   */
  readonly createMalformedResponse?: (errorCode: string) => string;
  /** Length of the queue of pending connections; the default of Node.js if not set. */
  readonly backlog?: number;
  /** Called for each accepted connection. */
  readonly onConnection?: () => void;
}

export interface HttpServer {
  /** Starts listening; returns the bound address as `ip:port`. */
  readonly listen: () => Promise<string>;
  /** Stops listening and resolves once every connection is closed. */
  readonly close: () => Promise<void>;
  /** Stops listening and closes every connection immediately. */
  readonly kill: () => Promise<void>;
  /** Changes the time limits; a timeout that is already running on a connection is not changed. */
  readonly setTimeouts: (timeouts: HttpTimeouts) => void;
  /** Closes the connections on which no request is in progress. */
  readonly closeIdle: () => void;
}

export interface HttpTimeouts {
  /** Time within which the headers of a request must arrive. */
  readonly headersMs: Millis;
  /** Time after which an idle connection is closed. */
  readonly idleMs: Millis;
}

/** Creates a server without starting to listen. */
export function createHttpServer(options: HttpServerOptions): HttpServer {
  const limits = { ...DEFAULT_HTTP_LIMITS, ...options.limits };
  const activeSockets = new WeakSet<Socket>();
  const server = createNodeServer(options, limits);
  server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
    activeSockets.add(req.socket);
    res.once('close', () => activeSockets.delete(req.socket));
  });
  server.maxConnections = limits.maxConnections;
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  server.on('connection', (socket: Socket) => {
    socket.setNoDelay(true);
    options.onConnection?.();
  });
  server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => {
    // While a response is in progress, written bytes would become part of its body.
    if (!socket.writable || activeSockets.has(socket)) socket.destroy();
    else socket.end(options.createMalformedResponse?.(err.code ?? '') ?? '');
  });
  return {
    listen: async () => {
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject);
        const { host, port, backlog } = options;
        server.listen({ host, port, ...(backlog === undefined ? {} : { backlog }) }, () => {
          server.removeListener('error', reject);
          resolve();
        });
      });
      const { address, port } = server.address() as AddressInfo;
      return `${address}:${port}`;
    },
    close: async () =>
      new Promise<void>((resolve) => {
        server.close(() => resolve());
        server.closeIdleConnections();
      }),
    kill: async () =>
      new Promise<void>((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
    setTimeouts: ({ headersMs, idleMs }) => {
      server.headersTimeout = headersMs;
      server.keepAliveTimeout = idleMs;
    },
    closeIdle: () => server.closeIdleConnections(),
  };
}

function createNodeServer(options: HttpServerOptions, limits: HttpLimits): Server | TlsServer {
  const { app } = options;
  const handler = typeof app === 'function' ? app : toNodeHandler(app);
  const serverOptions = {
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.headersTimeoutMs,
    requestTimeout: limits.requestTimeoutMs,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    // Checked below, so that the refusal has the same format as all others.
    requireHostHeader: false,
  };
  const { certificates } = options;
  const listener = (req: IncomingMessage, res: ServerResponse) => {
    if (req.headers.host === undefined && req.httpVersion === '1.1') {
      req.socket.end(options.createMalformedResponse?.('') ?? '');
      return;
    }
    Promise.resolve(handler(req, res)).catch(() => res.destroy());
  };
  if (certificates === undefined) return createServer(serverOptions, listener);
  const server = createTlsServer({ ...serverOptions, ...certificates.current() }, listener);
  certificates.onChange((pair) => server.setSecureContext(pair));
  return server;
}

/**
 * Wraps a handler that writes to the Node.js response directly, possibly later. The route is
 * treated as handled once the response is closed.
 */
export function nodeRoute(
  handler: (req: IncomingMessage, res: ServerResponse) => void,
): EventHandler {
  return fromNodeHandler(async (req, res) => {
    const closed = new Promise<void>((resolve) => {
      res.once('close', resolve);
    });
    handler(req as IncomingMessage, res as ServerResponse);
    return closed;
  });
}

/** Returns the first value of a request header, or `undefined`. */
export function getHeader(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Sends a JSON response unless headers were already sent or the connection is closed. */
export function sendJson(
  res: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (res.destroyed || res.headersSent) return;
  const body = Buffer.from(`${JSON.stringify(value)}\n`);
  res.writeHead(status, {
    'content-type': 'application/json',
    ...headers,
    'content-length': String(body.length),
  });
  res.end(body);
}
