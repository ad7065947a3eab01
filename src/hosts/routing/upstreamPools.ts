/** Kept connections to upstreams: one pool for each start of an upstream, and probes. */
import { connect as connectSocket, type Socket } from 'node:net';
import { buildConnector, errors, Pool } from 'undici';
import type { Millis } from '../../core/clock.js';
import type { UpstreamId } from '../../routing/types.js';
import { splitAddress } from '../address.js';

export interface UpstreamPoolsOptions {
  /** Longest wait for a new connection. */
  readonly connectTimeoutMs?: Millis;
  /** Time for which an idle connection is kept if the upstream names none. */
  readonly idleTimeoutMs?: Millis;
}

export type ConnectionEnd =
  /** No connection is ending. */
  | 'none'
  /** The upstream has closed it in the usual way. */
  | 'closed'
  /** It was reset, or given up. */
  | 'broken';

export interface UpstreamPools {
  /** The pool of one start of an upstream. */
  readonly poolOf: (target: PoolTarget) => Pool;
  /** Drops a pool once its requests have ended. */
  readonly forget: (upstream: UpstreamId, bornAt: Millis) => void;
  /**
   * How a connection is ending at this moment. The library takes any end of a connection that is not
   * kept for the end of the answer, so that the framing has to be compared with it.
   */
  readonly connectionEnd: () => ConnectionEnd;
  /** Whether an upstream takes a connection. */
  readonly probe: (address: string) => Promise<boolean>;
  readonly close: () => Promise<void>;
}

export interface PoolTarget {
  readonly upstream: UpstreamId;
  readonly bornAt: Millis;
  readonly address: string;
  readonly maxConnections: number;
}

const DEFAULTS = { connectTimeoutMs: 800, idleTimeoutMs: 4_000 } as const;
/** Idle connections are closed this long before the upstream would. */
const IDLE_MARGIN_MS: Millis = 1_000;
/** What the library says as it closes the connection of a request that was given up. */
const ABORTED = 'aborted';
const MAX_IDLE_MS: Millis = 60_000;

export function createUpstreamPools(options: UpstreamPoolsOptions = {}): UpstreamPools {
  const cfg = { ...DEFAULTS, ...options };
  const pools = new Map<string, Pool>();
  const keyOf = (upstream: UpstreamId, bornAt: Millis) => `${upstream}@${bornAt}`;

  const connector = buildConnector({ timeout: cfg.connectTimeoutMs });
  let connectionEnd: ConnectionEnd = 'none';

  /** Connects, and sees the end of the connection before the library does. */
  const connect: buildConnector.connector = (target, callback) => {
    connector(target, (...result) => {
      const [, socket] = result;
      if (socket) prepare(socket);
      callback(...result);
    });
  };

  function prepare(socket: Socket): void {
    socket.setNoDelay(true);
    const during = (endOf: () => ConnectionEnd) => () => {
      connectionEnd = endOf();
      queueMicrotask(() => {
        connectionEnd = 'none';
      });
    };
    socket.prependListener(
      'end',
      during(() => (hasPeer(socket) ? 'closed' : 'broken')),
    );
    socket.prependListener(
      'error',
      during(() => 'broken'),
    );
    socket.prependListener(
      'close',
      during(() => 'broken'),
    );
    resetWhenAborted(socket);
  }

  function open(target: PoolTarget): Pool {
    return new Pool(`http://${target.address}`, {
      connections: target.maxConnections,
      pipelining: 1,
      connect,
      keepAliveTimeout: cfg.idleTimeoutMs,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      keepAliveMaxTimeout: MAX_IDLE_MS,
    });
  }

  return {
    poolOf: (target) => {
      const key = keyOf(target.upstream, target.bornAt);
      const pool = pools.get(key) ?? open(target);
      pools.set(key, pool);
      return pool;
    },
    forget: (upstream, bornAt) => {
      const key = keyOf(upstream, bornAt);
      const pool = pools.get(key);
      pools.delete(key);
      // Requests that still run end as they would; a failure to close shows in their outcomes.
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
 * Whether a connection that has ended still has another side. A reset that arrives together with the
 * bytes before it is told as a usual end, but a connection that was reset has no peer any more.
 */
function hasPeer(socket: Socket): boolean {
  return socket.remoteAddress !== undefined;
}

/**
 * Resets a connection whose request is given up. Closed in the usual way, bytes that are held up on
 * the way would still arrive later, and the request would run after its caller has left.
 */
function resetWhenAborted(socket: Socket): void {
  const destroy = socket.destroy.bind(socket);
  socket.destroy = (err) => {
    const isAborted = err instanceof errors.InformationalError && err.message === ABORTED;
    if (!isAborted || socket.destroyed) return destroy(err);
    socket.destroy = destroy;
    return socket.resetAndDestroy();
  };
}

async function probeConnection(address: string, timeoutMs: Millis): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connectSocket(splitAddress(address));
    const settle = (isAlive: boolean) => {
      socket.destroy();
      resolve(isAlive);
    };
    socket.setTimeout(timeoutMs, () => settle(false));
    socket.once('connect', () => settle(true));
    socket.once('error', () => settle(false));
  });
}
