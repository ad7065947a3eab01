/**
 * The interval at which service sums are exchanged. It grows with the number of active customers,
 * whose sums are sent, so that the bandwidth used by an instance stays constant.
 */
import type { Millis } from '../clock.js';
import type { CoreState } from '../state.js';

/** Number of active customers above which the interval grows. */
const MAX_CUSTOMERS_AT_BASE_INTERVAL = 100;

/** Returns the exchange interval, scaled with the number of customers. */
export function scaledExchangeInterval(exchangeMs: Millis, customers: number): Millis {
  return exchangeMs * Math.max(1, customers / MAX_CUSTOMERS_AT_BASE_INTERVAL);
}

/** Returns the current exchange interval of this instance. */
export function exchangeInterval(state: CoreState): Millis {
  let customers = 0;
  state.shares.accounts.forEach((account) => {
    customers += account.active.size;
  });
  return scaledExchangeInterval(state.settings.exchangeMs, customers);
}
