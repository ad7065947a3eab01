/** The configuration in force and since when it is known to be the newest. */
import type { Millis } from '../../core/clock.js';
import type { PollState } from '../polls.js';
import { createRouteTable, type RouteTable } from '../routes/routeTable.js';
import type { RoutingConfiguration } from '../types.js';

export interface FreshnessState extends PollState {
  configuration: RoutingConfiguration | undefined;
  routeTable: RouteTable;
  /** Start of the last read that the platform answered soundly. */
  confirmedAt: Millis | undefined;
  /** Whether keyed requests may be served at present. */
  isFresh: boolean;
}

export function createFreshnessState(): FreshnessState {
  return {
    configuration: undefined,
    routeTable: createRouteTable([]),
    cursor: undefined,
    confirmedAt: undefined,
    failures: 0,
    isFresh: false,
  };
}
