/**
 * Formulas for the guaranteed bounds of fair sharing, for tests, measurements and operators. See
 * docs/notes/fairness.md for a proof sketch.
 */
import { MS_PER_SECOND, type Millis } from '../clock.js';
import { announceInterval, MAX_OWNERS_UNLESS_LAGGING } from '../dispatch/announceInterval.js';
import type { CoreSettings } from '../settings.js';
import { scaledExchangeInterval } from './exchangeInterval.js';

export interface SharingConditions {
  /** Total number of slots of the pool's upstreams. */
  readonly slots: number;
  /** Cost of the largest request. */
  readonly largestRequest: number;
  /** Largest amount charged at once, in cost units. */
  readonly chargeStep: number;
  /** Cost units that one slot serves per second. */
  readonly slotRate: number;
  /** Smallest weight among the waiting customers. */
  readonly leastWeight: number;
  /** Maximum one-way delay between two instances. */
  readonly delayMs: Millis;
  /** The pool's configured price of dispatching to another region. */
  readonly crossRegionPriceMs: Millis;
  /** Maximum number of consecutive messages lost between two instances. */
  readonly lostMessages: number;
  /** Number of instances in the largest failure domain; 1 if absent. */
  readonly instancesInDomain?: number;
  /** Number of customers that wait at the same time. */
  readonly customers: number;
}

type BoundSettings = Pick<
  CoreSettings,
  'exchangeMs' | 'refreshExchanges' | 'announceMs' | 'pullMs' | 'holdReportMs'
>;

/** Number of messages that carry service sums from one instance through two relays to another. */
const EXCHANGE_HOPS = 3;

/** Announce intervals after which all owners of a small domain and the relay know of the work. */
const ANNOUNCE_INTERVALS = 3;

/** Number of messages to pull work through two relays, including the grant to the entry. */
const PULL_HOPS = 5;

/** Returns the maximum age of an instance's knowledge of the service in the fleet. */
export function informationAge(settings: BoundSettings, conditions: SharingConditions): Millis {
  const { lostMessages, delayMs } = conditions;
  const exchanges = EXCHANGE_HOPS + lostMessages * settings.refreshExchanges;
  const interval = scaledExchangeInterval(settings.exchangeMs, conditions.customers);
  return exchanges * interval + EXCHANGE_HOPS * delayMs;
}

/** Returns the maximum time until an owner elsewhere with a free slot discovers waiting work. */
export function discoveryTime(settings: BoundSettings, conditions: SharingConditions): Millis {
  const { lostMessages, delayMs, crossRegionPriceMs, instancesInDomain = 1 } = conditions;
  const interval = announceInterval(settings.announceMs, instancesInDomain);
  // In a large domain, a customer's lag is evaluated at each hold report.
  const lagDetection = instancesInDomain > MAX_OWNERS_UNLESS_LAGGING ? settings.holdReportMs : 0;
  const announcing = ANNOUNCE_INTERVALS * interval + lagDetection + crossRegionPriceMs;
  const pulling = 2 * settings.pullMs + PULL_HOPS * delayMs;
  return announcing + pulling + lostMessages * settings.holdReportMs;
}

/** Returns the maximum difference in virtual service between two customers with waiting work. */
export function serviceGapBound(settings: BoundSettings, conditions: SharingConditions): number {
  const { slots, largestRequest, chargeStep, slotRate, leastWeight } = conditions;
  const age = informationAge(settings, conditions) + discoveryTime(settings, conditions);
  const unreported = (slots * slotRate * age) / MS_PER_SECOND;
  return (slots * (largestRequest + chargeStep) + unreported) / leastWeight;
}

/** Returns the maximum time for which a customer with waiting work receives no service. */
export function waitBound(
  settings: BoundSettings,
  conditions: SharingConditions,
  greatestWeight: number,
): Millis {
  const { slots, slotRate, customers, largestRequest } = conditions;
  const gap = serviceGapBound(settings, conditions) * greatestWeight;
  const catchUp = (gap * (customers - 1)) / (slots * slotRate);
  const slotTime = largestRequest / slotRate;
  const age = informationAge(settings, conditions) + discoveryTime(settings, conditions);
  return age + (catchUp + slotTime) * MS_PER_SECOND;
}
