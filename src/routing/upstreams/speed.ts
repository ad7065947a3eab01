/**
 * Learns how long a first event takes: `first = base + perToken * tokens to be read before it`, by
 * least squares over recent observations, of which older ones count less and less. For pools whose
 * requests have no tokens, only the base is learnt.
 *
 * What is read ahead of a request is known roughly only: other instances tell of theirs late, and
 * part of it has been read already. Errors in it would make a token look cheaper than it is, so that
 * an observation counts by the part of its tokens that are the request's own.
 */
import type { Millis } from '../../core/clock.js';
import { partKept } from '../decay.js';

export interface Speed {
  /** Takes in the time to a first event, with the tokens that were read for it and before it. */
  readonly observe: (tokens: ObservedTokens, first: Millis) => void;
  /** Milliseconds that a token takes, if enough has been observed. */
  readonly perTokenMs: () => number | undefined;
  /** Time to the first event of a request without tokens, if anything was observed. */
  readonly baseMs: () => Millis | undefined;
  /** Takes in how long a request occupied its upstream. */
  readonly observeHold: (hold: Millis) => void;
  /** Time for which a request occupies its upstream, if anything was observed. */
  readonly holdMs: () => Millis | undefined;
  /**
   * Observed time over expected time, averaged; 1 for an upstream that is as fast as expected. It
   * goes back to 1 while nothing is observed, so that an upstream that was slow is tried again.
   */
  readonly slowness: (now: Millis) => number;
  readonly observeSlowness: (ratio: number, now: Millis) => void;
}

/** Tokens that an upstream had to read before a first event. */
export interface ObservedTokens {
  readonly own: number;
  /** Those of other requests, as they were believed to be. */
  readonly ahead: number;
}

/** Weight that older observations keep at each new one. */
const KEPT_WEIGHT = 0.98;
const MIN_OBSERVATIONS = 8;
/** Slopes outside of these cannot be a model engine's. */
const MIN_PER_TOKEN_MS = 0.0005;
const MAX_PER_TOKEN_MS = 1;
const HOLD_WEIGHT = 0.05;
const SLOWNESS_WEIGHT = 0.1;
/** Time constant with which it is forgotten. */
const SLOWNESS_SPAN_MS: Millis = 5_000;
const MIN_SLOWNESS = 0.5;
const MAX_SLOWNESS = 8;

export function createSpeed(): Speed {
  let weight = 0;
  let sumTokens = 0;
  let sumFirst = 0;
  let sumTokensSquared = 0;
  let sumProducts = 0;
  let hold: Millis | undefined;
  let slowness = 1;
  let slownessAt: Millis = 0;

  function slownessNow(now: Millis): number {
    return 1 + (slowness - 1) * partKept(now - slownessAt, SLOWNESS_SPAN_MS);
  }

  function perTokenMs(): number | undefined {
    if (weight < MIN_OBSERVATIONS) return undefined;
    const variance = sumTokensSquared * weight - sumTokens * sumTokens;
    if (variance <= 0) return undefined;
    const slope = (sumProducts * weight - sumTokens * sumFirst) / variance;
    return Math.min(MAX_PER_TOKEN_MS, Math.max(MIN_PER_TOKEN_MS, slope));
  }

  return {
    observe: ({ own, ahead }, first) => {
      const tokens = own + ahead;
      const counts = tokens > 0 ? (own / tokens) ** 2 : 1;
      // What counts little makes little of the older ones forgotten, too.
      const kept = 1 - (1 - KEPT_WEIGHT) * counts;
      weight = weight * kept + counts;
      sumTokens = sumTokens * kept + counts * tokens;
      sumFirst = sumFirst * kept + counts * first;
      sumTokensSquared = sumTokensSquared * kept + counts * tokens * tokens;
      sumProducts = sumProducts * kept + counts * tokens * first;
    },
    perTokenMs,
    baseMs: () => {
      if (weight === 0) return undefined;
      const slope = perTokenMs() ?? 0;
      return Math.max(0, (sumFirst - slope * sumTokens) / weight);
    },
    observeHold: (observed) => {
      hold = hold === undefined ? observed : hold + HOLD_WEIGHT * (observed - hold);
    },
    holdMs: () => hold,
    slowness: slownessNow,
    observeSlowness: (ratio, now) => {
      const bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio));
      const before = slownessNow(now);
      slowness = before + SLOWNESS_WEIGHT * (bounded - before);
      slownessAt = now;
    },
  };
}
