/** The active configuration, and the time as of which it is confirmed to be the newest. */
import type { Millis } from '../../core/clock.js';
import type { PollState } from '../polls.js';
import { createRouteTable, type RouteTable } from '../routes/routeTable.js';
import type { RoutingConfiguration } from '../types.js';

export interface FreshnessState extends PollState {
  configuration: RoutingConfiguration | undefined;
  routeTable: RouteTable;
  /** Start of the last successful read of the platform, by this instance or a peer. */
  confirmedAt: Millis | undefined;
  /** Time at which a peer's confirmation was last received. */
  peerConfirmedAt: Millis;
  /** Whether a read of the platform is pending. */
  isPolling: boolean;
  /** Time that the clock failed to count since the last read was sent. */
  clockGapMs: Millis;
  /** Whether keyed requests may currently be served. */
  isFresh: boolean;
}

export function createFreshnessState(): FreshnessState {
  return {
    configuration: undefined,
    routeTable: createRouteTable([]),
    cursor: undefined,
    confirmedAt: undefined,
    failures: 0,
    peerConfirmedAt: -Infinity,
    isPolling: false,
    clockGapMs: 0,
    isFresh: false,
  };
}
