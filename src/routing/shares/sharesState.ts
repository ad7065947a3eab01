/** Rates at which customers ask for tokens and get them, here and at the other instances. */
import type { DecayingCounts } from '../decay.js';
import type { CustomerName, PoolId } from '../types.js';

/** Tokens per second. */
export interface TokenRates {
  readonly asked: number;
  readonly admitted: number;
}

/** Requests for a pool, of all routes and of each. */
export interface PoolKinds {
  readonly all: DecayingCounts;
  readonly byRoute: Map<string, DecayingCounts>;
}

export interface SharesState {
  /** Rates of this instance, in tokens per second. */
  readonly own: Map<CustomerName, DecayingCounts>;
  readonly kinds: Map<PoolId, PoolKinds>;
}

export function createSharesState(): SharesState {
  return { own: new Map(), kinds: new Map() };
}
