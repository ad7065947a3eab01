/** State of a relay: the service sums of the customers of its groups, by origin. */
import type { Millis } from '../clock.js';
import type { CustomerNumber, FailureDomainId, InstanceId, PoolNumber } from '../types.js';

/** Sums of one customer in one account, as known to the relay. */
export interface RelayEntry {
  /** Service in the own domain that was reported by ended origins or learned from other relays. */
  folded: number;
  /** Total of `byOrigin`. */
  live: number;
  /** Largest sum reported by each live origin of the own domain. */
  readonly byOrigin: Map<InstanceId, number>;
  /** Largest sum reported for each other domain. */
  readonly byDomain: Map<FailureDomainId, number>;
  lift: number;
  /** Origins and other domains at which the customer waits, with the expiry of this information. */
  readonly waitingAt: Map<string, Millis>;
  /** Whether the customer waited anywhere at the previous relay round. */
  wasWaiting: boolean;
  /** Whether the latest sums must still be sent to the instances of the own domain. */
  isNewBelow: boolean;
  /** Whether the latest sums must still be sent to the relays of other domains. */
  isNewAbroad: boolean;
}

/** An instance of the own domain that reports service sums. */
export interface Origin {
  incarnation: number;
  heardAt: Millis;
  /** Latest sequence number received, by account. */
  readonly sequences: Map<PoolNumber, number>;
  /** Customers that waited at the origin according to its last message, by account. */
  readonly waiting: Map<PoolNumber, ReadonlySet<CustomerNumber>>;
}

export interface RelayState {
  readonly entries: Map<PoolNumber, Map<CustomerNumber, RelayEntry>>;
  readonly origins: Map<InstanceId, Origin>;
  /** Last folded incarnation of each origin, with the time of folding. */
  readonly retired: Map<InstanceId, { readonly incarnation: number; readonly at: Millis }>;
  /** Weight of each customer when it last waited, by account. */
  readonly weights: Map<PoolNumber, Map<CustomerNumber, number>>;
  /** Groups that this instance relays, with the time at which it started to. */
  readonly groups: Map<number, Millis>;
}

export function createRelayState(): RelayState {
  return {
    entries: new Map(),
    origins: new Map(),
    retired: new Map(),
    weights: new Map(),
    groups: new Map(),
  };
}

export function createRelayEntry(): RelayEntry {
  return {
    folded: 0,
    live: 0,
    byOrigin: new Map(),
    byDomain: new Map(),
    lift: 0,
    waitingAt: new Map(),
    wasWaiting: false,
    isNewBelow: true,
    isNewAbroad: true,
  };
}

/** Returns the customer's fleet-wide service, as known to the relay. */
export function fleetSumOf(entry: RelayEntry): number {
  let sum = entry.folded + entry.live;
  entry.byDomain.forEach((ofDomain) => {
    sum += ofDomain;
  });
  return sum;
}
