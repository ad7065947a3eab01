/**
 * Tracks which upstreams are likely to have a part of a prompt in their prefix cache: those to
 * which any instance has recently sent it. The table is bounded; the least recently used parts are
 * evicted first.
 *
 * Parts that this instance sends are announced to the other instances in two consecutive messages,
 * so that the loss of one message does no harm, and again at intervals while the part stays in use.
 */
import type { Millis } from '../../core/clock.js';

/** Hash of a prompt part and the model that reads it. */
export type PartHash = number;
/** Hash of an upstream's id and start time. */
export type UpstreamHash = number;

/** A prompt part that was sent to an upstream. */
export interface PartRead {
  readonly part: PartHash;
  readonly upstream: UpstreamHash;
}

export interface PrefixCacheTable {
  /** Returns whether an upstream is expected to have a part in its cache. */
  readonly isCached: (part: PartHash, upstream: UpstreamHash, now: Millis) => boolean;
  /**
   * Records a part sent by this instance, and queues its announcement if `shouldAnnounce` is set.
   */
  readonly recordSent: (read: PartRead, now: Millis, shouldAnnounce: boolean) => void;
  /** Records a part that another instance announced. */
  readonly recordRemote: (read: PartRead, now: Millis) => void;
  /** Returns the reads to announce in the next message. */
  readonly takePending: () => readonly PartRead[];
  /** Removes all entries of an upstream. */
  readonly removeUpstream: (upstream: UpstreamHash) => void;
}

const MAX_PARTS = 20_000;
/**
 * Time after its last use for which a part is assumed to be cached. An upstream whose memory is
 * full evicts entries that have been unused for about this long.
 */
const PART_TTL_MS: Millis = 15_000;
/** Interval at which a part still in use is announced again; well below `PART_TTL_MS`. */
const REANNOUNCE_MS: Millis = 4_000;
/** Maximum number of parts queued between two messages. */
const MAX_PENDING = 400;

interface PartUse {
  lastUsedAt: Millis;
  announcedAt: Millis;
}

export function createPrefixCacheTable(): PrefixCacheTable {
  const parts = new Map<PartHash, Map<UpstreamHash, PartUse>>();
  let pending: PartRead[] = [];
  let previousBatch: readonly PartRead[] = [];

  function touch({ part, upstream }: PartRead, now: Millis): PartUse {
    const uses = parts.get(part) ?? new Map<UpstreamHash, PartUse>();
    const use = uses.get(upstream) ?? { lastUsedAt: now, announcedAt: -Infinity };
    use.lastUsedAt = now;
    uses.set(upstream, use);
    // Re-inserting keeps the map in least-recently-used order.
    parts.delete(part);
    parts.set(part, uses);
    if (parts.size > MAX_PARTS) {
      const [oldest] = parts.keys();
      if (oldest !== undefined) parts.delete(oldest);
    }
    return use;
  }

  return {
    isCached: (part, upstream, now) => {
      const use = parts.get(part)?.get(upstream);
      return use !== undefined && now - use.lastUsedAt < PART_TTL_MS;
    },
    recordSent: (read, now, shouldAnnounce) => {
      const use = touch(read, now);
      if (!shouldAnnounce || now - use.announcedAt < REANNOUNCE_MS || pending.length >= MAX_PENDING)
        return;
      use.announcedAt = now;
      pending.push(read);
    },
    recordRemote: (read, now) => {
      // Another instance has just announced it, so this one need not.
      touch(read, now).announcedAt = now;
    },
    takePending: () => {
      const batch = [...previousBatch, ...pending];
      previousBatch = pending;
      pending = [];
      return batch;
    },
    removeUpstream: (upstream) => {
      parts.forEach((uses, part) => {
        uses.delete(upstream);
        if (uses.size === 0) parts.delete(part);
      });
    },
  };
}
