/** Settings of the core with their defaults. All durations are milliseconds. */
import type { Millis } from './clock.js';
import { DEFAULT_SHARING_SETTINGS, type SharingSettings } from './dispatch/sharingSettings.js';
import { DEFAULT_OUTCOME_SETTINGS, type OutcomeSettings } from './requests/outcomeSettings.js';

export interface CoreSettings extends OutcomeSettings, SharingSettings {
  /** Interval of heartbeats within a failure domain. */
  readonly heartbeatMs: Millis;
  /** Silence after which an instance is taken for dead. */
  readonly memberTimeoutMs: Millis;
  /** Interval at which the platform's instance list is read. */
  readonly instanceListMs: Millis;
  /** Delay in which changes of waiting counts are batched. */
  readonly announceMs: Millis;
  /** Interval at which sums of service are exchanged. */
  readonly exchangeMs: Millis;
  /** Interval at which an owner reads an upstream's load. */
  readonly pollMs: Millis;
  /** Time after which an unused grant expires. */
  readonly grantTimeoutMs: Millis;
  /** Resolution of request deadlines. */
  readonly deadlineTickMs: Millis;
  /** Deadline of a request whose caller sets none. */
  readonly defaultDeadlineMs: Millis;
  /** Longest wait for the first part of an answer. */
  readonly firstByteTimeoutMs: Millis;
  /** Longest silence between two parts of an answer, before rates are known. */
  readonly idleTimeoutMs: Millis;
  /** Interval at which reading, asking and publishing of the configuration are looked after. */
  readonly configurationTickMs: Millis;
  /** Longest wait of one read of the configuration's log. */
  readonly configurationPollMs: Millis;
  /** Pause after a failed read or append of the configuration's log. */
  readonly configurationRetryMs: Millis;
  /** Time in which a new instance expects a peer's configuration before it reads the log. */
  readonly configurationPeerWaitMs: Millis;
  /** Interval of checkpoints; far below the time for which the log keeps records. */
  readonly checkpointMs: Millis;
  /** Longest wait for the verdict of a published edit. */
  readonly publishTimeoutMs: Millis;
  /** Hashes of the keys that may publish the first document; none: any key may. */
  readonly bootstrapKeyHashes: readonly string[];
  /** Interval at which desired and observed states of engines are compared. */
  readonly ordersTickMs: Millis;
  /** Time after which an order whose effect is not seen is given again. */
  readonly orderTimeoutMs: Millis;
  /** Time for which work of a pool waits until more upstreams are loaded for it. */
  readonly placementGrowMs: Millis;
  /** Time of little use after which one upstream less is kept loaded for a pool. */
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
