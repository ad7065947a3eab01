/**
 * Exchanges messages with the other instances in UDP datagrams.
 *
 * Load pattern: hundreds of small instances tell their neighbours a few hundred bytes several times
 * a second. The messages contain full state, so that a lost one needs no repetition, and a stream
 * to every neighbour, with its flow control, pings and reconnections, would take more processor time
 * than the messages themselves.
 */
import { createSocket, type RemoteInfo, type SocketOptions } from 'node:dgram';
import type { AddressInfo } from 'node:net';
import type { Millis } from '../../core/clock.js';
import type { InstanceIdentity, PeerMessage } from '../../core/types.js';
import { decodeBatch, encodeBatch } from '../../protocol/codec.js';
import { createBatchJoiner, splitBatch } from '../../protocol/datagrams.js';
import { parseAddress } from '../address.js';

export interface DatagramPeerHostOptions {
  readonly self: Pick<InstanceIdentity, 'id' | 'incarnation'>;
  readonly host: string;
  /** 0 lets the operating system choose a port. */
  readonly port: number;
  readonly now: () => Millis;
  readonly onMessage: (from: string, incarnation: number, message: PeerMessage) => void;
  /** Called for a datagram that is dropped because it cannot be decoded. */
  readonly onMalformed: (source: string, reason: string) => void;
  /** Called for a message that could not be sent. */
  readonly onSendFailed: (address: string, reason: string) => void;
}

export interface DatagramPeerHost {
  /** Starts to listen; returns the bound address as `ip:port`. */
  readonly listen: () => Promise<string>;
  /** Sends a message; it may be lost. */
  readonly send: (address: string, message: PeerMessage) => void;
  readonly close: () => Promise<void>;
}

/** Addresses are IP addresses, so that nothing has to be looked up. */
const returnAddress: SocketOptions['lookup'] = (host, _options, callback) => {
  callback(null, host, 4);
};

/** Creates the host without starting to listen. */
export function createDatagramPeerHost(options: DatagramPeerHostOptions): DatagramPeerHost {
  const { self } = options;
  const socket = createSocket({ type: 'udp4', lookup: returnAddress });
  const joiner = createBatchJoiner();
  let isClosed = false;
  let batchNumber = 0;
  /** The message that was encoded last, as one message usually goes to several instances. */
  let encoded: { readonly value: object; readonly datagrams: readonly Buffer[] } | undefined;

  function encode(message: PeerMessage): readonly Buffer[] {
    if (encoded?.value === message.value) return encoded.datagrams;
    batchNumber += 1;
    const batch = encodeBatch({ sender: self, messages: [message] });
    encoded = { value: message.value, datagrams: splitBatch(batch, batchNumber) };
    return encoded.datagrams;
  }

  function receive(datagram: Buffer, { address, port }: RemoteInfo): void {
    const source = `${address}:${port}`;
    const joined = joiner.add(source, datagram, options.now());
    if (joined.kind === 'incomplete') return;
    if (joined.kind === 'malformed') {
      options.onMalformed(source, joined.reason);
      return;
    }
    try {
      const { sender, messages } = decodeBatch(joined.bytes);
      messages.forEach((message) => options.onMessage(sender.id, sender.incarnation, message));
    } catch (err) {
      options.onMalformed(source, describe(err));
    }
  }

  socket.on('message', receive);
  socket.on('error', (err) => options.onSendFailed('', describe(err)));
  return {
    listen: async () =>
      new Promise((resolve, reject) => {
        socket.once('error', reject);
        socket.bind(options.port, options.host, () => {
          socket.off('error', reject);
          const { address, port }: AddressInfo = socket.address();
          resolve(`${address}:${port}`);
        });
      }),
    send: (address, message) => {
      if (isClosed) return;
      const { host, port } = parseAddress(address);
      try {
        encode(message).forEach((datagram) =>
          socket.send(datagram, port, host, (err) => {
            if (err !== null && !isClosed) options.onSendFailed(address, describe(err));
          }),
        );
      } catch (err) {
        options.onSendFailed(address, describe(err));
      }
    },
    close: async () => {
      if (isClosed) return;
      isClosed = true;
      await new Promise<void>((resolve) => {
        socket.close(resolve);
      });
    },
  };
}

function describe(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
