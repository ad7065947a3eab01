/**
 * Measures many concurrent streams through one instance process: token events per second, processor
 * time, memory per stream and memory growth.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent } from 'undici';
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import { createDurationHistogram } from '../load/customerMetrics.js';
import { readProcessUse, startBenchFleet, type ProcessUse } from './processes.js';
import { callStream } from './streamCall.js';

export interface StreamsOptions {
  readonly streams: number;
  readonly engines: number;
  readonly tokenIntervalMs: Millis;
  readonly tokensPerStream: number;
  readonly seconds: number;
  /** Whether the streams bypass the instance and go directly to the engines, for comparison. */
  readonly isDirect: boolean;
}

export interface StreamsResult {
  readonly eventsPerSecond: number;
  readonly answers: number;
  readonly broken: number;
  readonly gapP50: Millis;
  readonly gapP95: Millis;
  readonly gapP99: Millis;
  /** Processor use of the instance, as a fraction of one core. */
  readonly cpuShare: number;
  readonly idleBytes: number;
  readonly bytesPerStream: number;
  /** Growth of resident memory in bytes per minute, from a line fitted to the second half of the samples. */
  readonly residentSlope: number;
  /** Growth of the heap, computed likewise from the minimum of each ten samples, to exclude garbage. */
  readonly heapSlope: number;
}

const SAMPLE_MS = 1_000;
const MS_PER_MINUTE = 60 * MS_PER_SECOND;
const HEAP_SPAN_SAMPLES = 10;
const SETTLE_MS = 2_000;
/** Delay after a broken answer. */
const RETRY_MS = 100;

interface Sample extends ProcessUse {
  readonly at: Millis;
}

export async function measureStreams(options: StreamsOptions): Promise<StreamsResult> {
  const fleet = await startBenchFleet({
    engines: options.engines,
    slotsPerEngine: Math.ceil(options.streams / options.engines),
    tokenIntervalMs: options.tokenIntervalMs,
    maxRequests: 2 * options.streams,
  });
  const [pid = 0] = fleet.instancePids;
  const [statusUrl = ''] = fleet.statusUrls;
  const idle = await readProcessUse(pid, statusUrl);
  const dispatcher = new Agent();
  const gaps = createDurationHistogram();
  const counts = { events: 0, answers: 0, broken: 0 };
  let isEnding = false;
  let isCounting = false;

  const onChunk = (events: number, gapMs: Millis) => {
    if (!isCounting) return;
    counts.events += events;
    gaps.add(gapMs);
  };

  async function runStream(n: number): Promise<void> {
    const origins = options.isDirect ? fleet.engineUrls : fleet.instanceUrls;
    const origin = origins[n % origins.length] ?? '';
    for (let round = 0; !isEnding; round += 1) {
      const question = `stream ${n} round ${round}`;
      const tokens = options.tokensPerStream;
      const call = callStream({ dispatcher, origin, question, tokens, onChunk });
      const result = await call.catch(() => undefined);
      counts.answers += 1;
      if (result?.isComplete === true) continue;
      counts.broken += 1;
      await sleep(RETRY_MS);
    }
  }

  const running = Array.from({ length: options.streams }, async (_, n) => runStream(n));
  await sleep(SETTLE_MS);
  isCounting = true;
  const countedFrom = performance.now();
  const samples = await sampleFor(pid, statusUrl, options.seconds * MS_PER_SECOND);
  isCounting = false;
  const countedMs = performance.now() - countedFrom;
  isEnding = true;
  await Promise.all(running);
  await dispatcher.close();
  await fleet.stop();

  const [first] = samples;
  const last = samples.at(-1);
  if (first === undefined || last === undefined) throw new Error('No sample was taken.');
  const elapsed = last.at - first.at;
  const secondHalf = samples.slice(Math.floor(samples.length / 2));
  const { p50, p95, p99 } = gaps.quantiles();
  return {
    eventsPerSecond: (counts.events * MS_PER_SECOND) / countedMs,
    answers: counts.answers,
    broken: counts.broken,
    gapP50: p50,
    gapP95: p95,
    gapP99: p99,
    cpuShare: (last.cpuMs - first.cpuMs) / elapsed,
    idleBytes: idle.residentBytes,
    bytesPerStream: (last.residentBytes - idle.residentBytes) / options.streams,
    residentSlope: fitSlope(secondHalf.map(({ at, residentBytes }) => [at, residentBytes])),
    heapSlope: fitSlope(lowestHeapSamples(secondHalf).map(({ at, heapBytes }) => [at, heapBytes])),
  };
}

async function sampleFor(pid: number, statusUrl: string, span: Millis): Promise<readonly Sample[]> {
  const samples: Sample[] = [];
  const startedAt = performance.now();
  while (performance.now() - startedAt <= span) {
    samples.push({ at: performance.now(), ...(await readProcessUse(pid, statusUrl)) });
    await sleep(SAMPLE_MS);
  }
  return samples;
}

/** Returns the sample with the smallest heap in each group of `HEAP_SPAN_SAMPLES`. */
function lowestHeapSamples(samples: readonly Sample[]): readonly Sample[] {
  const spans = Array.from({ length: Math.ceil(samples.length / HEAP_SPAN_SAMPLES) }, (_, i) =>
    samples.slice(i * HEAP_SPAN_SAMPLES, (i + 1) * HEAP_SPAN_SAMPLES),
  );
  return spans.map((span) => span.reduce((a, b) => (b.heapBytes < a.heapBytes ? b : a)));
}

type Point = readonly [at: Millis, bytes: number];

/** Returns the slope of the least-squares line through the points, in bytes per minute. */
function fitSlope(points: readonly Point[]): number {
  const mean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const meanAt = mean(points.map(([at]) => at));
  const meanBytes = mean(points.map(([, bytes]) => bytes));
  let covariance = 0;
  let variance = 0;
  points.forEach(([at, bytes]) => {
    covariance += (at - meanAt) * (bytes - meanBytes);
    variance += (at - meanAt) ** 2;
  });
  return variance === 0 ? 0 : (covariance / variance) * MS_PER_MINUTE;
}
