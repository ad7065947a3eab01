/** State of retries: delayed requests and the retry budget. */
import type { Millis } from '../clock.js';
import type { InstanceId, RequestId } from '../types.js';

/** First attempts and requested retries of an instance within one window. */
export interface RetryUsage {
  readonly window: number;
  readonly requests: number;
  readonly retries: number;
}

export interface RetriesState {
  /** Delayed requests, with the time at which they return to their queue. */
  readonly delayed: Map<RequestId, Millis>;
  /** Retries available in the token bucket. */
  tokens: number;
  /** Number of the current window. */
  window: number;
  windowEndsAt: Millis;
  /** First attempts and requested retries within the current window. */
  requests: number;
  wanted: number;
  /** Last complete window of each other instance of the failure domain. */
  readonly peers: Map<InstanceId, RetryUsage>;
}

export function createRetriesState(): RetriesState {
  return {
    delayed: new Map(),
    tokens: 1,
    window: 0,
    windowEndsAt: 0,
    requests: 0,
    wanted: 0,
    peers: new Map(),
  };
}
