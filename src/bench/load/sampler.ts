/** Samples of a running load: fairness gap, use of upstreams, control bytes and service. */
import type { Millis } from '../../core/clock.js';
import type { CustomerPoolMetrics } from './customerMetrics.js';
import { createGapMeter, type GapMeter, type GapSample } from './fairness.js';
import type { LoadFile } from './loadFile.js';
import {
  addBytes,
  createByteMeter,
  createUseMeter,
  NO_BYTES,
  type UpstreamUse,
} from './observe.js';
import type {
  ByteSample,
  FairnessResult,
  LoadResult,
  ServiceSample,
  UseSample,
} from './results.js';

export interface Sampling {
  stop: () => Promise<void>;
}

/** Calls `sample` at an interval, never twice at a time, and once more at the stop. */
export function startSampling(intervalMs: Millis, sample: () => Promise<void>): Sampling {
  let current: Promise<void> | undefined;
  const run = async () => {
    current ??= sample().finally(() => {
      current = undefined;
    });
    return current;
  };
  const timer = setInterval(() => {
    void run();
  }, intervalMs);
  return {
    stop: async () => {
      clearInterval(timer);
      await current;
      await run();
    },
  };
}

export interface Sampler {
  sample: (atMs: Millis) => Promise<void>;
  results: (
    elapsedMs: Millis,
  ) => Promise<Pick<LoadResult, 'fairness' | 'utilisation' | 'controlBytes' | 'serviceSamples'>>;
}

/** Creates a sampler; reads the counts that the first sample is compared with. */
export async function createSampler(
  file: LoadFile,
  metrics: readonly CustomerPoolMetrics[],
): Promise<Sampler> {
  const pools = [...new Set(metrics.map(({ pool }) => pool))];
  const meters = pools.map((pool) => ({
    pool,
    meter: createGapMeter(metrics.filter((entry) => entry.pool === pool)),
    samples: [] as GapSample[],
  }));
  const useMeter = await createUseMeter([...file.engines, ...file.services]);
  const statusUrls = file.instances.flatMap(({ statusUrl }) => statusUrl ?? []);
  const byteMeter = await createByteMeter(statusUrls);
  const useSamples: UseSample[] = [];
  const byteSamples: ByteSample[] = [];
  const serviceSamples: ServiceSample[] = [];

  return {
    sample: async (atMs) => {
      meters.forEach(({ meter, samples }) => samples.push(meter.sample(atMs)));
      serviceSamples.push({ atMs, service: metrics.map(({ service }) => service) });
      const [use, bytes] = await Promise.all([useMeter.sample(), byteMeter.sample()]);
      useSamples.push({ atMs, byPool: meanByPool(use) });
      byteSamples.push({ atMs, ...bytes });
    },
    results: async () => ({
      fairness: meters.map(({ pool, meter, samples }) => toFairness(pool, meter, samples)),
      utilisation: { upstreams: await useMeter.total(), samples: useSamples },
      controlBytes: { total: byteSamples.reduce(addBytes, NO_BYTES), samples: byteSamples },
      serviceSamples,
    }),
  };
}

function toFairness(pool: string, meter: GapMeter, samples: readonly GapSample[]): FairnessResult {
  return { pool, maxGap: meter.maxGap(), samples };
}

function meanByPool(use: readonly UpstreamUse[]): Readonly<Record<string, number>> {
  const pools = [...new Set(use.map(({ pool }) => pool))];
  return Object.fromEntries(
    pools.map((pool) => {
      const values = use.filter((entry) => entry.pool === pool);
      const sum = values.reduce((total, { utilisation }) => total + utilisation, 0);
      return [pool, sum / values.length];
    }),
  );
}
