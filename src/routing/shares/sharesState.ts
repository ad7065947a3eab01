/** Token rates of customers and request counts of routes, as seen by this instance. */
import type { DecayingCounts } from '../decay.js';
import type { CustomerName, PoolId } from '../types.js';

/** Tokens per second. */
export interface TokenRates {
  readonly asked: number;
  readonly admitted: number;
}

/** Request counts of a pool: in total and by route. */
export interface PoolRouteCounts {
  readonly all: DecayingCounts;
  readonly byRoute: Map<string, DecayingCounts>;
}

export interface SharesState {
  /** Requested and admitted tokens per second, by customer. */
  readonly customerRates: Map<CustomerName, DecayingCounts>;
  readonly routeCounts: Map<PoolId, PoolRouteCounts>;
}

export function createSharesState(): SharesState {
  return { customerRates: new Map(), routeCounts: new Map() };
}
