/** Settings of the core and their defaults. All durations are in milliseconds. */
import type { Millis } from './clock.js';
import { DEFAULT_SHARING_SETTINGS, type SharingSettings } from './dispatch/sharingSettings.js';
import { DEFAULT_OUTCOME_SETTINGS, type OutcomeSettings } from './requests/outcomeSettings.js';

export interface CoreSettings extends OutcomeSettings, SharingSettings {
  /** Interval between heartbeats within a failure domain. */
  readonly heartbeatMs: Millis;
  /** Time without heartbeats after which an instance is considered dead. */
  readonly memberTimeoutMs: Millis;
  /** Interval between reads of the platform's instance list. */
  readonly instanceListMs: Millis;
  /** Delay for batching announcements of changed waiting counts. */
  readonly announceMs: Millis;
  /** Interval at which instances exchange the totals of service that customers received. */
  readonly exchangeMs: Millis;
  /** Interval at which an owner polls the load of an upstream. */
  readonly pollMs: Millis;
  /** Time after which an unused grant expires. */
  readonly grantTimeoutMs: Millis;
  /** Interval at which request deadlines are checked. */
  readonly deadlineTickMs: Millis;
  /** Deadline of requests whose caller sets none. */
  readonly defaultDeadlineMs: Millis;
  /** Timeout for the first part of a response. */
  readonly firstByteTimeoutMs: Millis;
  /** Maximum time between two parts of a response while its token rate is unknown. */
  readonly idleTimeoutMs: Millis;
  /** Interval at which configuration reads, peer requests and publications are checked. */
  readonly configurationTickMs: Millis;
  /** Long-poll timeout of reads of the configuration log. */
  readonly configurationPollMs: Millis;
  /** Delay after a failed read from or append to the configuration log. */
  readonly configurationRetryMs: Millis;
  /** Time that a new instance waits for a peer's configuration before it reads the log. */
  readonly configurationPeerWaitMs: Millis;
  /** Interval between checkpoints; must be far below the retention time of the log. */
  readonly checkpointMs: Millis;
  /** Timeout for the result of a published edit. */
  readonly publishTimeoutMs: Millis;
  /** Hashes of the keys that may publish the first document; any key may if empty. */
  readonly bootstrapKeyHashes: readonly string[];
  /** Interval at which the desired and observed states of engines are reconciled. */
  readonly ordersTickMs: Millis;
  /** Time after which an order without visible effect is sent again. */
  readonly orderTimeoutMs: Millis;
  /**
   * Time that requests of a pool must have been waiting before another upstream is loaded for it.
   */
  readonly placementGrowMs: Millis;
  /**
   * Time of low utilization after which the number of loaded upstreams of a pool is reduced by one.
   */
  readonly placementShrinkMs: Millis;
}

export const DEFAULT_CORE_SETTINGS: CoreSettings = {
  ...DEFAULT_OUTCOME_SETTINGS,
  ...DEFAULT_SHARING_SETTINGS,
  heartbeatMs: 1_000,
  memberTimeoutMs: 4_000,
  instanceListMs: 5_000,
  announceMs: 20,
  exchangeMs: 250,
  pollMs: 500,
  grantTimeoutMs: 1_000,
  deadlineTickMs: 100,
  defaultDeadlineMs: 300_000,
  firstByteTimeoutMs: 120_000,
  idleTimeoutMs: 30_000,
  configurationTickMs: 250,
  configurationPollMs: 10_000,
  configurationRetryMs: 500,
  configurationPeerWaitMs: 750,
  checkpointMs: 1_200_000,
  publishTimeoutMs: 20_000,
  bootstrapKeyHashes: [],
  ordersTickMs: 2_000,
  orderTimeoutMs: 120_000,
  placementGrowMs: 10_000,
  placementShrinkMs: 600_000,
};
