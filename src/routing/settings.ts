/** Settings of the routing core. Times are milliseconds. */
import type { Millis } from '../core/clock.js';

export interface RoutingSettings {
  /** Time after which a key that was taken away must be refused everywhere. */
  readonly revokeMs: Millis;
  /** Time within which an accepted configuration has to be in force everywhere. */
  readonly applyMs: Millis;
  /** Longest wait of one read of the configuration for news. */
  readonly configurationWaitMs: Millis;
  /** Shortest interval of reads of the list of upstreams. */
  readonly upstreamPollMs: Millis;
  /** Time after which an upstream that leaves must get no more requests; it bounds that interval. */
  readonly drainMs: Millis;
  /** Longest wait of one read of the announced instances for news. */
  readonly instanceWaitMs: Millis;
  /** Interval at which an instance tells the others of its open work. */
  readonly exchangeMs: Millis;
  /** Instances to which the exchange interval applies; with more of them it grows in proportion. */
  readonly exchangeInstances: number;
  /**
   * Instances up to which each tells all others. With more of them, those of a failure domain tell
   * each other, and one of each domain exchanges sums with the other domains.
   */
  readonly meshInstances: number;
  /** Time after which an instance that was not heard of no longer counts. */
  readonly peerTimeoutMs: Millis;
  /** Time after which the platform ends a process that was told to stop. */
  readonly stopGraceMs: Millis;
  /** Time for which a stopping instance still takes new requests. */
  readonly stopAcceptMs: Millis;
  /** Time for which upstreams that left the list while the platform was away are still used. */
  readonly relistWithinMs: Millis;
  /** Retries of all instances as a share of the requests for a pool. */
  readonly retryRatio: number;
  /** Retries of all instances beyond that share, in each window. */
  readonly retrySlack: number;
  /** Length of the window in which retries are counted. */
  readonly retryWindowMs: Millis;
  /** Upstreams that a request may crash before it is refused. */
  readonly maxCrashes: number;
}

export const DEFAULT_ROUTING_SETTINGS: RoutingSettings = {
  revokeMs: 5_000,
  applyMs: 2_500,
  configurationWaitMs: 600,
  upstreamPollMs: 1_000,
  drainMs: 2_500,
  instanceWaitMs: 10_000,
  exchangeMs: 200,
  exchangeInstances: 10,
  meshInstances: 12,
  peerTimeoutMs: 2_500,
  stopGraceMs: 8_000,
  stopAcceptMs: 1_500,
  relistWithinMs: 2_000,
  retryRatio: 0.2,
  retrySlack: 50,
  retryWindowMs: 10_000,
  maxCrashes: 3,
};
