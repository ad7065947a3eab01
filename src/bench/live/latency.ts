/**
 * Measures the latency that an idle instance adds. The same calls go to an engine alternately directly
 * and through an instance, one at a time.
 */
import { Agent } from 'undici';
import type { Millis } from '../../core/clock.js';
import { createDurationHistogram } from '../load/customerMetrics.js';
import { startBenchFleet } from './processes.js';
import { callStream } from './streamCall.js';

export interface LatencyOptions {
  readonly calls: number;
  readonly tokens: number;
  readonly tokenIntervalMs: Millis;
}

/** Quantiles for one target, in milliseconds. */
export interface LatencyResult {
  readonly firstP50: Millis;
  readonly totalP50: Millis;
  readonly gapP50: Millis;
  readonly gapP95: Millis;
}

export interface LatencyComparison {
  readonly direct: LatencyResult;
  readonly viaInstance: LatencyResult;
}

const WARM_UP_CALLS = 50;
const SLOTS = 8;

export async function measureLatency(options: LatencyOptions): Promise<LatencyComparison> {
  const { tokenIntervalMs, tokens } = options;
  const fleet = await startBenchFleet({
    engines: 1,
    slotsPerEngine: SLOTS,
    tokenIntervalMs,
    maxRequests: SLOTS,
  });
  const dispatcher = new Agent();
  const origins = [...fleet.engineUrls, ...fleet.instanceUrls];
  const targets = origins.map((origin) => createTarget(origin));

  async function callAll(round: number, isCounted: boolean): Promise<void> {
    for (const target of targets) {
      const question = `call ${round}`;
      await target.call({ dispatcher, question, tokens, isCounted });
    }
  }

  for (let round = 0; round < WARM_UP_CALLS + options.calls; round += 1) {
    await callAll(round, round >= WARM_UP_CALLS);
  }
  await dispatcher.close();
  await fleet.stop();
  const [direct, viaInstance] = targets.map(({ result }) => result());
  if (direct === undefined || viaInstance === undefined) throw new Error('No call was measured.');
  return { direct, viaInstance };
}

interface TargetCall {
  readonly dispatcher: Agent;
  readonly question: string;
  readonly tokens: number;
  readonly isCounted: boolean;
}

function createTarget(origin: string) {
  const first = createDurationHistogram();
  const total = createDurationHistogram();
  const gaps = createDurationHistogram();
  return {
    call: async ({ dispatcher, question, tokens, isCounted }: TargetCall): Promise<void> => {
      const onChunk = (_events: number, gapMs: Millis) => {
        if (isCounted) gaps.add(gapMs);
      };
      const result = await callStream({ dispatcher, origin, question, tokens, onChunk });
      if (!result.isComplete) throw new Error('An answer was incomplete.');
      if (!isCounted) return;
      first.add(result.firstChunkMs);
      total.add(result.totalMs);
    },
    result: (): LatencyResult => ({
      firstP50: first.quantiles().p50,
      totalP50: total.quantiles().p50,
      gapP50: gaps.quantiles().p50,
      gapP95: gaps.quantiles().p95,
    }),
  };
}
