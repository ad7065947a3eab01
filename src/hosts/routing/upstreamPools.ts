/** Keep-alive connection pools, one per start of an upstream, and connection probes. */
import { connect as connectSocket, type Socket } from 'node:net';
import { buildConnector, errors, Pool } from 'undici';
import type { Millis } from '../../core/clock.js';
import type { UpstreamId } from '../../routing/types.js';
import { parseAddress } from '../address.js';

export interface UpstreamPoolsOptions {
  /** Timeout for establishing a connection. */
  readonly connectTimeoutMs?: Millis;
  /** Keep-alive timeout of idle connections if the upstream does not specify one. */
  readonly idleTimeoutMs?: Millis;
}

export type ConnectionEnd =
  /** No connection is ending. */
  | 'none'
  /** The upstream closed it gracefully. */
  | 'closed'
  /** It was reset or aborted. */
  | 'broken';

export interface UpstreamPools {
  /** Returns the pool for one start of an upstream, creating it if necessary. */
  readonly getPool: (target: PoolTarget) => Pool;
  /** Removes a pool; it closes once its pending requests have ended. */
  readonly removePool: (upstream: UpstreamId, upstreamStartedAt: Millis) => void;
  /**
   * How the connection ends whose socket event is being handled. undici treats any end of a
   * non-keep-alive connection as the end of the response, so the caller must check it against the
   * response's framing.
   */
  readonly connectionEnd: () => ConnectionEnd;
  /** Whether an upstream accepts a connection. */
  readonly probe: (address: string) => Promise<boolean>;
  readonly close: () => Promise<void>;
}

export interface PoolTarget {
  readonly upstream: UpstreamId;
  readonly upstreamStartedAt: Millis;
  readonly address: string;
  readonly maxConnections: number;
}

const DEFAULTS = { connectTimeoutMs: 800, idleTimeoutMs: 4_000 } as const;
/** Idle connections are closed this long before the upstream's keep-alive timeout. */
const IDLE_MARGIN_MS: Millis = 1_000;
/** Message of the error with which undici destroys the connection of an aborted request. */
const ABORT_MESSAGE = 'aborted';
const MAX_IDLE_MS: Millis = 60_000;

export function createUpstreamPools(options: UpstreamPoolsOptions = {}): UpstreamPools {
  const cfg = { ...DEFAULTS, ...options };
  const pools = new Map<string, Pool>();
  const poolKey = (upstream: UpstreamId, upstreamStartedAt: Millis) =>
    `${upstream}@${upstreamStartedAt}`;

  const connector = buildConnector({ timeout: cfg.connectTimeoutMs });
  let connectionEnd: ConnectionEnd = 'none';

  /** Connects, and registers listeners that run before those of undici. */
  const connectObserved: buildConnector.connector = (target, callback) => {
    connector(target, (...result) => {
      const [, socket] = result;
      if (socket) observeSocket(socket);
      callback(...result);
    });
  };

  function observeSocket(socket: Socket): void {
    socket.setNoDelay(true);
    const markEnd = (getEnd: () => ConnectionEnd) => () => {
      connectionEnd = getEnd();
      queueMicrotask(() => {
        connectionEnd = 'none';
      });
    };
    socket.prependListener(
      'end',
      markEnd(() => (hasRemoteAddress(socket) ? 'closed' : 'broken')),
    );
    socket.prependListener(
      'error',
      markEnd(() => 'broken'),
    );
    socket.prependListener(
      'close',
      markEnd(() => 'broken'),
    );
    resetOnAbort(socket);
  }

  function createPool(target: PoolTarget): Pool {
    return new Pool(`http://${target.address}`, {
      connections: target.maxConnections,
      pipelining: 1,
      connect: connectObserved,
      keepAliveTimeout: cfg.idleTimeoutMs,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      keepAliveMaxTimeout: MAX_IDLE_MS,
    });
  }

  return {
    getPool: (target) => {
      const key = poolKey(target.upstream, target.upstreamStartedAt);
      const pool = pools.get(key) ?? createPool(target);
      pools.set(key, pool);
      return pool;
    },
    removePool: (upstream, upstreamStartedAt) => {
      const key = poolKey(upstream, upstreamStartedAt);
      const pool = pools.get(key);
      pools.delete(key);
      // Pending requests run to completion; a failure to close surfaces in their outcomes.
      pool?.close().catch(() => undefined);
    },
    connectionEnd: () => connectionEnd,
    probe: async (address) => probeConnection(address, cfg.connectTimeoutMs),
    close: async () => {
      const all = [...pools.values()];
      pools.clear();
      await Promise.all(all.map(async (pool) => pool.destroy()));
    },
  };
}

/**
 * Whether an ended socket still has a remote address. A reset that arrives together with the preceding
 * bytes is reported as a graceful end, but a socket that was reset has no remote address any more.
 */
function hasRemoteAddress(socket: Socket): boolean {
  return socket.remoteAddress !== undefined;
}

/**
 * Resets the connection of an aborted request. After a graceful close, bytes that are still in transit
 * would be delivered later, and the request would be executed after its caller has left.
 *
 * The socket is destroyed with the error of the abort, which `resetAndDestroy` would drop: without an
 * error, undici takes the end of the connection for the end of an answer without a length, and its
 * assertion that the request was not aborted ends the process.
 */
function resetOnAbort(socket: Socket): void {
  const destroy = socket.destroy.bind(socket);
  socket.destroy = (err) => {
    const isAborted = err instanceof errors.InformationalError && err.message === ABORT_MESSAGE;
    // A socket that is already being shut down cannot be reset.
    if (!isAborted || socket.destroyed || socket.writableEnded) return destroy(err);
    // `resetAndDestroy` marks the socket and then calls `destroy` without an error.
    socket.destroy = () => destroy(err);
    return socket.resetAndDestroy();
  };
}

async function probeConnection(address: string, timeoutMs: Millis): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = tryConnect(address);
    if (socket === undefined) {
      resolve(false);
      return;
    }
    const finish = (isAlive: boolean) => {
      socket.destroy();
      resolve(isAlive);
    };
    socket.setTimeout(timeoutMs, () => finish(false));
    socket.once('connect', () => finish(true));
    socket.once('error', () => finish(false));
  });
}

/** Starts to connect; returns `undefined` if the address names no port. */
function tryConnect(address: string): Socket | undefined {
  try {
    return connectSocket(parseAddress(address));
  } catch {
    return undefined;
  }
}
