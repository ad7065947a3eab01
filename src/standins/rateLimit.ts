/** Token bucket rate limiter. */
import type { Millis } from '../core/clock.js';
import { MS_PER_SECOND } from '../core/clock.js';

export interface RateLimit {
  /** Takes a token and returns 0, or returns the time until the next token is available. */
  take: () => Millis;
}

/** Creates a full bucket of `burst` tokens that is refilled at `perSecond`. */
export function createRateLimit(perSecond: number, burst: number, now: () => Millis): RateLimit {
  let tokens = burst;
  let refilledAt = now();
  return {
    take: () => {
      const elapsed = now() - refilledAt;
      refilledAt += elapsed;
      tokens = Math.min(burst, tokens + (elapsed * perSecond) / MS_PER_SECOND);
      if (tokens < 1) return ((1 - tokens) * MS_PER_SECOND) / perSecond;
      tokens -= 1;
      return 0;
    },
  };
}
