/**
 * State of shares. An account holds the service of all customers in one scope: a pool, or all pools
 * where the configuration says so. Per-customer numbers live in typed arrays indexed by customer
 * number; amounts are cost units, virtual amounts are cost units per weight.
 */
import type { Millis } from '../clock.js';
import type { AttemptId, CustomerNumber, InstanceId, PoolNumber } from '../types.js';
import { createRelayState, type RelayState } from './relayState.js';

/** Number of the account of all pools. */
export const FLEET_ACCOUNT = 0;

export interface Account {
  /** Pool number, or `FLEET_ACCOUNT`. */
  readonly number: PoolNumber;
  capacity: number;
  /** Service charged at this instance. */
  own: Float64Array;
  /** Part of `own` that `fleet` includes. */
  acknowledged: Float64Array;
  /** Largest known sum over the fleet. */
  fleet: Float64Array;
  /** Virtual amount added on returns from idle. */
  lift: Float64Array;
  /** Service expected of grants and attempts that has not been charged yet. */
  reserved: Float64Array;
  /** Time until which the customer is believed to have waiting work somewhere. */
  waitingUntil: Float64Array;
  weight: Float64Array;
  weightVersion: number;
  /** Customers whose `own` may exceed `acknowledged`. */
  readonly unsent: Set<CustomerNumber>;
  /** Customers that wait somewhere, or did until lately. */
  readonly active: Set<CustomerNumber>;
}

/** The last sums sent to one relay, until it acknowledges them. */
export interface SentSums {
  readonly sequence: number;
  readonly customers: readonly CustomerNumber[];
  readonly sums: readonly number[];
}

export interface SharesState {
  readonly accounts: Map<PoolNumber, Account>;
  /** By relay, then by account. */
  readonly sent: Map<InstanceId, Map<PoolNumber, SentSums>>;
  readonly relay: RelayState;
  /** Time up to which the slot time of an attempt at a plain service has been charged. */
  readonly slotTimeUntil: Map<AttemptId, Millis>;
  sequence: number;
  /** Half exchanges so far. */
  ticks: number;
}

export function createSharesState(): SharesState {
  return {
    accounts: new Map(),
    sent: new Map(),
    relay: createRelayState(),
    slotTimeUntil: new Map(),
    sequence: 0,
    ticks: 0,
  };
}
