/** Describes emulated fleets: their instances and engines, the requests of callers and what is observed. */
import type { Millis } from '../../core/clock.js';
import type { FailureDomainId, RegionId } from '../../core/types.js';
import type { RoutingEventCode } from '../../routing/eventTable.js';
import type {
  ListedUpstream,
  PrefixPart,
  Route,
  RoutingConfiguration,
} from '../../routing/types.js';
import type { EngineModel } from './emulatedEngine.js';

const POOL_ID = 'models';
const MAX_CONNECTIONS = 10_000;

export interface FleetShape {
  readonly engine: EngineModel;
  /** Failure domains, each in its own region, with the numbers of instances and engines. */
  readonly domains: readonly {
    readonly id: FailureDomainId;
    readonly instances: number;
    readonly engines: number;
  }[];
  /** One-way network delay between regions, and within a region. */
  readonly crossRegionMs: Millis;
  readonly withinRegionMs: Millis;
  /** One-way network delay between a caller and its instance. */
  readonly callerMs: Millis;
  readonly routes: readonly Route[];
  readonly customers: number;
}

/** A request of a caller. */
export interface OfferedRequest {
  readonly at: Millis;
  readonly domain: FailureDomainId;
  /** Instance of the domain that the caller reaches, by its number; chosen by a hash if it is absent. */
  readonly instance?: number;
  readonly customer: number;
  readonly route: Route;
  readonly parts: readonly PrefixPart[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly deadlineMs: Millis;
  /** Number of times that the caller retries after a rejection. */
  readonly maxRetries: number;
}

/** What happened to a request, as an observer outside the fleet sees it. */
export type FleetObservation =
  /** The request was sent to an engine that was running. */
  | {
      readonly kind: 'reachedEngine';
      readonly at: Millis;
      readonly offered: OfferedRequest;
      readonly engine: string;
    }
  /** An answer of an engine that states a limit reached an instance. */
  | { readonly kind: 'limitStated'; readonly at: Millis; readonly engine: string }
  | { readonly kind: 'engineCrashed'; readonly at: Millis; readonly engine: string }
  /** The first token of the answer to the caller's first or repeated call. */
  | { readonly kind: 'begun'; readonly at: Millis; readonly offered: OfferedRequest }
  | {
      readonly kind: 'refused';
      readonly at: Millis;
      readonly offered: OfferedRequest;
      readonly reason: RoutingEventCode;
    };

/** Returns the region of a failure domain; each has its own. */
export const regionOf = (domain: FailureDomainId): RegionId => `region-of-${domain}`;

/** Returns the key of a customer. */
export const keyOf = (customer: number): string => `key-${customer}`;

/** Creates the list entry of an engine as it first starts. */
export function createListedEngine(
  domain: FailureDomainId,
  index: number,
  model: EngineModel,
): ListedUpstream {
  const id = `${domain}-engine-${index}`;
  const { slots } = model;
  return {
    id,
    pool: POOL_ID,
    address: id,
    domain,
    slots,
    version: 'v1',
    phase: 'ready',
    startedAt: 1,
    beat: 1,
  };
}

/** Creates the operators' configuration: one pool, and one key for each customer. */
export function createConfiguration(shape: FleetShape): RoutingConfiguration {
  const customers = Array.from({ length: shape.customers }, (_, i) => i);
  return {
    version: 1,
    routes: shape.routes,
    pools: new Map([
      [
        POOL_ID,
        {
          id: POOL_ID,
          maxConnections: MAX_CONNECTIONS,
          memoryTokens: shape.engine.memoryTokens,
        },
      ],
    ]),
    hasCustomers: true,
    customersByKey: new Map(customers.map((i) => [keyOf(i), `customer-${i}`])),
    callerLimits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}
