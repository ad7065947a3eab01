/** The active configuration, and the time as of which it is confirmed to be the newest. */
import type { Millis } from '../../core/clock.js';
import { createRouteTable, type RouteTable } from '../routes/routeTable.js';
import type { Era, RoutingConfiguration } from '../types.js';
import { createSharedReadState, type SharedReadState } from './sharedRead.js';

export interface FreshnessState extends SharedReadState {
  configuration: RoutingConfiguration | undefined;
  /** Era of the platform in which the configuration was read. */
  activatedIn: Era | undefined;
  routeTable: RouteTable;
  /** Version that the platform has, as last read. */
  storedVersion: number | undefined;
  /** Newest version that a peer has told of, and when it first did. */
  heardVersion: { readonly version: number; readonly at: Millis } | undefined;
  /**
   * Time at which a peer first told of a version that is newer than the one in force, until a read of the
   * platform settles which one is the newest.
   */
  behindSince: Millis | undefined;
  /** Time at which the platform was found to have come back from an earlier copy of itself. */
  restoredAt: Millis | undefined;
  /** Whether keyed requests may currently be served. */
  isFresh: boolean;
}

export function createFreshnessState(): FreshnessState {
  return {
    ...createSharedReadState(),
    configuration: undefined,
    activatedIn: undefined,
    routeTable: createRouteTable([]),
    storedVersion: undefined,
    heardVersion: undefined,
    behindSince: undefined,
    restoredAt: undefined,
    isFresh: false,
  };
}
