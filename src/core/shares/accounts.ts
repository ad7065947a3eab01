/** Lookup and access functions for service accounts. */
import type { Millis } from '../clock.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, PoolId, PoolNumber } from '../types.js';
import { FLEET_ACCOUNT, type Account } from './sharesState.js';

const INITIAL_CAPACITY = 64;

/** Returns the account to which a pool's service is charged. */
export function accountOf(state: CoreState, pool: PoolId): Account | undefined {
  const { view } = state.configuration;
  const config = view?.pools.get(pool);
  if (view === undefined || config === undefined) return undefined;
  return accountByNumber(state, view.fairness.scope === 'fleet' ? FLEET_ACCOUNT : config.number);
}

/** Returns an account by its number, creating it if it does not exist. */
export function accountByNumber(state: CoreState, number: PoolNumber): Account {
  const { accounts } = state.shares;
  const known = accounts.get(number);
  if (known !== undefined) return known;
  const account: Account = {
    number,
    capacity: INITIAL_CAPACITY,
    own: new Float64Array(INITIAL_CAPACITY),
    acknowledged: new Float64Array(INITIAL_CAPACITY),
    fleet: new Float64Array(INITIAL_CAPACITY),
    lift: new Float64Array(INITIAL_CAPACITY),
    reserved: new Float64Array(INITIAL_CAPACITY),
    waitingUntil: new Float64Array(INITIAL_CAPACITY),
    weight: new Float64Array(INITIAL_CAPACITY),
    weightVersion: -1,
    unsent: new Set(),
    active: new Set(),
  };
  accounts.set(number, account);
  return account;
}

/** Grows the account's arrays to include a customer number. */
export function ensureCapacity(account: Account, customer: CustomerNumber): void {
  if (customer < account.capacity) return;
  const capacity = Math.max(customer + 1, account.capacity * 2);
  const grow = (values: Float64Array) => {
    const grown = new Float64Array(capacity);
    grown.set(values);
    return grown;
  };
  account.own = grow(account.own);
  account.acknowledged = grow(account.acknowledged);
  account.fleet = grow(account.fleet);
  account.lift = grow(account.lift);
  account.reserved = grow(account.reserved);
  account.waitingUntil = grow(account.waitingUntil);
  account.weight = grow(account.weight);
  account.capacity = capacity;
}

/** Returns the customer's weight in the account; the fleet-wide account uses the first pool's. */
export function weightIn(state: CoreState, account: Account, customer: CustomerNumber): number {
  const { view } = state.configuration;
  if (view === undefined) return 1;
  ensureCapacity(account, customer);
  if (account.weightVersion !== view.version) {
    account.weight.fill(0);
    account.weightVersion = view.version;
  }
  const known = account.weight[customer] ?? 0;
  if (known > 0) return known;
  const pool = view.poolsByNumber.get(account.number) ?? [...view.pools.values()][0];
  const weight = pool === undefined ? 1 : view.weightOf(customer, pool.id);
  account.weight[customer] = weight;
  return weight;
}

/** Returns the customer's virtual service known to this instance, including reservations. */
export function virtualServiceIn(
  state: CoreState,
  account: Account,
  customer: CustomerNumber,
): number {
  const weight = weightIn(state, account, customer);
  return settledServiceIn(state, account, customer) + (account.reserved[customer] ?? 0) / weight;
}

/** Returns the customer's virtual service known to this instance, excluding reservations. */
export function settledServiceIn(
  state: CoreState,
  account: Account,
  customer: CustomerNumber,
): number {
  const weight = weightIn(state, account, customer);
  const pending = (account.own[customer] ?? 0) - (account.acknowledged[customer] ?? 0);
  const service = (account.fleet[customer] ?? 0) + Math.max(0, pending);
  return service / weight + (account.lift[customer] ?? 0);
}

/** Whether reservations are excluded (`settled`) or included (`reserved`). */
export type ServiceView = 'settled' | 'reserved';

/**
 * Returns a function equivalent to `settledServiceIn` or `virtualServiceIn` that is faster for
 * iterating over many customers. It is valid only until the account is next modified.
 */
export function serviceReader(
  state: CoreState,
  account: Account,
  view: ServiceView,
): (customer: CustomerNumber) => number {
  weightIn(state, account, 0);
  const { capacity, own, acknowledged, fleet, lift, reserved, weight } = account;
  const isSettled = view === 'settled';
  return (customer) => {
    const known = customer < capacity ? (weight[customer] as number) : 0;
    if (known === 0) {
      const read = isSettled ? settledServiceIn : virtualServiceIn;
      return read(state, account, customer);
    }
    const pending = (own[customer] as number) - (acknowledged[customer] as number);
    let service = (fleet[customer] as number) + (pending > 0 ? pending : 0);
    if (!isSettled) service += reserved[customer] as number;
    return service / known + (lift[customer] as number);
  };
}

/** Marks a customer as waiting somewhere in the fleet until the given time. */
export function markWaiting(account: Account, customer: CustomerNumber, until: Millis): void {
  ensureCapacity(account, customer);
  account.waitingUntil[customer] = Math.max(account.waitingUntil[customer] ?? 0, until);
  account.active.add(customer);
}

/** Calls `action` for each customer known to wait somewhere in the fleet. */
export function forEachWaiting(
  account: Account,
  now: Millis,
  action: (customer: CustomerNumber) => void,
): void {
  account.active.forEach((customer) => {
    if ((account.waitingUntil[customer] ?? 0) > now) action(customer);
    else account.active.delete(customer);
  });
}

/** Returns the least virtual service among the customers known to wait somewhere in the fleet. */
export function leastWaitingService(state: CoreState, account: Account, now: Millis): number {
  let least = Infinity;
  const serviceOf = serviceReader(state, account, 'settled');
  forEachWaiting(account, now, (customer) => {
    const service = serviceOf(customer);
    if (service < least) least = service;
  });
  return least;
}
