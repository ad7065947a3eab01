/** The configuration in force and since when it is known to be the newest. */
import type { Millis } from '../../core/clock.js';
import { createRouteTable, type RouteTable } from '../routes/routeTable.js';
import type { Cursor, RoutingConfiguration } from '../types.js';

export interface FreshnessState {
  configuration: RoutingConfiguration | undefined;
  routeTable: RouteTable;
  cursor: Cursor | undefined;
  /** Start of the last read that the platform answered soundly. */
  confirmedAt: Millis | undefined;
  /** Reads in a row that failed. */
  failures: number;
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
