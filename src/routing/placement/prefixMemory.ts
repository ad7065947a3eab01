/**
 * Which upstreams are believed to keep a part of a prompt: those to which this instance has sent it
 * not long ago. Bounded; the parts that were not used for longest are dropped first.
 */
import type { Millis } from '../../core/clock.js';
import type { PrefixPartId, UpstreamId } from '../types.js';

export interface PrefixMemory {
  /** Time at which a part was last sent to an upstream, if it is remembered. */
  readonly lastUse: (part: PrefixPartId, upstream: UpstreamId) => Millis | undefined;
  readonly note: (part: PrefixPartId, upstream: UpstreamId, now: Millis) => void;
  /** Drops all that is believed of an upstream. */
  readonly forget: (upstream: UpstreamId) => void;
}

const MAX_PARTS = 20_000;

export function createPrefixMemory(maxParts = MAX_PARTS): PrefixMemory {
  const parts = new Map<PrefixPartId, Map<UpstreamId, Millis>>();
  return {
    lastUse: (part, upstream) => parts.get(part)?.get(upstream),
    note: (part, upstream, now) => {
      const uses = parts.get(part) ?? new Map<UpstreamId, Millis>();
      uses.set(upstream, now);
      // Re-inserting keeps the map in the order of use.
      parts.delete(part);
      parts.set(part, uses);
      if (parts.size <= maxParts) return;
      const [oldest] = parts.keys();
      if (oldest !== undefined) parts.delete(oldest);
    },
    forget: (upstream) => {
      parts.forEach((uses, part) => {
        uses.delete(upstream);
        if (uses.size === 0) parts.delete(part);
      });
    },
  };
}
