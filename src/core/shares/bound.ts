/**
 * The stated bounds of fair sharing as formulas, for tests, measurements and operators. The proof
 * sketch is in docs/notes/fairness.md.
 */
import { MS_PER_SECOND, type Millis } from '../clock.js';
import { announceInterval, MAX_OWNERS_UNLESS_LAGGING } from '../dispatch/announceInterval.js';
import type { CoreSettings } from '../settings.js';
import { stretchedInterval } from './exchangeInterval.js';

export interface SharingConditions {
  /** Slots of the pool over all upstreams. */
  readonly slots: number;
  /** Cost of the largest request. */
  readonly largestRequest: number;
  /** Largest amount charged at once, in cost units. */
  readonly chargeStep: number;
  /** Cost units that one slot serves in a second. */
  readonly slotRate: number;
  /** Smallest weight among the customers that wait. */
  readonly leastWeight: number;
  /** Longest one-way delay between two instances. */
  readonly delayMs: Millis;
  /** Price of a crossing of regions, as in the pool's configuration. */
  readonly crossRegionPriceMs: Millis;
  /** Messages in a row that may be lost between two instances. */
  readonly lostMessages: number;
  /** Instances of the largest failure domain; absent for a small one. */
  readonly instancesInDomain?: number;
  /** Customers that wait at the same time. */
  readonly customers: number;
}

type BoundSettings = Pick<
  CoreSettings,
  'exchangeMs' | 'refreshExchanges' | 'announceMs' | 'pullMs' | 'holdReportMs'
>;

/** Messages that service sums take from an instance over two relays to another instance. */
const EXCHANGE_HOPS = 3;

/** Announce intervals until work is announced to all owners of a small domain and to the relay. */
const ANNOUNCE_INTERVALS = 3;

/** Messages from an owner over two relays to an entry's work, with the grant. */
const PULL_HOPS = 5;

/** Age of what an instance knows of the fleet's service. */
export function informationAge(settings: BoundSettings, conditions: SharingConditions): Millis {
  const { lostMessages, delayMs } = conditions;
  const exchanges = EXCHANGE_HOPS + lostMessages * settings.refreshExchanges;
  const interval = stretchedInterval(settings.exchangeMs, conditions.customers);
  return exchanges * interval + EXCHANGE_HOPS * delayMs;
}

/** Longest time until an owner elsewhere with a free slot has found work that waits. */
export function discoveryTime(settings: BoundSettings, conditions: SharingConditions): Millis {
  const { lostMessages, delayMs, crossRegionPriceMs, instancesInDomain = 1 } = conditions;
  const interval = announceInterval(settings.announceMs, instancesInDomain);
  // In a large domain a customer's lag is looked at with each report of held slots.
  const noticing = instancesInDomain > MAX_OWNERS_UNLESS_LAGGING ? settings.holdReportMs : 0;
  const announcing = ANNOUNCE_INTERVALS * interval + noticing + crossRegionPriceMs;
  const pulling = 2 * settings.pullMs + PULL_HOPS * delayMs;
  return announcing + pulling + lostMessages * settings.holdReportMs;
}

/** Largest difference of virtual service between two customers that both have work waiting. */
export function serviceGapBound(settings: BoundSettings, conditions: SharingConditions): number {
  const { slots, largestRequest, chargeStep, slotRate, leastWeight } = conditions;
  const age = informationAge(settings, conditions) + discoveryTime(settings, conditions);
  const unseen = (slots * slotRate * age) / MS_PER_SECOND;
  return (slots * (largestRequest + chargeStep) + unseen) / leastWeight;
}

/** Longest time for which a customer with work waiting is not served at all. */
export function waitBound(
  settings: BoundSettings,
  conditions: SharingConditions,
  greatestWeight: number,
): Millis {
  const { slots, slotRate, customers, largestRequest } = conditions;
  const gap = serviceGapBound(settings, conditions) * greatestWeight;
  const catchUp = (gap * (customers - 1)) / (slots * slotRate);
  const slot = largestRequest / slotRate;
  const age = informationAge(settings, conditions) + discoveryTime(settings, conditions);
  return age + (catchUp + slot) * MS_PER_SECOND;
}
