/** State of the limits per customer: this instance's use, and the fleet's by the exchange. */
import type { Millis } from '../clock.js';
import type { CustomerNumber, InstanceId } from '../types.js';

/** Use of one customer's limits. */
export interface LimitUse {
  waiting: number;
  bytes: number;
  running: number;
  /** Arrivals, refused ones included, over about the last ten seconds. */
  arrivals: number;
}

export interface LocalUse extends LimitUse {
  arrivalsAt: Millis;
  /** Requests that the rate limit admits at once. */
  tokens: number;
  tokensAt: Millis;
}

/** Use over the fleet as last heard, with this instance's part in it. */
export interface FleetUse extends LimitUse {
  /** Instances that use the customer's limits. */
  readonly users: number;
  readonly own: LimitUse;
  readonly until: Millis;
}

/** Use at one instance or in one domain, as a relay heard it. */
export interface PlaceUse extends LimitUse {
  readonly users: number;
  readonly until: Millis;
}

export interface LimitsState {
  readonly local: Map<CustomerNumber, LocalUse>;
  readonly fleet: Map<CustomerNumber, FleetUse>;
  /** As relay: by customer, then by instance of this domain or by other domain. */
  readonly places: Map<CustomerNumber, Map<string, PlaceUse>>;
  /** As relay: customers of whose use abroad nothing can be known yet. */
  readonly newcomers: Set<CustomerNumber>;
  /** Last sequence by sender. */
  readonly sequences: Map<InstanceId, number>;
  /** Use in the last report, by customer. */
  readonly reported: Map<CustomerNumber, LimitUse>;
  sequence: number;
  ticks: number;
}

export function createLimitsState(): LimitsState {
  return {
    local: new Map(),
    fleet: new Map(),
    places: new Map(),
    newcomers: new Set(),
    sequences: new Map(),
    reported: new Map(),
    sequence: 0,
    ticks: 0,
  };
}
