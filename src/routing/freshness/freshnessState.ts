/** The configuration in force and since when it is known to be the newest. */
import type { Millis } from '../../core/clock.js';
import type { PollState } from '../polls.js';
import { createRouteTable, type RouteTable } from '../routes/routeTable.js';
import type { RoutingConfiguration } from '../types.js';

export interface FreshnessState extends PollState {
  configuration: RoutingConfiguration | undefined;
  routeTable: RouteTable;
  /** Start of the last read that the platform answered soundly, here or at a neighbour. */
  confirmedAt: Millis | undefined;
  /** Time at which a neighbour last told of a confirmation. */
  followedAt: Millis;
  /** Whether a read of the platform is in progress. */
  isReading: boolean;
  /** Time that the clock did not count since the last read was sent. */
  uncountedMs: Millis;
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
    followedAt: -Infinity,
    isReading: false,
    uncountedMs: 0,
    isFresh: false,
  };
}
