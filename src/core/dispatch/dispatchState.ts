/**
 * State of dispatch. Entry side: the queues of requests that wait here. Owner side: the waiting
 * counts that entries announced and the slots of the upstreams that this instance owns.
 */
import type { Millis } from '../clock.js';
import type {
  CustomerNumber,
  GrantId,
  InstanceId,
  PoolId,
  RequestId,
  UpstreamId,
  UpstreamReport,
} from '../types.js';

export interface IssuedGrant {
  readonly grantId: GrantId;
  readonly entry: InstanceId;
  readonly pool: PoolId;
  readonly customer: CustomerNumber;
  readonly upstream: UpstreamId;
  /** Time at which the slot counts as free again unless the entry reports it running. */
  expiresAt: Millis;
}

export interface DispatchState {
  /** Entry side: waiting requests in order of arrival. */
  readonly queues: Map<PoolId, Map<CustomerNumber, RequestId[]>>;
  readonly changedPools: Set<PoolId>;
  sequence: number;
  /** Owner side: counts by pool, entry and customer. */
  readonly demand: Map<PoolId, Map<InstanceId, Map<CustomerNumber, number>>>;
  readonly issued: Map<GrantId, IssuedGrant>;
  readonly slotsInUse: Map<UpstreamId, number>;
  readonly reports: Map<UpstreamId, UpstreamReport>;
  nextGrant: number;
}

export function createDispatchState(): DispatchState {
  return {
    queues: new Map(),
    changedPools: new Set(),
    sequence: 0,
    demand: new Map(),
    issued: new Map(),
    slotsInUse: new Map(),
    reports: new Map(),
    nextGrant: 1,
  };
}
