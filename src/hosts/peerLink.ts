/**
 * The sending link to one other instance: a gRPC stream that is opened on demand, opened anew after
 * failures with a growing delay, and given up when no answer to its pings arrives, since a
 * connection can fall silent for good while new ones work. Messages wait until the other side has
 * answered once, so that a connection that never comes up loses none of them.
 */
import { Client, type ChannelCredentials, type ClientDuplexStream } from '@grpc/grpc-js';
import type { Millis } from '../core/clock.js';
import type { PeerMessage } from '../core/types.js';
import { decodeBatch, encodeBatch, FRAMING_BYTES, type PeerBatch } from '../protocol/codec.js';
import { PeerService } from '../protocol/generated/peer.js';

export interface PeerLinkLimits {
  /** Messages that wait for a connection; beyond that the oldest is dropped. */
  readonly maxQueued: number;
  /** Messages in one batch. */
  readonly maxBatch: number;
  readonly pingIntervalMs: Millis;
  /** Longest wait for the answer to a ping. */
  readonly pingTimeoutMs: Millis;
  readonly minBackoffMs: Millis;
  readonly maxBackoffMs: Millis;
}

export const DEFAULT_PEER_LINK_LIMITS: PeerLinkLimits = {
  maxQueued: 10_000,
  maxBatch: 1_000,
  pingIntervalMs: 1_000,
  pingTimeoutMs: 2_000,
  minBackoffMs: 50,
  maxBackoffMs: 2_000,
};

export interface PeerLinkOptions {
  readonly address: string;
  readonly limits: PeerLinkLimits;
  readonly createCredentials: () => ChannelCredentials;
  readonly createBatch: (messages: readonly PeerMessage[]) => PeerBatch;
  readonly onBytesSent: (bytes: number) => void;
  /** Called when a connection could not be opened or broke. */
  readonly onLost: (reason: string) => void;
}

export interface PeerLink {
  readonly address: string;
  readonly send: (message: PeerMessage) => void;
  readonly close: () => void;
}

type Stream = ClientDuplexStream<PeerBatch, PeerBatch>;

interface Connection {
  readonly client: Client;
  readonly stream: Stream;
  /** Time at which the unanswered ping was sent. */
  pingSentAt: number | undefined;
  /** Whether the other side has answered on this connection. */
  isOpen: boolean;
  isBlocked: boolean;
}

/** Channels with the same address would share one connection. */
const CHANNEL_OPTIONS = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  // IP numbers are not allowed as the server name of TLS.
  'grpc.ssl_target_name_override': 'primroseswitch',
} as const;

/** Creates a link that connects with its first message. */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
  const { limits } = options;
  let connection: Connection | undefined;
  let queue: PeerMessage[] = [];
  let isFlushDue = false;
  let isClosed = false;
  let backoffMs = limits.minBackoffMs;
  let retryTimer: NodeJS.Timeout | undefined;
  let nonce = 0;

  function serialize(batch: PeerBatch): Buffer {
    const bytes = encodeBatch(batch);
    options.onBytesSent(bytes.length + FRAMING_BYTES);
    return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  }

  function connect(): void {
    const client = new Client(options.address, options.createCredentials(), CHANNEL_OPTIONS);
    const { path } = PeerService.exchange;
    const stream: Stream = client.makeBidiStreamRequest(path, serialize, decodeBatch);
    const opened = { client, stream, pingSentAt: undefined, isOpen: false, isBlocked: false };
    connection = opened;
    listen(opened);
    ping(opened);
  }

  function listen(opened: Connection): void {
    const { stream } = opened;
    stream.on('data', (batch: PeerBatch) => {
      if (!batch.messages.some((message) => message.$case === 'pong')) return;
      opened.pingSentAt = undefined;
      backoffMs = limits.minBackoffMs;
      if (opened.isOpen) return;
      opened.isOpen = true;
      flush();
    });
    stream.on('drain', () => {
      opened.isBlocked = false;
      flush();
    });
    stream.on('error', (err: Error) => lose(opened, err.message));
    stream.on('end', () => lose(opened, 'The stream was ended.'));
  }

  function lose(lost: Connection, reason: string): void {
    if (connection !== lost) return;
    connection = undefined;
    lost.stream.cancel();
    lost.client.close();
    if (isClosed) return;
    options.onLost(reason);
    const delay = backoffMs * (0.5 + Math.random() / 2);
    backoffMs = Math.min(2 * backoffMs, limits.maxBackoffMs);
    retryTimer = setTimeout(() => {
      retryTimer = undefined;
      flush();
    }, delay);
  }

  function ping(target: Connection): void {
    nonce += 1;
    target.pingSentAt = performance.now();
    target.stream.write(options.createBatch([{ $case: 'ping', value: { nonce } }]));
  }

  function checkSilence(): void {
    if (connection === undefined) return;
    if (connection.pingSentAt === undefined) {
      ping(connection);
    } else if (performance.now() - connection.pingSentAt > limits.pingTimeoutMs) {
      lose(connection, 'The connection is silent.');
    }
  }

  function flush(): void {
    isFlushDue = false;
    if (isClosed || queue.length === 0 || retryTimer !== undefined) return;
    if (connection === undefined) connect();
    else if (connection.isOpen) sendQueued(connection);
  }

  function sendQueued(target: Connection): void {
    while (!target.isBlocked && queue.length > 0) {
      const messages = queue.slice(0, limits.maxBatch);
      queue = queue.slice(messages.length);
      target.isBlocked = !target.stream.write(options.createBatch(messages));
    }
  }

  const pingTimer = setInterval(checkSilence, limits.pingIntervalMs);
  pingTimer.unref();
  return {
    address: options.address,
    send: (message) => {
      queue.push(message);
      if (queue.length > limits.maxQueued) queue.shift();
      if (isFlushDue) return;
      isFlushDue = true;
      // Messages of one turn of the loop leave in one batch.
      queueMicrotask(flush);
    },
    close: () => {
      isClosed = true;
      clearInterval(pingTimer);
      clearTimeout(retryTimer);
      if (connection === undefined) return;
      const { client, stream } = connection;
      connection = undefined;
      stream.on('error', () => {});
      stream.end();
      client.close();
    },
  };
}
