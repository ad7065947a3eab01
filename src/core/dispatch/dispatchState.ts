/**
 * State of dispatch. Entry side: the queues of requests that wait here, what each owner was told of
 * them, and the grants that are held. Owner side: the waiting counts that entries announced, the
 * slots of the owned upstreams and what is believed of their caches.
 */
import type { Millis } from '../clock.js';
import type {
  AttemptId,
  CustomerNumber,
  GrantFacts,
  GrantId,
  InstanceId,
  PoolId,
  RequestId,
  UpstreamConfig,
  UpstreamId,
  UpstreamReport,
} from '../types.js';

/** How many requests of one customer wait at one entry, as announced. */
export interface WaitingCount {
  readonly entry: InstanceId;
  count: number;
  /** Sequence of the announcement that the count comes from; 0 for an offer by a relay. */
  sequence: number;
  /** Hashes of the next request's prefix blocks, the longest prefix last. */
  heads: readonly number[];
  /** Time since which the entry's longest waiting request waits. */
  waitingSince: Millis;
  /** Time at which an offer by a relay lapses; announcements do not. */
  expiresAt: Millis;
}

/** Waiting work of one pool: by customer, then by entry, the least recently served first. */
export type PoolDemand = Map<CustomerNumber, Map<InstanceId, WaitingCount>>;

export type GrantPhase = 'held' | 'suspending' | 'suspended';

export interface IssuedGrant {
  readonly grantId: GrantId;
  readonly entry: InstanceId;
  readonly pool: PoolId;
  readonly customer: CustomerNumber;
  readonly upstream: UpstreamId;
  readonly issuedAt: Millis;
  /** Time at which the slot counts as free again unless the entry reports it held. */
  expiresAt: Millis;
  phase: GrantPhase;
  phaseSince: Millis;
  canSuspend: boolean;
  /** Service that is expected of the grant and not in the sums yet, in cost units. */
  reserved: number;
}

/** The slots of one owned upstream. */
export interface Slots {
  /** Grants in use, without suspended ones. */
  inUse: number;
  suspended: number;
  /** Largest number of slots to use at present; adapts to the reported load. */
  limit: number;
  /** `inUse` when the last load report was asked for. */
  inUseAtPoll: number;
  /** Requests of others at the upstream by its last report. */
  foreignReported: number;
  /** Attempts under grants of earlier owners, by entry. */
  readonly foreignHeld: Map<InstanceId, { readonly count: number; readonly until: Millis }>;
  /** Whether the load was asked for, and was reported, since the upstream is owned. */
  isPolled: boolean;
  hasReport: boolean;
  /** Reads of the load in a row that got no answer. */
  failedPolls: number;
  /** Smoothed token rate of the upstream. */
  tokenRate: number;
  reportedRunning: number;
  slowReports: number;
  lastUsedAt: Millis;
}

/** What is believed of an upstream's cache. */
export interface CacheBelief {
  epoch: string;
  next: number;
  /** Block hashes in the order of their last storing. */
  readonly blocks: Set<number>;
}

/** A standing request of an owner, or of another domain's relay, for waiting work. */
export interface DemandSubscription {
  slots: number;
  minWaitedMs: Millis;
  /** Virtual service of wanted customers is less; Infinity for any. */
  below: number;
  until: Millis;
}

/** An attempt of this entry that was suspended on request of an owner. */
export interface SuspendedAttempt {
  readonly attemptId: AttemptId;
  readonly upstream: UpstreamId;
  readonly since: Millis;
}

/** Owner and number of a grant: numbers of two owners may be equal. */
export type GrantKey = string;

/** A grant in use at this entry. */
export interface HeldGrant {
  readonly customer: CustomerNumber;
  /** Incarnation of the owner that issued it. */
  readonly incarnation: number;
}

/** Grants of one owner that were seen, against repeated delivery. */
export interface SeenGrants {
  incarnation: number;
  readonly ids: Set<GrantId>;
}

export interface DispatchState {
  /** Entry side: waiting requests in order of arrival. */
  readonly queues: Map<PoolId, Map<CustomerNumber, RequestId[]>>;
  /** Pools all of whose waiting work has to be looked at. */
  readonly changedPools: Set<PoolId>;
  /** Customers in other pools whose waiting work has to be looked at. */
  readonly changedCustomers: Map<PoolId, Set<CustomerNumber>>;
  /** Customers whose changes were offered here and not yet announced elsewhere. */
  readonly unannounced: Map<PoolId, Set<CustomerNumber>>;
  /** Counts that a target still believes, by pool, target and customer. */
  readonly announced: Map<PoolId, Map<InstanceId, Map<CustomerNumber, number>>>;
  readonly seenGrants: Map<InstanceId, SeenGrants>;
  /** Grants in use here. */
  readonly heldGrants: Map<GrantKey, HeldGrant>;
  readonly suspendedAttempts: Map<GrantKey, SuspendedAttempt>;
  sequence: number;
  /** Time of the announce timer, or Infinity. */
  announceAt: Millis;
  /** Turn of the last readings of load, where the owned upstreams are read in turn. */
  pollTurn: number;
  /** When a stream to suspend was last looked for, by pool. */
  readonly relievedAt: Map<PoolId, Millis>;
  /** Pools in which that was put off. */
  readonly relievePools: Set<PoolId>;
  /** Earliest time of the next announcement to other instances. */
  remoteAnnounceAt: Millis;
  holdReportAt: Millis;
  holdReports: number;

  /** Owner side. */
  readonly demand: Map<PoolId, PoolDemand>;
  readonly issued: Map<GrantId, IssuedGrant>;
  /** Pairs of waiting work and upstream whose grant came back, with the time until which to skip. */
  readonly returned: Map<string, Millis>;
  readonly slots: Map<UpstreamId, Slots>;
  readonly reports: Map<UpstreamId, UpstreamReport>;
  readonly caches: Map<UpstreamId, CacheBelief>;
  /** Owned upstreams by pool, computed from `ownedSource`. */
  ownedByPool: ReadonlyMap<PoolId, readonly UpstreamConfig[]>;
  ownedSource: readonly UpstreamConfig[];
  nextGrant: number;
  /** Grants in a row to requests of this instance while others had waiting work. */
  localStreak: number;

  /** Relay side: standing requests by pool and subscriber. */
  readonly subscriptions: Map<PoolId, Map<InstanceId, DemandSubscription>>;
  /** Time of the next look at own work that was offered to others and not taken. */
  ownOffersAt: Millis;
  /** Pools for which this instance has asked relays, with the time of the last request. */
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

export function grantKey(grant: Pick<GrantFacts, 'owner' | 'grantId'>): GrantKey {
  return `${grant.owner} ${grant.grantId}`;
}
