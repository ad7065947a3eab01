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
  /** Called if the client library fails to handle an event of a connection. */
  readonly onListenerFailed?: (event: string, err: unknown) => void;
}

export type ConnectionEnd =
  /** No connection is ending. */
  | 'none'
  /** The upstream closed it gracefully. */
  | 'closed'
  /** It was reset or aborted. */
  | 'broken';

/**
 * A connection whose answer may be paused. undici asserts that no answer is paused when its connection
 * ends, so the end is held back until the answer goes on.
 */
export interface PausableConnection {
  readonly pause: () => void;
  /** Tells of an end that was held back. */
  readonly resume: () => void;
}

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
  /** The connection whose socket event is being handled. */
  readonly currentConnection: () => PausableConnection | undefined;
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
  let currentConnection: PausableConnection | undefined;

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
    guardEvents(socket, {
      onFailed: (event, err) => options.onListenerFailed?.(event, err),
      replaceCurrent: (connection) => {
        const replaced = currentConnection;
        currentConnection = connection;
        return replaced;
      },
    });
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
    currentConnection: () => currentConnection,
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

interface GuardOptions {
  readonly onFailed: (event: string, err: unknown) => void;
  /** Sets the connection whose events are handled; returns the one before, as events may be nested. */
  readonly replaceCurrent: (
    connection: PausableConnection | undefined,
  ) => PausableConnection | undefined;
}

/**
 * Guards the process against what undici asserts when it handles the events of a connection.
 *
 * The end of a connection is held back while its answer is paused for a slow caller. Any other error that
 * a listener throws is caught: the connection is told of an error, so that its request ends, and is lost.
 */
function guardEvents(socket: Socket, { onFailed, replaceCurrent }: GuardOptions): void {
  const emit = socket.emit.bind(socket) as (event: string | symbol, ...args: unknown[]) => boolean;
  let isPaused = false;
  let isEndHeldBack = false;
  const connection: PausableConnection = {
    pause: () => {
      isPaused = true;
      // Otherwise the socket would close by itself although its end is held back.
      socket.allowHalfOpen = true;
    },
    resume: () => {
      isPaused = false;
      socket.allowHalfOpen = false;
      if (!isEndHeldBack || socket.destroyed) return;
      isEndHeldBack = false;
      socket.emit('end');
    },
  };

  function tryEmit(event: string | symbol, args: readonly unknown[]): boolean | undefined {
    const outer = replaceCurrent(connection);
    try {
      return emit(event, ...args);
    } catch (err) {
      onFailed(String(event), err);
      return undefined;
    } finally {
      replaceCurrent(outer);
    }
  }

  socket.emit = (event: string | symbol, ...args: unknown[]): boolean => {
    if (event === 'end' && isPaused) {
      isEndHeldBack = true;
      return true;
    }
    // undici takes a reset for a possible end of the answer, but no other error.
    const isReset = event === 'error' && isPaused;
    const result = tryEmit(event, isReset ? [new Error('reset while paused')] : args);
    if (result !== undefined) return result;
    // Without an error, undici would take the end of the connection for the end of the answer.
    const failure = new Error('The connection failed.');
    tryEmit('error', [failure]);
    if (event === 'close') tryEmit(event, args);
    else socket.destroy(failure);
    return true;
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
