/** Rates at which customers ask for tokens and get them, here and at the other instances. */
import type { Millis } from '../../core/clock.js';
import type { CustomerName } from '../types.js';

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

export interface SharesState {
  readonly own: Map<CustomerName, DecayingRates>;
}

export function createSharesState(): SharesState {
  return { own: new Map() };
}
