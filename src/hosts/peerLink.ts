/**
 * Outgoing link to one other instance: a gRPC stream that is opened on demand and reopened after
 * failures with exponential backoff. A connection whose pings are not answered is closed, because a
 * connection can stop delivering permanently while new ones work. Messages stay queued until the
 * other side has answered the first ping, so that none is lost on a connection that is never
 * established.
 */
import { Client, type ChannelCredentials, type ClientDuplexStream } from '@grpc/grpc-js';
import type { Millis } from '../core/clock.js';
import type { PeerMessage } from '../core/types.js';
import { decodeBatch, encodeBatch, FRAMING_BYTES, type PeerBatch } from '../protocol/codec.js';
import { PeerService } from '../protocol/generated/peerService.js';

export interface PeerLinkLimits {
  /** Maximum number of messages queued for a connection; the oldest is dropped beyond that. */
  readonly maxQueued: number;
  /** Maximum number of messages in a batch. */
  readonly maxBatch: number;
  readonly pingIntervalMs: Millis;
  /** Timeout for the answer to a ping. */
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
  /** Called when a connection could not be opened or was lost. */
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
  /** Time at which the ping that is not yet answered was sent. */
  pingSentAt: number | undefined;
  /** Whether the other side has answered a ping on this connection. */
  isConfirmed: boolean;
  isBlocked: boolean;
}

const CHANNEL_OPTIONS = {
  // With the global pool, channels to the same address would share one connection.
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  // TLS does not allow an IP address as server name.
  'grpc.ssl_target_name_override': 'primroseswitch',
} as const;

/** Creates a link that connects when the first message is sent. */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
  const { limits } = options;
  let connection: Connection | undefined;
  let queue: PeerMessage[] = [];
  let isFlushScheduled = false;
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
    const opened = { client, stream, pingSentAt: undefined, isConfirmed: false, isBlocked: false };
    connection = opened;
    attachHandlers(opened);
    ping(opened);
  }

  function attachHandlers(opened: Connection): void {
    const { stream } = opened;
    stream.on('data', (batch: PeerBatch) => {
      if (!batch.messages.some((message) => message.$case === 'pong')) return;
      opened.pingSentAt = undefined;
      backoffMs = limits.minBackoffMs;
      if (opened.isConfirmed) return;
      opened.isConfirmed = true;
      flush();
    });
    stream.on('drain', () => {
      opened.isBlocked = false;
      flush();
    });
    stream.on('error', (err: Error) => handleConnectionLoss(opened, err.message));
    stream.on('end', () => handleConnectionLoss(opened, 'The other side closed the stream.'));
  }

  function handleConnectionLoss(lost: Connection, reason: string): void {
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

  function checkPing(): void {
    if (connection === undefined) return;
    if (connection.pingSentAt === undefined) {
      ping(connection);
    } else if (performance.now() - connection.pingSentAt > limits.pingTimeoutMs) {
      handleConnectionLoss(connection, 'No answer to a ping was received in time.');
    }
  }

  function flush(): void {
    isFlushScheduled = false;
    if (isClosed || queue.length === 0 || retryTimer !== undefined) return;
    if (connection === undefined) connect();
    else if (connection.isConfirmed) sendQueued(connection);
  }

  function sendQueued(target: Connection): void {
    while (!target.isBlocked && queue.length > 0) {
      const messages = queue.slice(0, limits.maxBatch);
      queue = queue.slice(messages.length);
      target.isBlocked = !target.stream.write(options.createBatch(messages));
    }
  }

  const pingTimer = setInterval(checkPing, limits.pingIntervalMs);
  pingTimer.unref();
  return {
    address: options.address,
    send: (message) => {
      queue.push(message);
      if (queue.length > limits.maxQueued) queue.shift();
      if (isFlushScheduled) return;
      isFlushScheduled = true;
      // Messages sent in the same turn of the event loop share one batch.
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
