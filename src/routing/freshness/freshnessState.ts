/** The active configuration, and the time as of which it is confirmed to be the newest. */
import { createRouteTable, type RouteTable } from '../routes/routeTable.js';
import type { RoutingConfiguration } from '../types.js';
import { createSharedReadState, type SharedReadState } from './sharedRead.js';

export interface FreshnessState extends SharedReadState {
  configuration: RoutingConfiguration | undefined;
  routeTable: RouteTable;
  /** Whether keyed requests may currently be served. */
  isFresh: boolean;
}

export function createFreshnessState(): FreshnessState {
  return {
    ...createSharedReadState(),
    configuration: undefined,
    routeTable: createRouteTable([]),
    isFresh: false,
  };
}
