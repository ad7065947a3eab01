/**
 * Shares: weighted virtual token counters (Sheng et al., "Fairness in Serving Large Language
 * Models", OSDI 2024). A customer's virtual service is its service divided by its weight; the
 * waiting customer with the least is served next.
 */
import type { CoreContext } from '../context.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, PoolId } from '../types.js';

/** Adds service, in cost units, that a customer received at this instance. */
export function charge(
  ctx: CoreContext,
  customer: CustomerNumber,
  pool: PoolId,
  cost: number,
): void {
  const { charged } = ctx.state.shares;
  const ofPool = charged.get(pool) ?? new Map<CustomerNumber, number>();
  charged.set(pool, ofPool);
  ofPool.set(customer, (ofPool.get(customer) ?? 0) + cost);
}

/** Returns a customer's virtual service in a pool: cost units per weight. */
export function virtualService(state: CoreState, customer: CustomerNumber, pool: PoolId): number {
  const weight = state.configuration.view?.weightOf(customer, pool) ?? 1;
  return (state.shares.charged.get(pool)?.get(customer) ?? 0) / weight;
}

/** Returns the customer with the least virtual service. */
export function leastServed(
  state: CoreState,
  customers: Iterable<CustomerNumber>,
  pool: PoolId,
): CustomerNumber | undefined {
  let best: CustomerNumber | undefined;
  let least = Infinity;
  for (const customer of customers) {
    const service = virtualService(state, customer, pool);
    if (service < least) {
      best = customer;
      least = service;
    }
  }
  return best;
}
