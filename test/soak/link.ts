/** A loopback proxy in front of one address that delays, resets, silences, or cuts one direction. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { splitAddress } from '../../src/hosts/address.js';

export type LinkFault =
  | { readonly kind: 'none' }
  /** Bytes of both directions are dropped, connections stay open. */
  | { readonly kind: 'silent' }
  /** Bytes of the answers are dropped. */
  | { readonly kind: 'oneWay' }
  /** Open and new connections are reset. */
  | { readonly kind: 'reset' }
  /** Each piece arrives later. */
  | { readonly kind: 'slow'; readonly delayMs: number };

export interface Link {
  readonly address: string;
  readonly setFault: (fault: LinkFault) => void;
  readonly close: () => void;
}

export async function startLink(target: string): Promise<Link> {
  let fault: LinkFault = { kind: 'none' };
  const sockets = new Set<Socket>();

  function forward(from: Socket, to: Socket, isAnswer: boolean): void {
    // Bytes that were dropped once are never followed by later ones: the connection stays silent.
    let isSilent = false;
    const pass = (action: () => void) => {
      isSilent ||= fault.kind === 'silent' || (fault.kind === 'oneWay' && isAnswer);
      if (isSilent) return;
      if (fault.kind === 'slow') setTimeout(action, fault.delayMs);
      else action();
    };
    from.on('data', (bytes: Buffer) => pass(() => to.write(bytes)));
    // A reset that arrives together with the bytes before it is told as a usual end; only then there
    // is no peer any more.
    from.on('end', () =>
      pass(() => {
        if (from.remoteAddress === undefined) to.resetAndDestroy();
        else to.end();
      }),
    );
    from.on('error', () => pass(() => to.resetAndDestroy()));
    from.once('close', () => {
      sockets.delete(from);
      pass(() => to.destroy());
    });
  }

  const server = createServer((near) => {
    if (fault.kind === 'reset') {
      near.resetAndDestroy();
      return;
    }
    const far = connect(splitAddress(target));
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
