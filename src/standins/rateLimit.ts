/** Limits how often something may happen, as a token bucket. */
import type { Millis } from '../core/clock.js';
import { MS_PER_SECOND } from '../core/clock.js';

export interface RateLimit {
  /** Takes one; returns 0, or the time until one is free. */
  take: () => Millis;
}

/** Creates a limit of `perSecond`, of which up to `burst` may come at once. */
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
