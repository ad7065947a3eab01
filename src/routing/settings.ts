/** Settings of the routing core. Times are milliseconds. */
import type { Millis } from '../core/clock.js';

export interface RoutingSettings {
  /**
   * Memory that the process may use. A fifth of it is for bodies of callers, and for parts of answers, that
   * wait; a change takes effect at the next start.
   */
  readonly memoryBytes: number;
  /** Time after which every instance must refuse a revoked key. */
  readonly revokeMs: Millis;
  /** Time within which an accepted configuration must be active at every instance. */
  readonly applyMs: Millis;
  /** Maximum time that one long poll of the configuration waits for changes. */
  readonly configurationWaitMs: Millis;
  /** Minimum interval between reads of the upstream list. */
  readonly upstreamPollMs: Millis;
  /**
   * Time after which a draining upstream must get no more requests. The upstream list is read at an
   * interval of a fraction of it, but no more often than `upstreamPollMs`.
   */
  readonly drainMs: Millis;
  /** Interval at which an upstream writes its entry in the list; 0 if it is unknown. */
  readonly upstreamBeatMs: Millis;
  /** Maximum time that one long poll of the announced instances waits for changes. */
  readonly instanceWaitMs: Millis;
  /** Interval at which an instance sends its open work to the others. */
  readonly exchangeMs: Millis;
  /**
   * Number of recipients of an instance's messages up to which `exchangeMs` applies; above it, the
   * interval grows in proportion.
   */
  readonly exchangeInstances: number;
  /**
   * Number of instances up to which each one sends to all others. Above it, instances exchange only
   * within their failure domain, and one instance of each domain exchanges sums with other domains.
   */
  readonly meshInstances: number;
  /** Time without a message after which another instance is considered gone. */
  readonly peerTimeoutMs: Millis;
  /** Time after which the platform kills a process that was told to stop. */
  readonly stopGraceMs: Millis;
  /** Time for which a stopping instance still accepts new requests. */
  readonly stopAcceptMs: Millis;
  /**
   * Time for which upstreams that left the list while the platform was unavailable remain in use.
   */
  readonly relistWithinMs: Millis;
  /** Retries per request for a pool, over all instances. */
  readonly retryRatio: number;
  /** Retries in each window in addition to `retryRatio`, over all instances. */
  readonly retrySlack: number;
  /** Length of the sliding window in which retries are counted. */
  readonly retryWindowMs: Millis;
  /**
   * Number of upstreams that a request, or requests with one part of their prompts, may crash one after
   * the other before it is refused. A request as a whole is refused after one less, until an early trial.
   */
  readonly maxCrashes: number;
}

export const DEFAULT_ROUTING_SETTINGS: RoutingSettings = {
  memoryBytes: 350 * 1024 * 1024,
  revokeMs: 5_000,
  applyMs: 2_500,
  configurationWaitMs: 600,
  upstreamPollMs: 500,
  drainMs: 2_500,
  upstreamBeatMs: 0,
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
