/** State of retries: requests that wait for their time, and the budget. */
import type { Millis } from '../clock.js';
import type { InstanceId, RequestId } from '../types.js';

/** First attempts and wanted retries of one instance within one window. */
export interface RetryUse {
  readonly window: number;
  readonly requests: number;
  readonly retries: number;
}

export interface RetriesState {
  /** Requests that return to their queue at a time. */
  readonly delayed: Map<RequestId, Millis>;
  /** Retries that may be made now. */
  tokens: number;
  /** Number of the current window. */
  window: number;
  windowEndsAt: Millis;
  /** Use within the current window. */
  requests: number;
  wanted: number;
  /** Latest whole window of each other instance of the failure domain. */
  readonly peers: Map<InstanceId, RetryUse>;
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
