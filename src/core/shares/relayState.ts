/** State of a relay of service sums: the sums of the customers of its groups, by origin. */
import type { Millis } from '../clock.js';
import type { CustomerNumber, FailureDomainId, InstanceId, PoolNumber } from '../types.js';

/** One customer in one account, as the relay of its group knows it. */
export interface RelayEntry {
  /** Service in the own domain by origins that are gone, or learned from other relays. */
  folded: number;
  /** Sum over `byOrigin`. */
  live: number;
  /** Largest sum of each live origin of the own domain. */
  readonly byOrigin: Map<InstanceId, number>;
  /** Largest sum of each other domain. */
  readonly byDomain: Map<FailureDomainId, number>;
  lift: number;
  /** Origins and domains where the customer waits, with the time until which that holds. */
  readonly waitingAt: Map<string, Millis>;
  wasWaiting: boolean;
  /** Whether members of the own domain, or relays of others, lack the latest sums. */
  isNewBelow: boolean;
  isNewAbroad: boolean;
}

/** One origin of the own domain. */
export interface Origin {
  incarnation: number;
  heardAt: Millis;
  /** Latest sequence, by account. */
  readonly sequences: Map<PoolNumber, number>;
  /** Customers that waited at the origin by its last message, by account. */
  readonly waiting: Map<PoolNumber, ReadonlySet<CustomerNumber>>;
}

export interface RelayState {
  readonly entries: Map<PoolNumber, Map<CustomerNumber, RelayEntry>>;
  readonly origins: Map<InstanceId, Origin>;
  /** Last incarnation of origins whose sums were folded, with the time of folding. */
  readonly retired: Map<InstanceId, { readonly incarnation: number; readonly at: Millis }>;
  /** Weights with which customers last waited, by account. */
  readonly weights: Map<PoolNumber, Map<CustomerNumber, number>>;
  /** Groups that this instance relays, with the time since which it does. */
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

/** Returns the service of the whole fleet, as the relay knows it. */
export function sumOf(entry: RelayEntry): number {
  let sum = entry.folded + entry.live;
  entry.byDomain.forEach((ofDomain) => {
    sum += ofDomain;
  });
  return sum;
}
