/** Metrics of the load tool for each customer and pool. */
import { build, type Histogram } from 'hdr-histogram-js';
import type { Millis } from '../../core/clock.js';
import type { LoadFile } from './loadFile.js';
import type { Outcome } from './outcome.js';

const MICROS_PER_MS = 1_000;
const MAX_MICROS = 3_600_000_000;
const SIGNIFICANT_DIGITS = 3;

/** Quantiles of durations, in milliseconds. */
export interface Quantiles {
  readonly count: number;
  readonly p50: Millis;
  readonly p95: Millis;
  readonly p99: Millis;
  readonly max: Millis;
}

/** Number of requests of a customer by outcome. */
export interface OutcomeCounts {
  sent: number;
  /** Arrivals that were not sent because `maxInFlight` requests were in flight. */
  notSent: number;
  served: number;
  refused: number;
  failed: number;
  /** Requests that timed out at the caller without an answer or a problem. */
  lost: number;
  /** Answers that belong to another request. */
  notOwn: number;
  /** Answers that ended early without reporting an error. */
  truncated: number;
  /** Refused, failed and lost requests by reason. */
  readonly reasons: Record<string, number>;
}

/** Metrics of one customer at one pool. */
export interface CustomerPoolMetrics {
  readonly customer: string;
  readonly pool: string;
  readonly weight: number;
  readonly counts: OutcomeCounts;
  readonly firstToken: DurationHistogram;
  readonly betweenTokens: DurationHistogram;
  readonly latency: DurationHistogram;
  /** Service received, in the cost units of the pool. */
  service: number;
  /** Requests that received no byte of an answer within `waitingAfterMs` after they were sent. */
  waiting: number;
  /** Whether there was a moment without a waiting request since the last sample. */
  wasIdle: boolean;
}

/** A histogram of durations. */
export interface DurationHistogram {
  add: (span: Millis) => void;
  quantiles: () => Quantiles;
}

export function createDurationHistogram(): DurationHistogram {
  const histogram: Histogram = build({
    highestTrackableValue: MAX_MICROS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  const toMs = (micros: number) => micros / MICROS_PER_MS;
  return {
    add: (span) => {
      const micros = Math.round(span * MICROS_PER_MS);
      histogram.recordValue(Math.min(MAX_MICROS, Math.max(1, micros)));
    },
    quantiles: () => {
      const count = histogram.totalCount;
      if (count === 0) return { count, p50: 0, p95: 0, p99: 0, max: 0 };
      return {
        count,
        p50: toMs(histogram.getValueAtPercentile(50)),
        p95: toMs(histogram.getValueAtPercentile(95)),
        p99: toMs(histogram.getValueAtPercentile(99)),
        max: toMs(histogram.maxValue),
      };
    },
  };
}

/** Creates one entry for each customer and each pool that it calls. */
export function createCustomerMetrics(file: LoadFile): readonly CustomerPoolMetrics[] {
  return file.customers.flatMap(({ name, weight, mix }) =>
    [...new Set(mix.map(({ pool }) => pool))].map((pool) => ({
      customer: name,
      pool,
      weight,
      counts: createCounts(),
      firstToken: createDurationHistogram(),
      betweenTokens: createDurationHistogram(),
      latency: createDurationHistogram(),
      service: 0,
      waiting: 0,
      wasIdle: true,
    })),
  );
}

/** Creates counts that are all zero. */
export function createCounts(): OutcomeCounts {
  return {
    sent: 0,
    notSent: 0,
    served: 0,
    refused: 0,
    failed: 0,
    lost: 0,
    notOwn: 0,
    truncated: 0,
    reasons: {},
  };
}

/** Adds the outcome of a request to the counts. */
export function countOutcome(counts: OutcomeCounts, outcome: Outcome): void {
  const addReason = (reason: string) => {
    counts.reasons[reason] = (counts.reasons[reason] ?? 0) + 1;
  };
  switch (outcome.kind) {
    case 'served':
      counts.served += 1;
      return;
    case 'refused':
      counts.refused += 1;
      addReason(`refused ${outcome.status} at ${outcome.step}`);
      return;
    case 'failed':
      counts.failed += 1;
      addReason(`failed (executed: ${outcome.executed}), ${outcome.reason}`);
      return;
    case 'lost':
      counts.lost += 1;
      addReason(`lost, ${outcome.reason}`);
      return;
    default:
      if (outcome.violation === 'not-own') counts.notOwn += 1;
      else counts.truncated += 1;
  }
}
