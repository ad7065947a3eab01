/**
 * Listening side of the callers' and operators' ports: an `h3` application on a Node.js server,
 * over TLS if certificates are given.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createServer as createTlsServer, type Server as TlsServer } from 'node:https';
import type { AddressInfo, Socket } from 'node:net';
import type { H3, EventHandler } from 'h3';
import { fromNodeHandler, toNodeHandler } from 'h3';
import type { Millis } from '../core/clock.js';
import type { CertificateSource } from './certificates.js';

/** Limits on what a connection may send before a request is read. */
export interface HttpLimits {
  readonly maxHeaderBytes: number;
  /** Longest time in which the headers have to arrive. */
  readonly headersTimeoutMs: Millis;
  /** Longest time in which a whole request has to arrive. */
  readonly requestTimeoutMs: Millis;
  readonly maxConnections: number;
}

export const DEFAULT_HTTP_LIMITS: HttpLimits = {
  maxHeaderBytes: 16 * 1024,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 60_000,
  maxConnections: 20_000,
};

/** Interval at which connections are checked for their time limits. */
const CHECK_INTERVAL_MS = 1_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** Takes each request and writes its answer, now or later. */
export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => void | Promise<void>;

export interface HttpServerOptions {
  /** An application, or a handler for ports on which all paths are handled alike. */
  readonly app: H3 | RequestHandler;
  readonly host: string;
  readonly port: number;
  readonly limits?: Partial<HttpLimits>;
  readonly certificates?: CertificateSource | undefined;
  /** Answers a connection whose bytes are not HTTP, by the code of the error. */
  readonly malformedAnswer?: (errorCode: string) => string;
  /** Connections that may wait to be accepted; the system's usual number by default. */
  readonly backlog?: number;
  /** Called with each connection that is accepted. */
  readonly onConnection?: () => void;
}

export interface HttpServer {
  /** Starts to listen; returns the bound address as `ip:port`. */
  readonly listen: () => Promise<string>;
  /** Stops to listen and resolves once every connection has ended. */
  readonly close: () => Promise<void>;
  /** Stops to listen and cuts every connection. */
  readonly kill: () => Promise<void>;
  /** Changes time limits; connections that are open already keep their present wait. */
  readonly setTimeouts: (timeouts: HttpTimeouts) => void;
  /** Closes the connections on which no request is in progress. */
  readonly closeIdle: () => void;
}

export interface HttpTimeouts {
  /** Longest time in which the headers of a request have to arrive. */
  readonly headersMs: Millis;
  /** Time after which an idle connection is closed. */
  readonly idleMs: Millis;
}

/** Creates a server that does not listen yet. */
export function createHttpServer(options: HttpServerOptions): HttpServer {
  const limits = { ...DEFAULT_HTTP_LIMITS, ...options.limits };
  const busy = new WeakSet<Socket>();
  const server = openServer(options, limits);
  server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
    busy.add(req.socket);
    res.once('close', () => busy.delete(req.socket));
  });
  server.maxConnections = limits.maxConnections;
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  server.on('connection', (socket: Socket) => {
    socket.setNoDelay(true);
    options.onConnection?.();
  });
  server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => {
    // Bytes between the parts of an answer in progress would become part of it.
    if (!socket.writable || busy.has(socket)) socket.destroy();
    else socket.end(options.malformedAnswer?.(err.code ?? '') ?? '');
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

function openServer(options: HttpServerOptions, limits: HttpLimits): Server | TlsServer {
  const { app } = options;
  const handler = typeof app === 'function' ? app : toNodeHandler(app);
  const serverOptions = {
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.headersTimeoutMs,
    requestTimeout: limits.requestTimeoutMs,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
    // Checked below, so that the refusal has the form of all others.
    requireHostHeader: false,
  };
  const { certificates } = options;
  const listener = (req: IncomingMessage, res: ServerResponse) => {
    if (req.headers.host === undefined && req.httpVersion === '1.1') {
      req.socket.end(options.malformedAnswer?.('') ?? '');
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
 * Wraps a handler that writes to the Node.js response itself, now or later. The route counts as
 * handled once the response is closed.
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

/** First value of a request header, or `undefined`. */
export function headerOf(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Writes a JSON answer. */
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
