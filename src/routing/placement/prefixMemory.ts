/**
 * Which upstreams are believed to keep a part of a prompt: those to which some instance has sent it
 * not long ago. Bounded; the parts that were not used for longest are dropped first.
 *
 * What this instance learns by its own sending is told to the others in two messages in a row, so
 * that the loss of one does no harm, and again after a while if the part is still in use.
 */
import type { Millis } from '../../core/clock.js';

/** Hash of a part of a prompt together with the model that reads it. */
export type PartHash = number;
/** Hash of an upstream's id and start. */
export type UpstreamHash = number;

/** That an upstream was given a part to read. */
export interface PartRead {
  readonly part: PartHash;
  readonly upstream: UpstreamHash;
}

export interface PrefixMemory {
  /** Whether an upstream is believed to keep a part. */
  readonly isKept: (part: PartHash, upstream: UpstreamHash, now: Millis) => boolean;
  /** Notes a part that this instance sent, to be told if `isTold` is set. */
  readonly noteSent: (read: PartRead, now: Millis, isTold: boolean) => void;
  /** Notes what another instance told. */
  readonly noteTold: (read: PartRead, now: Millis) => void;
  /** What is to be told now. */
  readonly takeNews: () => readonly PartRead[];
  /** Drops all that is believed of an upstream. */
  readonly forget: (upstream: UpstreamHash) => void;
}

const MAX_PARTS = 20_000;
/**
 * Time for which a part is believed to be kept after its last use. An upstream whose memory is full
 * drops what was not used for about so long.
 */
const KEPT_MS: Millis = 15_000;
/** Time after which a part that is still in use is told again, well within the time it is kept. */
const TELL_AGAIN_MS: Millis = 4_000;
/** Parts in one message at most. */
const MAX_NEWS = 400;

interface PartUse {
  at: Millis;
  toldAt: Millis;
}

export function createPrefixMemory(): PrefixMemory {
  const parts = new Map<PartHash, Map<UpstreamHash, PartUse>>();
  let news: PartRead[] = [];
  let toldBefore: readonly PartRead[] = [];

  function note({ part, upstream }: PartRead, now: Millis): PartUse {
    const uses = parts.get(part) ?? new Map<UpstreamHash, PartUse>();
    const use = uses.get(upstream) ?? { at: now, toldAt: -Infinity };
    use.at = now;
    uses.set(upstream, use);
    // Re-inserting keeps the map in the order of use.
    parts.delete(part);
    parts.set(part, uses);
    if (parts.size > MAX_PARTS) {
      const [oldest] = parts.keys();
      if (oldest !== undefined) parts.delete(oldest);
    }
    return use;
  }

  return {
    isKept: (part, upstream, now) => {
      const use = parts.get(part)?.get(upstream);
      return use !== undefined && now - use.at < KEPT_MS;
    },
    noteSent: (read, now, isTold) => {
      const use = note(read, now);
      if (!isTold || now - use.toldAt < TELL_AGAIN_MS || news.length >= MAX_NEWS) return;
      use.toldAt = now;
      news.push(read);
    },
    noteTold: (read, now) => {
      // Another instance has told it; there is no need to tell it once more.
      note(read, now).toldAt = now;
    },
    takeNews: () => {
      const told = [...toldBefore, ...news];
      toldBefore = news;
      news = [];
      return told;
    },
    forget: (upstream) => {
      parts.forEach((uses, part) => {
        uses.delete(upstream);
        if (uses.size === 0) parts.delete(part);
      });
    },
  };
}
