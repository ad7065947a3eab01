/** Samples fairness gap, upstream utilisation, control bytes and service during a load. */
import type { Millis } from '../../core/clock.js';
import type { CustomerPoolMetrics } from './customerMetrics.js';
import { createGapMeter, type GapMeter, type GapSample } from './fairness.js';
import type { LoadFile } from './loadFile.js';
import {
  addBytes,
  createControlByteMeter,
  createUtilisationMeter,
  NO_BYTES,
  type UpstreamUtilisation,
} from './observe.js';
import type {
  ControlByteSample,
  FairnessResult,
  LoadResult,
  ServiceSample,
  UtilisationSample,
} from './results.js';

export interface Sampling {
  stop: () => Promise<void>;
}

/** Calls `sample` at a fixed interval, without overlapping calls, and a last time on stop. */
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

/** Creates a sampler and reads the initial counters. */
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
  const utilisationMeter = await createUtilisationMeter([...file.engines, ...file.services]);
  const statusUrls = file.instances.flatMap(({ statusUrl }) => statusUrl ?? []);
  const byteMeter = await createControlByteMeter(statusUrls);
  const utilisationSamples: UtilisationSample[] = [];
  const byteSamples: ControlByteSample[] = [];
  const serviceSamples: ServiceSample[] = [];

  return {
    sample: async (atMs) => {
      meters.forEach(({ meter, samples }) => samples.push(meter.sample(atMs)));
      serviceSamples.push({ atMs, service: metrics.map(({ service }) => service) });
      const [upstreams, bytes] = await Promise.all([utilisationMeter.sample(), byteMeter.sample()]);
      utilisationSamples.push({ atMs, byPool: meanByPool(upstreams) });
      byteSamples.push({ atMs, ...bytes });
    },
    results: async () => ({
      fairness: meters.map(({ pool, meter, samples }) => toFairness(pool, meter, samples)),
      utilisation: { upstreams: await utilisationMeter.total(), samples: utilisationSamples },
      controlBytes: { total: byteSamples.reduce(addBytes, NO_BYTES), samples: byteSamples },
      serviceSamples,
    }),
  };
}

function toFairness(pool: string, meter: GapMeter, samples: readonly GapSample[]): FairnessResult {
  return { pool, maxGap: meter.maxGap(), samples };
}

function meanByPool(upstreams: readonly UpstreamUtilisation[]): Readonly<Record<string, number>> {
  const pools = [...new Set(upstreams.map(({ pool }) => pool))];
  return Object.fromEntries(
    pools.map((pool) => {
      const values = upstreams.filter((entry) => entry.pool === pool);
      const sum = values.reduce((total, { utilisation }) => total + utilisation, 0);
      return [pool, sum / values.length];
    }),
  );
}
