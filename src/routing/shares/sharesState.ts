/** Rates at which customers ask for tokens and get them, here and at the other instances. */
import type { Millis } from '../../core/clock.js';
import type { CustomerName, PoolId } from '../types.js';

/** Tokens per second. */
export interface TokenRates {
  readonly asked: number;
  readonly admitted: number;
}

/** Rates that decay with time, so that they follow the last seconds. */
export interface DecayingRates {
  asked: number;
  admitted: number;
  at: Millis;
}

/** Requests of a route, or of all routes to a pool, that decay with time. */
export interface KindCounts {
  asked: number;
  admitted: number;
  at: Millis;
}

export interface PoolKinds {
  readonly all: KindCounts;
  readonly byRoute: Map<string, KindCounts>;
}

export interface SharesState {
  readonly own: Map<CustomerName, DecayingRates>;
  readonly kinds: Map<PoolId, PoolKinds>;
}

export function createSharesState(): SharesState {
  return { own: new Map(), kinds: new Map() };
}
