/**
 * Runs an open-loop load against a fleet: sends each request at its scheduled time regardless of
 * responses, samples fairness gap, utilisation and control bytes, injects the scheduled faults, and
 * finally compares the outcomes at the callers with the executions recorded by the upstreams.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Millis } from '../../core/clock.js';
import { createArrivals, type Arrival } from './arrivals.js';
import { createBalancer } from './balancer.js';
import { createCaller } from './caller.js';
import { createCustomerMetrics } from './customerMetrics.js';
import { findUnknownTargets, startFaultSchedule, type FaultFile } from './faultSchedule.js';
import type { LoadFile } from './loadFile.js';
import { toCustomerResults, type LoadResult } from './results.js';
import { createSampler, startSampling } from './sampler.js';
import { createSender } from './sender.js';
import { checkExecutions } from './executionCheck.js';

const DEFAULT_TIMEOUT_MS: Millis = 60_000;

export interface LoadOptions {
  readonly file: LoadFile;
  /** Scheduled faults; none by default. */
  readonly faults?: FaultFile;
  /** Process ids by the process names in `faults`. */
  readonly pids?: ReadonlyMap<string, number>;
  /** Idle time (no byte received) after which a request counts as lost. */
  readonly timeoutMs?: Millis;
  /** Called after each sample. */
  readonly onSample?: (atMs: Millis, inFlight: number) => void;
}

export type LoadRun =
  | { readonly kind: 'finished'; readonly result: LoadResult }
  /** Nothing was sent: the file has no instances, or faults refer to unknown targets. */
  | { readonly kind: 'rejected'; readonly unknownTargets: readonly string[] };

/** Runs a load to completion. */
export async function runLoad(options: LoadOptions): Promise<LoadRun> {
  const { file } = options;
  const faults = options.faults ?? { faults: [] };
  const targets = { standins: standinUrls(file), pids: options.pids ?? new Map<string, number>() };
  const unknownTargets = findUnknownTargets(faults, targets);
  if (file.instances.length === 0 || unknownTargets.length > 0) {
    return { kind: 'rejected', unknownTargets };
  }

  const metrics = createCustomerMetrics(file);
  const sampler = await createSampler(file, metrics);
  const balancer = createBalancer(file.instances);
  const caller = createCaller({
    balancer,
    timeoutMs: options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
  });
  const startedAt = performance.now();
  const sender = createSender({ file, metrics, caller, startedAt });
  const elapsed = () => performance.now() - startedAt;
  const schedule = startFaultSchedule(faults, targets);
  const sampling = startSampling(file.sampleMs, async () => {
    await sampler.sample(elapsed());
    options.onSample?.(elapsed(), sender.inFlight());
  });

  await sendAll(createArrivals(file), elapsed, sender.send);
  const unfinished = await sender.drain(file.drainMs);
  const elapsedMs = elapsed();
  await sampling.stop();
  schedule.stop();
  balancer.stop();
  await caller.close();
  await sender.settled();
  const result: LoadResult = {
    seed: file.seed,
    elapsedMs,
    customers: toCustomerResults(metrics),
    ...(await sampler.results(elapsedMs)),
    faults: schedule.applied(),
    truth: await checkExecutions(file, sender.ended()),
    lost: sender
      .ended()
      .filter(({ outcome }) => outcome.kind === 'lost')
      .map(({ arrival }) => arrival.id),
    unfinished,
  };
  return { kind: 'finished', result };
}

function standinUrls(file: LoadFile): ReadonlyMap<string, string> {
  const upstreams = [...file.engines, ...file.services].map(
    ({ name, url }) => [name, url] as const,
  );
  return new Map([
    ...upstreams,
    ...(file.platform === undefined ? [] : [['platform', file.platform] as const]),
  ]);
}

/** Calls `send` for each arrival at its scheduled time, or as soon as the event loop allows. */
async function sendAll(
  arrivals: readonly Arrival[],
  elapsed: () => Millis,
  send: (arrival: Arrival) => void,
): Promise<void> {
  for (let next = 0; next < arrivals.length;) {
    const now = elapsed();
    for (; next < arrivals.length && arrivalTime(arrivals, next) <= now; next += 1) {
      send(arrivals[next] as Arrival);
    }
    if (next < arrivals.length) await sleep(Math.max(1, arrivalTime(arrivals, next) - now));
  }
}

function arrivalTime(arrivals: readonly Arrival[], index: number): Millis {
  return arrivals[index]?.atMs ?? Infinity;
}
