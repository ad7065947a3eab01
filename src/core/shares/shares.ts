/**
 * Fair sharing by weighted virtual token counters (Sheng et al., "Fairness in Serving Large
 * Language Models", OSDI 2024). A customer's virtual service is its service divided by its weight;
 * the waiting customer with the least virtual service is served next. Service is charged while
 * requests run and is exchanged within the fleet (`exchange.ts`, `relay.ts`).
 */
import type { Millis } from '../clock.js';
import type { CoreContext } from '../context.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, PoolId } from '../types.js';
import {
  accountOf,
  ensureCapacity,
  forEachWaiting,
  serviceReader,
  virtualServiceIn,
} from './accounts.js';

/** Adds service, in cost units, that a customer received at this instance. */
export function charge(
  ctx: CoreContext,
  customer: CustomerNumber,
  pool: PoolId,
  cost: number,
): void {
  const account = accountOf(ctx.state, pool);
  if (account === undefined || !(cost > 0)) return;
  ensureCapacity(account, customer);
  account.own[customer] = (account.own[customer] ?? 0) + cost;
  account.unsent.add(customer);
}

/**
 * Adjusts the service reserved for a customer's grants. A grant never reserves more than one charge
 * step, so that cost hints cannot affect the fairness bound.
 */
export function reserve(
  state: CoreState,
  customer: CustomerNumber,
  pool: PoolId,
  change: number,
): void {
  const account = accountOf(state, pool);
  if (account === undefined) return;
  ensureCapacity(account, customer);
  account.reserved[customer] = Math.max(0, (account.reserved[customer] ?? 0) + change);
}

/** Returns a customer's virtual service in a pool, in cost units per weight. */
export function virtualService(state: CoreState, customer: CustomerNumber, pool: PoolId): number {
  const account = accountOf(state, pool);
  return account === undefined ? 0 : virtualServiceIn(state, account, customer);
}

/** Returns the customer with the least virtual service. */
export function leastServed(
  state: CoreState,
  customers: Iterable<CustomerNumber>,
  pool: PoolId,
): CustomerNumber | undefined {
  const account = accountOf(state, pool);
  if (account === undefined) return undefined;
  const serviceOf = serviceReader(state, account, 'reserved');
  let best: CustomerNumber | undefined;
  let least = Infinity;
  for (const customer of customers) {
    const service = serviceOf(customer);
    if (service < least) {
      best = customer;
      least = service;
    }
  }
  return best;
}

/**
 * Returns the virtual service below which a waiting customer lags: the mean over the customers
 * known to wait in the fleet, minus two standard deviations.
 */
export function lagThresholdOf(state: CoreState, pool: PoolId, now: Millis): number {
  const account = accountOf(state, pool);
  if (account === undefined) return 0;
  let sum = 0;
  let squares = 0;
  let customers = 0;
  forEachWaiting(account, now, (customer) => {
    const service = virtualServiceIn(state, account, customer);
    sum += service;
    squares += service * service;
    customers += 1;
  });
  if (customers === 0) return 0;
  const mean = sum / customers;
  return mean - 2 * Math.sqrt(Math.max(0, squares / customers - mean * mean));
}
