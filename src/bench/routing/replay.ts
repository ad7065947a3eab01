/** Replays a load pattern on an emulated fleet. */
import type { Millis } from '../../core/clock.js';
import { createEmulatedFleet, type FleetPolicy } from './emulatedFleet.js';
import { drawRequests, FLEET_SHAPE, type LoadPattern } from './patterns.js';
import type { FleetResults, Tally } from './results.js';
import { createSimulation } from './simulation.js';

export interface ReplayOptions {
  readonly durationMs: Millis;
  readonly seed: number;
  readonly policy?: FleetPolicy;
}

export interface ReplaySummary {
  readonly pattern: string;
  readonly policy: FleetPolicy;
  /** Fractions of all requests. */
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Lowest in-time fraction among the customers that send their usual load. */
  readonly worstCustomer: number;
  /** In-time fraction by route. */
  readonly inTimeByRoute: Readonly<Record<string, number>>;
  /** Weighted tokens of the requests that got a first token. */
  readonly begunTokensPerSecond: number;
  /** Prompt tokens that engines prefilled. */
  readonly readTokensPerSecond: number;
  /** Tokens of shared parts that were prefilled although an engine had used them recently. */
  readonly readAgainPerSecond: number;
}

/** Time before the first request, in which instances discover each other. */
const WARM_UP_MS: Millis = 3_000;
/** Time after the last request, in which running requests end. */
const DRAIN_MS: Millis = 5_000;

export function replay(
  pattern: LoadPattern,
  { durationMs, seed, policy = 'core' }: ReplayOptions,
): FleetResults {
  const simulation = createSimulation();
  const fleet = createEmulatedFleet({ simulation, shape: FLEET_SHAPE, seed, policy });
  drawRequests(pattern, durationMs, seed).forEach((request) => {
    fleet.offer({ ...request, at: request.at + WARM_UP_MS });
  });
  if (pattern.engineFailsAt !== undefined) {
    simulation.at(WARM_UP_MS + pattern.engineFailsAt, () => fleet.failEngine('a-engine-0'));
  }
  if (pattern.instancesRestartAt !== undefined) {
    simulation.at(WARM_UP_MS + pattern.instancesRestartAt, fleet.restartInstances);
  }
  simulation.runUntil(WARM_UP_MS + durationMs + DRAIN_MS);
  return fleet.results;
}

export function summarize(
  pattern: string,
  policy: FleetPolicy,
  { all, byCustomer, byRoute, prefillCounter }: FleetResults,
  seconds: number,
): ReplaySummary {
  const fractionOf = (tally: Tally, count: number) => count / Math.max(1, tally.requests);
  const customers = [...byCustomer.values()];
  const maxNormalTokens = Math.min(...customers.map(({ requestedTokens }) => requestedTokens)) * 2;
  const normalCustomers = customers.filter(
    ({ requestedTokens }) => requestedTokens <= maxNormalTokens,
  );
  return {
    pattern,
    policy,
    inTime: fractionOf(all, all.inTime),
    late: fractionOf(all, all.late),
    refused: fractionOf(all, all.refused),
    worstCustomer: Math.min(...normalCustomers.map((tally) => fractionOf(tally, tally.inTime))),
    inTimeByRoute: Object.fromEntries(
      [...byRoute].map(([name, tally]) => [name, fractionOf(tally, tally.inTime)]),
    ),
    begunTokensPerSecond: all.startedTokens / seconds,
    readTokensPerSecond: prefillCounter.totalTokens() / seconds,
    readAgainPerSecond: prefillCounter.repeatedTokens() / seconds,
  };
}
