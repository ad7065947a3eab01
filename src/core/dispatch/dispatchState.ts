/**
 * State of dispatch. Entry side: the queues of requests waiting at this instance, the counts
 * announced to each owner, and the held grants. Owner side: the waiting counts announced by
 * entries, the slots of the owned upstreams and the estimated contents of their caches.
 */
import type { Millis } from '../clock.js';
import type {
  AttemptId,
  CustomerNumber,
  SlotGrant,
  GrantId,
  InstanceId,
  PoolId,
  RequestId,
  UpstreamConfig,
  UpstreamId,
  UpstreamReport,
} from '../types.js';

/** Announced number of requests of one customer that wait at one entry. */
export interface WaitingCount {
  readonly entry: InstanceId;
  count: number;
  /** Sequence number of the announcement that carried the count; 0 for an offer by a relay. */
  sequence: number;
  /** Hashes of the next request's prefix blocks, the longest prefix last. */
  heads: readonly number[];
  /** Time at which the entry's longest-waiting request began to wait. */
  waitingSince: Millis;
  /** Time at which an offer by a relay expires; Infinity for announcements, which do not expire. */
  expiresAt: Millis;
}

/** Waiting work of one pool by customer, then by entry in least-recently-served order. */
export type PoolDemand = Map<CustomerNumber, Map<InstanceId, WaitingCount>>;

export type GrantPhase = 'held' | 'suspending' | 'suspended';

export interface IssuedGrant {
  readonly grantId: GrantId;
  readonly entry: InstanceId;
  readonly pool: PoolId;
  readonly customer: CustomerNumber;
  readonly upstream: UpstreamId;
  readonly issuedAt: Millis;
  /** Time at which the slot is considered free again unless the entry reports the grant as held. */
  expiresAt: Millis;
  phase: GrantPhase;
  phaseSince: Millis;
  canSuspend: boolean;
  /** Expected service of the grant, in cost units, while the service sums do not include it. */
  reserved: number;
}

/** The slots of one owned upstream. */
export interface Slots {
  /** Number of grants in use, excluding suspended ones. */
  inUse: number;
  suspended: number;
  /** Current limit on the slots in use; adapts to the reported load. */
  limit: number;
  /** `inUse` at the time of the last load poll. */
  inUseAtPoll: number;
  /** Requests of other owners at the upstream according to its last report. */
  foreignReported: number;
  /** Attempts that run under grants of earlier owners, by entry. */
  readonly foreignHeld: Map<InstanceId, { readonly count: number; readonly until: Millis }>;
  /** Whether the load has been polled since this instance became the owner. */
  isPolled: boolean;
  /** Whether the load has been reported since this instance became the owner. */
  hasReport: boolean;
  /** Number of consecutive load polls that failed. */
  failedPolls: number;
  /** Smoothed token rate of the upstream. */
  tokenRate: number;
  reportedRunning: number;
  slowReports: number;
  lastUsedAt: Millis;
}

/** Estimated contents of an upstream's prefix cache. */
export interface CacheEstimate {
  epoch: string;
  next: number;
  /** Block hashes, the least recently stored first. */
  readonly blocks: Set<number>;
}

/** Subscription of an owner, or of another domain's relay, to waiting work. */
export interface DemandSubscription {
  slots: number;
  minWaitedMs: Millis;
  /** Exclusive upper bound on the virtual service of the requested customers; Infinity for any. */
  below: number;
  until: Millis;
}

/** An attempt of this entry that was suspended at the request of an owner. */
export interface SuspendedAttempt {
  readonly attemptId: AttemptId;
  readonly upstream: UpstreamId;
  readonly since: Millis;
}

/** Owner and id of a grant; ids are unique only per owner. */
export type GrantKey = string;

/** A grant in use at this entry. */
export interface HeldGrant {
  readonly customer: CustomerNumber;
  /** Incarnation of the owner that issued it. */
  readonly incarnation: number;
}

/** Ids of the grants received from one owner, used to detect duplicate delivery. */
export interface SeenGrants {
  incarnation: number;
  readonly ids: Set<GrantId>;
}

export interface DispatchState {
  /** Entry side: ids of waiting requests by pool and customer, in order of arrival. */
  readonly queues: Map<PoolId, Map<CustomerNumber, RequestId[]>>;
  /** Pools whose waiting work must be re-evaluated for all customers. */
  readonly changedPools: Set<PoolId>;
  /** Customers, by pool, whose waiting work must be re-evaluated. */
  readonly changedCustomers: Map<PoolId, Set<CustomerNumber>>;
  /** Customers whose changes were offered locally but not yet announced to other instances. */
  readonly unannounced: Map<PoolId, Set<CustomerNumber>>;
  /** Counts last announced, by pool, target and customer. */
  readonly announced: Map<PoolId, Map<InstanceId, Map<CustomerNumber, number>>>;
  readonly seenGrants: Map<InstanceId, SeenGrants>;
  /** Grants in use at this entry. */
  readonly heldGrants: Map<GrantKey, HeldGrant>;
  readonly suspendedAttempts: Map<GrantKey, SuspendedAttempt>;
  sequence: number;
  /** Time at which the announce timer fires, or Infinity if it is not set. */
  announceAt: Millis;
  /** Index of the group of owned upstreams that was polled last. */
  pollTurn: number;
  /** Time of the last attempt to suspend a stream, by pool. */
  readonly relievedAt: Map<PoolId, Millis>;
  /** Pools in which an attempt to suspend a stream was deferred by rate limiting. */
  readonly relievePools: Set<PoolId>;
  /** Earliest time of the next announcement to other instances. */
  remoteAnnounceAt: Millis;
  holdReportAt: Millis;
  holdReports: number;

  /** Owner side: waiting work by pool. */
  readonly demand: Map<PoolId, PoolDemand>;
  readonly issued: Map<GrantId, IssuedGrant>;
  /** Pairs of waiting work and upstream with a returned grant, with the end of the backoff. */
  readonly returned: Map<string, Millis>;
  readonly slots: Map<UpstreamId, Slots>;
  readonly reports: Map<UpstreamId, UpstreamReport>;
  readonly caches: Map<UpstreamId, CacheEstimate>;
  /** Owned upstreams by pool, computed from `ownedSource`. */
  ownedByPool: ReadonlyMap<PoolId, readonly UpstreamConfig[]>;
  ownedSource: readonly UpstreamConfig[];
  nextGrant: number;
  /** Consecutive grants to local requests while other instances had waiting work. */
  localStreak: number;

  /** Relay side: subscriptions by pool and subscriber. */
  readonly subscriptions: Map<PoolId, Map<InstanceId, DemandSubscription>>;
  /** Time at which local work that was offered to others but not taken is next re-evaluated. */
  ownOffersAt: Millis;
  /** Time of the last request to relays, by pool. */
  readonly pulledAt: Map<PoolId, Millis>;
}

export function createDispatchState(firstGrant: GrantId): DispatchState {
  return {
    queues: new Map(),
    changedPools: new Set(),
    changedCustomers: new Map(),
    unannounced: new Map(),
    announced: new Map(),
    seenGrants: new Map(),
    heldGrants: new Map(),
    suspendedAttempts: new Map(),
    sequence: 0,
    pollTurn: 0,
    relievedAt: new Map(),
    relievePools: new Set(),
    announceAt: Infinity,
    remoteAnnounceAt: 0,
    holdReportAt: 0,
    holdReports: 0,
    demand: new Map(),
    issued: new Map(),
    returned: new Map(),
    slots: new Map(),
    reports: new Map(),
    caches: new Map(),
    ownedByPool: new Map(),
    ownedSource: [],
    nextGrant: firstGrant,
    localStreak: 0,
    subscriptions: new Map(),
    ownOffersAt: 0,
    pulledAt: new Map(),
  };
}

export function grantKey(grant: Pick<SlotGrant, 'owner' | 'grantId'>): GrantKey {
  return `${grant.owner} ${grant.grantId}`;
}
