/**
 * Upstream that writes raw bytes: answers each request as its `answer` says, so that a test can send
 * what no HTTP library would. It reads requests only as far as needed to find their heads.
 */
import { createServer, type AddressInfo, type Socket } from 'node:net';

/** How a connection of the upstream has ended. */
export type SocketEnd = 'open' | 'closed' | 'reset';

/** A request whose head has arrived. */
export interface RawExchange {
  readonly socket: Socket;
  readonly requestId: string;
  readonly path: string;
  /** How the connection has ended. */
  readonly socketEnd: () => SocketEnd;
}

export interface RawUpstream {
  readonly address: string;
  readonly exchanges: readonly RawExchange[];
  /** Refuses new connections; those that are open stay open. */
  readonly stopListening: () => void;
  readonly close: () => Promise<void>;
}

const HEAD_END = '\r\n\r\n';

/** Starts an upstream on the loopback interface; answers health checks with 200. */
export async function startRawUpstream(
  answer: (exchange: RawExchange) => void,
): Promise<RawUpstream> {
  const exchanges: RawExchange[] = [];
  const sockets = new Set<Socket>();

  const server = createServer({ allowHalfOpen: false }, (socket) => {
    sockets.add(socket);
    let end: SocketEnd = 'open';
    let received = '';
    socket.on('error', (err: NodeJS.ErrnoException) => {
      if (err.code === 'ECONNRESET') end = 'reset';
    });
    socket.on('close', () => {
      sockets.delete(socket);
      if (end === 'open') end = 'closed';
    });
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
      const headEnd = received.indexOf(HEAD_END);
      if (headEnd < 0) return;
      const head = received.slice(0, headEnd);
      received = '';
      const path = head.split(' ')[1] ?? '';
      const requestId = /^request-id: *(.*)$/im.exec(head)?.[1]?.trim() ?? '';
      if (path === '/healthz') {
        socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
        return;
      }
      const exchange: RawExchange = { socket, requestId, path, socketEnd: () => end };
      exchanges.push(exchange);
      answer(exchange);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    exchanges,
    stopListening: () => server.close(),
    close: async () => {
      sockets.forEach((socket) => socket.destroy());
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}

/** Returns the head of a signed success for a request, with further header lines. */
export function signedHead(requestId: string, ...lines: readonly string[]): string {
  return [
    'HTTP/1.1 200 OK',
    `Request-Id: ${requestId}`,
    `Response-Signature: signed-${requestId}`,
    ...lines,
    '',
    '',
  ].join('\r\n');
}

/** Returns the connection of the first request that an upstream got. */
export function firstSocket({ exchanges }: RawUpstream): Socket {
  const [first] = exchanges;
  if (first === undefined) throw new Error('no request has arrived');
  return first.socket;
}
