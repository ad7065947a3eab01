/**
 * State of shares. An account holds the service of all customers in one scope: a single pool or, if
 * so configured, all pools. Per-customer values are stored in typed arrays indexed by customer
 * number. Amounts are in cost units, virtual amounts in cost units per weight.
 */
import type { Millis } from '../clock.js';
import type { AttemptId, CustomerNumber, InstanceId, PoolNumber } from '../types.js';
import { createRelayState, type RelayState } from './relayState.js';

/** Number of the account that covers all pools. */
export const FLEET_ACCOUNT = 0;

export interface Account {
  /** Pool number, or `FLEET_ACCOUNT`. */
  readonly number: PoolNumber;
  capacity: number;
  /** Service charged at this instance. */
  own: Float64Array;
  /** Part of `own` that is included in `fleet`. */
  acknowledged: Float64Array;
  /** Largest fleet-wide sum received. */
  fleet: Float64Array;
  /** Virtual amount added by lifts, for example on a return from idle. */
  lift: Float64Array;
  /** Expected service of grants and attempts that has not been charged yet. */
  reserved: Float64Array;
  /** Time until which the customer is considered to have waiting work somewhere in the fleet. */
  waitingUntil: Float64Array;
  /** Cached weights; 0 if not cached. */
  weight: Float64Array;
  /** Configuration version of the cached weights. */
  weightVersion: number;
  /** Customers whose `own` may exceed `acknowledged`. */
  readonly unsent: Set<CustomerNumber>;
  /** Customers that wait, or recently waited, somewhere in the fleet. */
  readonly active: Set<CustomerNumber>;
}

/** The sums last sent to a relay, to be matched with its acknowledgement. */
export interface SentSums {
  readonly sequence: number;
  readonly customers: readonly CustomerNumber[];
  readonly sums: readonly number[];
}

export interface SharesState {
  readonly accounts: Map<PoolNumber, Account>;
  /** Sums last sent, by relay and account. */
  readonly sent: Map<InstanceId, Map<PoolNumber, SentSums>>;
  readonly relay: RelayState;
  /** Time up to which slot time has been charged, by attempt at a plain service. */
  readonly slotTimeUntil: Map<AttemptId, Millis>;
  sequence: number;
  /** Number of exchange timer events so far; an exchange consists of two. */
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
