/** Settings of shares, dispatch and limits. All durations are in milliseconds. */
import type { Millis } from '../clock.js';

export interface SharingSettings {
  /** Number of customer groups, each with its own relays of service sums. */
  readonly customerGroups: number;
  /** Number of exchanges after which unchanged sums of waiting customers are resent. */
  readonly refreshExchanges: number;
  /** Initial number of owners to which waiting work is announced; doubles while the work waits. */
  readonly announceFanout: number;
  /** Interval at which an owner with free slots renews its subscription to waiting work. */
  readonly pullMs: Millis;
  /** Interval at which entries report their held grants. */
  readonly holdReportMs: Millis;
  /** Load difference, as a share of the slots, within which the longest cached prefix wins. */
  readonly prefixLoadMargin: number;
  /** Maximum number of cached blocks tracked per upstream. */
  readonly cacheBlocks: number;
  /** Maximum time for which a stream stays suspended. */
  readonly maxSuspendMs: Millis;
  /** Interval at which instances exchange their usage of fleet-wide limits. */
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
