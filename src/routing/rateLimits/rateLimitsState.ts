/** The rate limits that upstreams have stated, and how they are used. */
import type { Millis } from '../../core/clock.js';
import type { SlidingCount } from '../slidingCount.js';
import type { Pacer } from './pacer.js';
import type { ValueThreshold } from './valueThreshold.js';

/** Time over which requests to an upstream are counted against its limit. */
export const LIMIT_WINDOW_MS: Millis = 4_000;

/** The latest statement of an upstream on the rate of requests that it accepts. */
export interface RateLimit {
  /** Requests per second from all instances; undefined once the upstream states no limit any more. */
  readonly perSecond: number | undefined;
  /** Time at which an instance received the answer with the statement. */
  readonly statedAt: Millis;
}

/** How one or several instances use a limited upstream. */
export interface LimitUse {
  /** Requests per second that would be sent there if there were no limit. */
  readonly wantedPerSecond: number;
  /** Requests sent within the last `LIMIT_WINDOW_MS`. */
  readonly sent: number;
}

/** Requests that this instance would send to an upstream, as an exponentially decaying rate. */
export interface WantedRate {
  perSecond: number;
  at: Millis;
}

export interface LimitedUpstream {
  limit: RateLimit;
  readonly pacer: Pacer;
  readonly wanted: WantedRate;
  /** Value from which requests are worth a turn. */
  readonly threshold: ValueThreshold;
}

export interface RateLimitsState {
  /** Keyed by the hash of the upstream's id and start time, as a restart ends a limit. */
  readonly limited: Map<number, LimitedUpstream>;
  /** Requests sent to each upstream, limited or not. */
  readonly sent: Map<number, SlidingCount>;
}

export function createRateLimitsState(): RateLimitsState {
  return { limited: new Map(), sent: new Map() };
}
