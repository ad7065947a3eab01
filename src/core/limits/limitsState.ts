/** State of the limits per customer: usage of this instance, and usage of the fleet as reported. */
import type { Millis } from '../clock.js';
import type { CustomerNumber, InstanceId } from '../types.js';

/** Usage of the limits of a customer. */
export interface LimitUsage {
  waiting: number;
  bytes: number;
  running: number;
  /** Approximate number of arrivals in the last ten seconds, including refused requests. */
  arrivals: number;
}

export interface LocalUsage extends LimitUsage {
  arrivalsAt: Millis;
  /** Tokens in the bucket of the rate limit; a request takes one. */
  tokens: number;
  tokensAt: Millis;
}

/** Usage over the fleet as last reported, with the part of this instance in it. */
export interface FleetUsage extends LimitUsage {
  /** Number of instances that use the limits of the customer. */
  readonly users: number;
  readonly own: LimitUsage;
  readonly until: Millis;
}

/** Usage of an instance or a domain as reported to a relay. */
export interface ReportedUsage extends LimitUsage {
  readonly users: number;
  readonly until: Millis;
}

export interface LimitsState {
  readonly local: Map<CustomerNumber, LocalUsage>;
  readonly fleet: Map<CustomerNumber, FleetUsage>;
  /** As relay: reports by customer, then by instance of this domain or by other domain. */
  readonly places: Map<CustomerNumber, Map<string, ReportedUsage>>;
  /** As relay: new customers whose usage in other domains cannot be known yet. */
  readonly newcomers: Set<CustomerNumber>;
  /** Last sequence number by scope and sender. */
  readonly sequences: Map<InstanceId, number>;
  /** Usage in the last report of this instance, by customer. */
  readonly reported: Map<CustomerNumber, LimitUsage>;
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
