/** Metrics of the routing core in the Prometheus exposition format. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import type { RoutingEventCode } from '../../routing/eventTable.js';
import type { RoutingHistogram } from '../../routing/types.js';

/** Gauge values, sampled when the page is rendered. */
export interface MetricsGauges {
  readonly openRequests: number;
  readonly configurationVersion: number;
  readonly configurationAgeMs: Millis;
  /** Time for which another instance has had a newer version; 0 if none has. */
  readonly configurationBehindMs: Millis;
  readonly upstreams: number;
  /** Time since the list was confirmed as the newest; -1 if it has not been read. */
  readonly listAgeMs: Millis;
  readonly lostUpstreams: number;
  readonly instances: number;
  /** Requests and prompt parts that are refused, since upstreams crash on them. */
  readonly blockedCauses: number;
  /** Upstreams that limit the rate of their requests. */
  readonly limitedUpstreams: number;
  /** Upstreams that have said that they want no requests. */
  readonly unwillingUpstreams: number;
  /** Bytes of bodies and of answers that wait, and the most that may. */
  readonly bufferedBytes: number;
  readonly bufferedBytesLimit: number;
  /** Longest estimated time to a first event without any wait, among pools. */
  readonly longestBaseMs: Millis;
  readonly linesOmitted: number;
  /** Event loop utilization over the last second. */
  readonly loopUtilization: number;
  /** Event loop lag over the last second. */
  readonly loopLagMs: Millis;
}

export interface MetricsPage {
  readonly count: (decision: RoutingEventCode) => void;
  readonly observe: (histogram: RoutingHistogram, valueMs: Millis) => void;
  /** Renders the page as text. */
  readonly render: (gauges: MetricsGauges) => Promise<string>;
  readonly contentType: string;
}

const PREFIX = 'primroseswitch_';
const LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8, 15];

export function createMetricsPage(): MetricsPage {
  const registry = new Registry();
  const registers = [registry];
  const decisions = new Counter({
    name: `${PREFIX}decisions_total`,
    help: 'Decisions that touched a request, by event.',
    labelNames: ['event'] as const,
    registers,
  });
  const histogram = (name: string, help: string) =>
    new Histogram({
      name: `${PREFIX}${name}_seconds`,
      help,
      buckets: LATENCY_BUCKETS_S,
      registers,
    });
  const histograms: Readonly<Record<RoutingHistogram, Histogram>> = {
    firstPart: histogram('first_part', 'Time from the arrival to the first part of the answer.'),
    whole: histogram('whole', 'Time from the arrival to the end of the answer.'),
    predictionError: histogram('prediction_error', 'Error of the expected time to the first part.'),
  };
  const gauge = (name: string, help: string) =>
    new Gauge({ name: `${PREFIX}${name}`, help, registers });
  const gauges: Readonly<Record<keyof MetricsGauges, Gauge>> = {
    openRequests: gauge('open_requests', 'Requests without a final answer.'),
    configurationVersion: gauge('configuration_version', 'Version in force.'),
    configurationAgeMs: gauge('configuration_age_ms', 'Time since the last confirmation.'),
    configurationBehindMs: gauge(
      'configuration_behind_ms',
      'Time for which another instance has had a newer version.',
    ),
    upstreams: gauge('upstreams', 'Upstreams in the list.'),
    listAgeMs: gauge('list_age_ms', 'Time since the list was confirmed.'),
    lostUpstreams: gauge('lost_upstreams', 'Upstreams that do not answer.'),
    instances: gauge('instances', 'Instances heard of, this one included.'),
    blockedCauses: gauge('blocked_causes', 'Requests and parts refused as they crash upstreams.'),
    limitedUpstreams: gauge('limited_upstreams', 'Upstreams that limit their rate.'),
    unwillingUpstreams: gauge('unwilling_upstreams', 'Upstreams that leave or want a pause.'),
    bufferedBytes: gauge('buffered_bytes', 'Bytes of bodies and of answers that wait.'),
    bufferedBytesLimit: gauge('buffered_bytes_limit', 'Most bytes that may wait.'),
    longestBaseMs: gauge(
      'longest_base_ms',
      'Longest estimated time to a first event without any wait, among pools.',
    ),
    linesOmitted: gauge('log_lines_omitted', 'Log lines that were left out.'),
    loopUtilization: gauge('loop_utilization', 'Part of the last second in which the loop worked.'),
    loopLagMs: gauge('loop_lag_ms', 'Time by which the loop was late.'),
  };
  return {
    count: (event) => decisions.inc({ event }),
    observe: (name, valueMs) => histograms[name].observe(valueMs / MS_PER_SECOND),
    render: async (values) => {
      (Object.keys(gauges) as (keyof MetricsGauges)[]).forEach((name) => {
        gauges[name].set(values[name]);
      });
      return registry.metrics();
    },
    contentType: registry.contentType,
  };
}
