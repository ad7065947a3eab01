/**
 * Listening side shared by the stand-ins: an `h3` application on a Node.js server whose connections
 * can be cut, and which can stop listening and later listen again on the same port, as a process
 * does that crashed and was restarted.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { fromNodeHandler, HTTPError, toNodeHandler, type EventHandler, type H3 } from 'h3';
import type { ZodType } from 'zod';

const LOOPBACK = '127.0.0.1';

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
  /** Cuts every open connection with a reset. */
  cutConnections: () => void;
  /** Stops listening and cuts every open connection. */
  close: () => Promise<void>;
  /** Listens again on the same port after `close`. */
  reopen: () => Promise<void>;
}

/** Serves `app` over HTTP/1.1. Rejects if the port is taken. */
export async function listen(app: H3, options: ListenOptions = {}): Promise<HttpServer> {
  const host = options.host ?? LOOPBACK;
  const sockets = new Set<Socket>();
  const server = createServer(toNodeHandler(app));
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

  const cutConnections = () => sockets.forEach((socket) => socket.resetAndDestroy());
  return {
    url: `http://${host}:${port}`,
    port,
    cutConnections,
    reopen: async () => (server.listening ? Promise.resolve() : open(port)),
    close: async () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        cutConnections();
      }),
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
