/** State of shares: service received per pool and customer, in cost units. */
import type { CustomerNumber, PoolId } from '../types.js';

export interface SharesState {
  /** Service that this instance has charged. */
  readonly charged: Map<PoolId, Map<CustomerNumber, number>>;
}

export function createSharesState(): SharesState {
  return { charged: new Map() };
}
