/** What a load run found, as data. */
import { createCounts } from './customerMetrics.js';
import type { Millis } from '../../core/clock.js';
import type { CustomerPoolMetrics, OutcomeCounts, Quantiles } from './customerMetrics.js';
import type { GapSample } from './fairness.js';
import type { AppliedFault } from './faultSchedule.js';
import type { ControlBytes, UpstreamUse } from './observe.js';
import type { TruthReport } from './truthCheck.js';

/** Measures of one customer at one pool. */
export interface CustomerResult {
  readonly customer: string;
  readonly pool: string;
  readonly weight: number;
  readonly counts: Readonly<OutcomeCounts>;
  /** Service received, in the units of the pool. */
  readonly service: number;
  /** Share of the service of the pool, from 0 to 1. */
  readonly serviceShare: number;
  readonly firstTokenMs: Quantiles;
  readonly betweenTokensMs: Quantiles;
  readonly latencyMs: Quantiles;
}

/** Fairness of one pool. */
export interface FairnessResult {
  readonly pool: string;
  readonly maxGap: number;
  readonly samples: readonly GapSample[];
}

export interface UseSample {
  readonly atMs: Millis;
  /** Mean utilisation of the upstreams of each pool, from 0 to 1. */
  readonly byPool: Readonly<Record<string, number>>;
}

export interface ByteSample extends ControlBytes {
  readonly atMs: Millis;
}

export interface ServiceSample {
  readonly atMs: Millis;
  /** Service of each customer at each pool so far, in the order of `customers`. */
  readonly service: readonly number[];
}

export interface LoadResult {
  readonly seed: number;
  /** Time from the first arrival to the end of the last request. */
  readonly elapsedMs: Millis;
  readonly customers: readonly CustomerResult[];
  readonly fairness: readonly FairnessResult[];
  readonly utilisation: {
    readonly upstreams: readonly UpstreamUse[];
    readonly samples: readonly UseSample[];
  };
  readonly controlBytes: {
    readonly total: ControlBytes;
    readonly samples: readonly ByteSample[];
  };
  readonly serviceSamples: readonly ServiceSample[];
  readonly faults: readonly AppliedFault[];
  readonly truth: TruthReport;
  /** Ids of the requests that got neither an answer nor a problem. */
  readonly lost: readonly string[];
  /** Requests without an end when the time to drain was over. */
  readonly unfinished: number;
}

/** Sums over all customers. */
export function totalCounts(result: LoadResult): OutcomeCounts {
  const total = createCounts();
  for (const { counts } of result.customers) {
    total.sent += counts.sent;
    total.notSent += counts.notSent;
    total.served += counts.served;
    total.refused += counts.refused;
    total.failed += counts.failed;
    total.lost += counts.lost;
    total.notOwn += counts.notOwn;
    total.truncated += counts.truncated;
    for (const [reason, count] of Object.entries(counts.reasons)) {
      total.reasons[reason] = (total.reasons[reason] ?? 0) + count;
    }
  }
  return total;
}

/** Whether every request had an end, and every answer was the caller's own, complete and true. */
export function isTruthful(result: LoadResult): boolean {
  const { lost, notOwn, truncated } = totalCounts(result);
  const { falseRefusals, doubled, servedNotRun } = result.truth;
  const untrue = falseRefusals.length + doubled.length + servedNotRun.length;
  return lost + result.unfinished + notOwn + truncated + untrue === 0;
}

export function toCustomerResults(
  metrics: readonly CustomerPoolMetrics[],
): readonly CustomerResult[] {
  const poolService = new Map<string, number>();
  for (const { pool, service } of metrics) {
    poolService.set(pool, (poolService.get(pool) ?? 0) + service);
  }
  return metrics.map((entry) => ({
    customer: entry.customer,
    pool: entry.pool,
    weight: entry.weight,
    counts: entry.counts,
    service: entry.service,
    serviceShare: entry.service / Math.max(poolService.get(entry.pool) ?? 0, Number.MIN_VALUE),
    firstTokenMs: entry.firstToken.quantiles(),
    betweenTokensMs: entry.betweenTokens.quantiles(),
    latencyMs: entry.latency.quantiles(),
  }));
}
