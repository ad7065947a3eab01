/** Result types of a load run. */
import { createCounts } from './customerMetrics.js';
import type { Millis } from '../../core/clock.js';
import type { CustomerPoolMetrics, OutcomeCounts, Quantiles } from './customerMetrics.js';
import type { GapSample } from './fairness.js';
import type { AppliedFault } from './faultSchedule.js';
import type { ControlBytes, UpstreamUtilisation } from './observe.js';
import type { ExecutionReport } from './executionCheck.js';

/** Results of one customer at one pool. */
export interface CustomerResult {
  readonly customer: string;
  readonly pool: string;
  readonly weight: number;
  readonly counts: Readonly<OutcomeCounts>;
  /** Service received, in the cost units of the pool. */
  readonly service: number;
  /** Fraction of the total service of the pool, from 0 to 1. */
  readonly serviceShare: number;
  readonly firstTokenMs: Quantiles;
  readonly betweenTokensMs: Quantiles;
  readonly latencyMs: Quantiles;
}

/** Fairness gap of one pool. */
export interface FairnessResult {
  readonly pool: string;
  readonly maxGap: number;
  readonly samples: readonly GapSample[];
}

export interface UtilisationSample {
  readonly atMs: Millis;
  /** Mean utilisation of the upstreams of each pool, from 0 to 1. */
  readonly byPool: Readonly<Record<string, number>>;
}

export interface ControlByteSample extends ControlBytes {
  readonly atMs: Millis;
}

export interface ServiceSample {
  readonly atMs: Millis;
  /** Cumulative service of each customer at each pool, in the order of `customers`. */
  readonly service: readonly number[];
}

export interface LoadResult {
  readonly seed: number;
  /** Time from the first arrival to the end of the last request. */
  readonly elapsedMs: Millis;
  readonly customers: readonly CustomerResult[];
  readonly fairness: readonly FairnessResult[];
  readonly utilisation: {
    readonly upstreams: readonly UpstreamUtilisation[];
    readonly samples: readonly UtilisationSample[];
  };
  readonly controlBytes: {
    readonly total: ControlBytes;
    readonly samples: readonly ControlByteSample[];
  };
  readonly serviceSamples: readonly ServiceSample[];
  readonly faults: readonly AppliedFault[];
  readonly truth: ExecutionReport;
  /** Ids of the requests that received neither an answer nor a problem. */
  readonly lost: readonly string[];
  /** Number of requests still in flight when the drain time limit expired. */
  readonly unfinished: number;
}

/** Returns the outcome counts summed over all customers. */
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

/** Whether every request ended, every answer was valid and no execution report was wrong. */
export function hasOnlyValidOutcomes(result: LoadResult): boolean {
  const { lost, notOwn, truncated } = totalCounts(result);
  const { falseRefusals, doubled, servedNotRun } = result.truth;
  const wrongReports = falseRefusals.length + doubled.length + servedNotRun.length;
  return lost + result.unfinished + notOwn + truncated + wrongReports === 0;
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
