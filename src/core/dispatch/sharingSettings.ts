/** Settings of shares, dispatch and limits. All durations are milliseconds. */
import type { Millis } from '../clock.js';

export interface SharingSettings {
  /** Number of customer groups, each with its own relays of service sums. */
  readonly customerGroups: number;
  /** Exchanges after which unchanged sums of waiting customers are sent again. */
  readonly refreshExchanges: number;
  /** Owners to which waiting work is announced first; the number doubles while it waits. */
  readonly announceFanout: number;
  /** Interval at which an owner with free slots renews its requests for waiting work. */
  readonly pullMs: Millis;
  /** Interval at which entries report the grants that they hold. */
  readonly holdReportMs: Millis;
  /** Load difference, as a share of the slots, up to which a cached prefix decides. */
  readonly prefixLoadMargin: number;
  /** Cached blocks that are remembered of each upstream. */
  readonly cacheBlocks: number;
  /** Longest time for which a stream stays suspended. */
  readonly maxSuspendMs: Millis;
  /** Interval at which the use of fleet-wide limits is exchanged. */
  readonly limitsMs: Millis;
}

export const DEFAULT_SHARING_SETTINGS: SharingSettings = {
  customerGroups: 16,
  refreshExchanges: 4,
  announceFanout: 3,
  pullMs: 500,
  holdReportMs: 1_000,
  prefixLoadMargin: 0.25,
  cacheBlocks: 2_048,
  maxSuspendMs: 10_000,
  limitsMs: 500,
};
