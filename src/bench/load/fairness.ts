/**
 * Measures the fairness gap over time. For two continuously backlogged customers, the gap is the
 * largest difference in weighted service received over any subinterval of the backlogged period. It
 * equals the range (maximum minus minimum) of the difference of their cumulative service.
 */
import type { Millis } from '../../core/clock.js';
import type { CustomerPoolMetrics } from './customerMetrics.js';

export interface GapSample {
  readonly atMs: Millis;
  /** Largest gap of any pair of customers, in service units divided by weight. */
  readonly gap: number;
  /** Number of customers that were backlogged continuously since the previous sample. */
  readonly waiting: number;
}

export interface GapMeter {
  sample: (atMs: Millis) => GapSample;
  maxGap: () => number;
}

interface DifferenceRange {
  readonly low: number;
  readonly high: number;
}

/** Creates the meter of one pool. `customers` are the metrics of the customers of that pool. */
export function createGapMeter(customers: readonly CustomerPoolMetrics[]): GapMeter {
  const pairs = new Map<string, DifferenceRange>();
  let maxGap = 0;

  function updateGap(first: CustomerPoolMetrics, second: CustomerPoolMetrics): number {
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
        waiting.slice(i + 1).map((second) => updateGap(first, second)),
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
