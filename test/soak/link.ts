/** A loopback TCP proxy that delays traffic, resets connections, or drops traffic in one or both directions. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { parseAddress } from '../../src/hosts/address.js';

export type LinkFault =
  | { readonly kind: 'none' }
  /** Drops the bytes of both directions and keeps connections open. */
  | { readonly kind: 'silent' }
  /** Drops the bytes sent by the target. */
  | { readonly kind: 'oneWay' }
  /** Resets open and new connections. */
  | { readonly kind: 'reset' }
  /** Delays each chunk. */
  | { readonly kind: 'slow'; readonly delayMs: number };

export interface Link {
  readonly address: string;
  readonly setFault: (fault: LinkFault) => void;
  readonly close: () => void;
}

export async function startLink(target: string): Promise<Link> {
  let fault: LinkFault = { kind: 'none' };
  const sockets = new Set<Socket>();

  function forward(from: Socket, to: Socket, isResponse: boolean): void {
    // Once bytes are dropped, all later bytes of the connection are dropped too; delivering them would
    // leave a gap in the byte stream.
    let isSilent = false;
    const deliver = (action: () => void) => {
      isSilent ||= fault.kind === 'silent' || (fault.kind === 'oneWay' && isResponse);
      if (isSilent) return;
      if (fault.kind === 'slow') setTimeout(action, fault.delayMs);
      else action();
    };
    from.on('data', (bytes: Buffer) => deliver(() => to.write(bytes)));
    // Node.js reports a reset that arrives together with data as an ordinary `end`. The missing
    // remote address distinguishes it.
    from.on('end', () =>
      deliver(() => {
        if (from.remoteAddress === undefined) to.resetAndDestroy();
        else to.end();
      }),
    );
    from.on('error', () => deliver(() => to.resetAndDestroy()));
    from.once('close', () => {
      sockets.delete(from);
      deliver(() => to.destroy());
    });
  }

  const server = createServer((near) => {
    if (fault.kind === 'reset') {
      near.resetAndDestroy();
      return;
    }
    const far = connect(parseAddress(target));
    [near, far].forEach((socket) => {
      sockets.add(socket);
      socket.setNoDelay(true);
    });
    forward(near, far, false);
    forward(far, near, true);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setFault: (next) => {
      fault = next;
      if (next.kind === 'reset') sockets.forEach((socket) => socket.resetAndDestroy());
    },
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
