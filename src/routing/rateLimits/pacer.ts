/**
 * Paces the requests of one instance to an upstream that limits the rate of all instances together.
 *
 * Load pattern: an instance may send a small part of the limit, often less than a request per second,
 * and its requests come unevenly. An instance that counted in whole requests would never send, or
 * all instances would send one at the same moment after a pause. So the instance collects
 * fractions of a turn, starting at a random one, and loses those that it does not ask for in time:
 * the fleet as a whole keeps to the limit even if each instance sends once in a minute.
 */
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import type { Random } from '../../core/random.js';

export interface Pace {
  /** Turns per second of this instance. */
  readonly perSecond: number;
  /** Time for which unused turns are kept. */
  readonly keepMs: Millis;
}

export interface Pacer {
  /** Adds the turns since the last call, and returns whether turns are left unused. */
  readonly collect: (now: Millis, pace: Pace) => boolean;
  /** Collects turns and returns whether one is available. */
  readonly hasTurn: (now: Millis, pace: Pace) => boolean;
  /** Returns whether a turn is available or can be borrowed from the next ones. */
  readonly canBorrow: (now: Millis, pace: Pace) => boolean;
  /** Uses a turn. */
  readonly take: () => void;
}

/** Turns from which some are left unused; less than two, which the pace of a small part hardly allows. */
const SURPLUS_TURNS = 1.5;

export function createPacer(random: Random, createdAt: Millis): Pacer {
  // Instances start at different fractions, so that their first turns do not come at the same time.
  let turns = random.next();
  let collectedAt = createdAt;

  function collect(now: Millis, { perSecond, keepMs }: Pace): void {
    const elapsedMs = Math.min(keepMs, Math.max(0, now - collectedAt));
    const maxTurns = 1 + (perSecond * keepMs) / MS_PER_SECOND;
    turns = Math.min(maxTurns, turns + (perSecond * elapsedMs) / MS_PER_SECOND);
    collectedAt = now;
  }

  return {
    collect: (now, pace) => {
      collect(now, pace);
      return turns >= SURPLUS_TURNS;
    },
    hasTurn: (now, pace) => {
      collect(now, pace);
      return turns >= 1;
    },
    canBorrow: (now, pace) => {
      collect(now, pace);
      return turns >= 0;
    },
    take: () => {
      turns -= 1;
    },
  };
}
