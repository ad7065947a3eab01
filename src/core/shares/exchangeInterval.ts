/**
 * The interval at which sums of service are exchanged. It grows with the customers whose sums there
 * are to send, so that the bytes that an instance sends and receives in a second stay the same.
 */
import type { Millis } from '../clock.js';
import type { CoreState } from '../state.js';

/** Customers from which on the interval grows. */
const UNSTRETCHED_CUSTOMERS = 100;

export function stretchedInterval(exchangeMs: Millis, customers: number): Millis {
  return exchangeMs * Math.max(1, customers / UNSTRETCHED_CUSTOMERS);
}

/** Returns the interval that this instance uses now. */
export function exchangeInterval(state: CoreState): Millis {
  let customers = 0;
  state.shares.accounts.forEach((account) => {
    customers += account.active.size;
  });
  return stretchedInterval(state.settings.exchangeMs, customers);
}
