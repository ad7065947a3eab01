/**
 * Fairness gap over time. For two customers that both wait without a break, the gap is the greatest
 * difference in weighted service that they received over any part of that time: the range of the
 * difference of their service sums.
 */
import type { Millis } from '../../core/clock.js';
import type { CustomerPoolMetrics } from './customerMetrics.js';

export interface GapSample {
  readonly atMs: Millis;
  /** Greatest gap of any pair, in service units by weight. */
  readonly gap: number;
  /** Customers that waited since the sample before. */
  readonly waiting: number;
}

export interface GapMeter {
  sample: (atMs: Millis) => GapSample;
  maxGap: () => number;
}

interface Pair {
  readonly low: number;
  readonly high: number;
}

/** Creates the meter of one pool from the metrics of its customers. */
export function createGapMeter(customers: readonly CustomerPoolMetrics[]): GapMeter {
  const pairs = new Map<string, Pair>();
  let maxGap = 0;

  function gapOf(first: CustomerPoolMetrics, second: CustomerPoolMetrics): number {
    const name = `${first.customer}\n${second.customer}`;
    const difference = first.service / first.weight - second.service / second.weight;
    const before = pairs.get(name) ?? { low: difference, high: difference };
    const pair = {
      low: Math.min(before.low, difference),
      high: Math.max(before.high, difference),
    };
    pairs.set(name, pair);
    return pair.high - pair.low;
  }

  return {
    sample: (atMs) => {
      const isWaiting = (entry: CustomerPoolMetrics) => entry.waiting > 0 && !entry.wasIdle;
      const waiting = customers.filter(isWaiting);
      const names = new Set(waiting.map(({ customer }) => customer));
      for (const name of pairs.keys()) {
        if (!name.split('\n').every((customer) => names.has(customer))) pairs.delete(name);
      }
      const gaps = waiting.flatMap((first, i) =>
        waiting.slice(i + 1).map((second) => gapOf(first, second)),
      );
      const gap = gaps.reduce((max, value) => Math.max(max, value), 0);
      maxGap = Math.max(maxGap, gap);
      customers.forEach((entry) => {
        entry.wasIdle = entry.waiting === 0;
      });
      return { atMs, gap, waiting: waiting.length };
    },
    maxGap: () => maxGap,
  };
}
