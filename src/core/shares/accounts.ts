/** Access to the accounts of service. */
import type { Millis } from '../clock.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, PoolId, PoolNumber } from '../types.js';
import { FLEET_ACCOUNT, type Account } from './sharesState.js';

const INITIAL_CAPACITY = 64;

/** Returns the account that a pool's service counts in. */
export function accountOf(state: CoreState, pool: PoolId): Account | undefined {
  const { view } = state.configuration;
  const config = view?.pools.get(pool);
  if (view === undefined || config === undefined) return undefined;
  return accountByNumber(state, view.fairness.scope === 'fleet' ? FLEET_ACCOUNT : config.number);
}

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

/** Makes room for a customer number. */
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

/** Returns the customer's weight in the account; over all pools, that of the first pool. */
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

/** Returns the customer's virtual service as this instance knows it, reservations included. */
export function virtualIn(state: CoreState, account: Account, customer: CustomerNumber): number {
  const weight = weightIn(state, account, customer);
  return settledIn(state, account, customer) + (account.reserved[customer] ?? 0) / weight;
}

/** Returns the customer's virtual service without reservations. */
export function settledIn(state: CoreState, account: Account, customer: CustomerNumber): number {
  const weight = weightIn(state, account, customer);
  const pending = (account.own[customer] ?? 0) - (account.acknowledged[customer] ?? 0);
  const service = (account.fleet[customer] ?? 0) + Math.max(0, pending);
  return service / weight + (account.lift[customer] ?? 0);
}

/** Whether reservations count in a comparison of customers. */
export type ServiceView = 'settled' | 'reserved';

/**
 * Returns a function that reads virtual service as `settledIn` or `virtualIn` do, for walks over many
 * customers. It holds for as long as the account is not written to.
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
      const read = isSettled ? settledIn : virtualIn;
      return read(state, account, customer);
    }
    const pending = (own[customer] as number) - (acknowledged[customer] as number);
    let service = (fleet[customer] as number) + (pending > 0 ? pending : 0);
    if (!isSettled) service += reserved[customer] as number;
    return service / known + (lift[customer] as number);
  };
}

/** Notes that a customer waits somewhere until a time. */
export function noteWaiting(account: Account, customer: CustomerNumber, until: Millis): void {
  ensureCapacity(account, customer);
  account.waitingUntil[customer] = Math.max(account.waitingUntil[customer] ?? 0, until);
  account.active.add(customer);
}

/** Calls `action` for each customer believed to wait somewhere. */
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

/** Returns the least virtual service among the customers believed to wait somewhere. */
export function leastWaiting(state: CoreState, account: Account, now: Millis): number {
  let least = Infinity;
  const read = serviceReader(state, account, 'settled');
  forEachWaiting(account, now, (customer) => {
    const service = read(customer);
    if (service < least) least = service;
  });
  return least;
}
