/**
 * Estimates the time to the first event: `first = base + perToken * tokens to be read before it`,
 * by least squares with exponentially decaying weights. For pools whose requests have no tokens,
 * only the base is estimated.
 *
 * The number of tokens queued ahead of a request is known only approximately: other instances
 * report theirs late, and part of it has been read already. Errors in the regressor would bias the
 * slope towards zero, so an observation is weighted by the square of the fraction of its tokens
 * that belong to the request itself.
 */
import type { Millis } from '../../core/clock.js';
import { decayFactor } from '../decay.js';

export interface Speed {
  /**
   * Adds an observed time to the first event, with the tokens read for the request and before it.
   */
  readonly observe: (tokens: ObservedTokens, first: Millis) => void;
  /** Returns the estimated milliseconds per token, if there are enough observations. */
  readonly perTokenMs: () => number | undefined;
  /**
   * Returns the estimated time to the first event of a request without tokens, if anything was
   * observed.
   */
  readonly baseMs: () => Millis | undefined;
  /** Adds an observation of how long a request occupied its upstream. */
  readonly observeHold: (hold: Millis) => void;
  /**
   * Returns the average time for which a request occupies its upstream, if anything was observed.
   */
  readonly holdMs: () => Millis | undefined;
  /**
   * Returns the average ratio of observed to expected time; 1 for an upstream that is as fast as
   * expected. The ratio decays to 1 without observations, so that a slow upstream is tried again.
   */
  readonly slowness: (now: Millis) => number;
  readonly observeSlowness: (ratio: number, now: Millis) => void;
}

/** Tokens that an upstream had to read before a first event. */
export interface ObservedTokens {
  readonly own: number;
  /** Tokens of other requests, as estimated. */
  readonly ahead: number;
}

/** Factor applied to the weight of older observations for each new one. */
const DECAY_PER_OBSERVATION = 0.98;
const MIN_OBSERVATIONS = 8;
/** Bounds of the slope that are plausible for a model engine. */
const MIN_PER_TOKEN_MS = 0.0005;
const MAX_PER_TOKEN_MS = 1;
const HOLD_SMOOTHING = 0.05;
const SLOWNESS_SMOOTHING = 0.1;
/** Time constant with which the slowness decays to 1. */
const SLOWNESS_TIME_CONSTANT_MS: Millis = 5_000;
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

  function decayedSlowness(now: Millis): number {
    return 1 + (slowness - 1) * decayFactor(now - slownessAt, SLOWNESS_TIME_CONSTANT_MS);
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
      const observationWeight = tokens > 0 ? (own / tokens) ** 2 : 1;
      // An observation with a low weight also decays the older ones less.
      const retainedFraction = 1 - (1 - DECAY_PER_OBSERVATION) * observationWeight;
      weight = weight * retainedFraction + observationWeight;
      sumTokens = sumTokens * retainedFraction + observationWeight * tokens;
      sumFirst = sumFirst * retainedFraction + observationWeight * first;
      sumTokensSquared = sumTokensSquared * retainedFraction + observationWeight * tokens * tokens;
      sumProducts = sumProducts * retainedFraction + observationWeight * tokens * first;
    },
    perTokenMs,
    baseMs: () => {
      if (weight === 0) return undefined;
      const slope = perTokenMs() ?? 0;
      return Math.max(0, (sumFirst - slope * sumTokens) / weight);
    },
    observeHold: (observed) => {
      hold = hold === undefined ? observed : hold + HOLD_SMOOTHING * (observed - hold);
    },
    holdMs: () => hold,
    slowness: decayedSlowness,
    observeSlowness: (ratio, now) => {
      const bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio));
      const before = decayedSlowness(now);
      slowness = before + SLOWNESS_SMOOTHING * (bounded - before);
      slownessAt = now;
    },
  };
}
