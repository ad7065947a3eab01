/** Replays a load pattern on an emulated fleet. */
import type { Millis } from '../../core/clock.js';
import { createEmulatedFleet, type FleetPolicy } from './emulatedFleet.js';
import { drawRequests, SHAPE, type LoadPattern } from './patterns.js';
import type { FleetResults, Tally } from './results.js';
import { createSimulation } from './simulation.js';

export interface ReplayOptions {
  readonly lengthMs: Millis;
  readonly seed: number;
  readonly policy?: FleetPolicy;
}

export interface ReplaySummary {
  readonly pattern: string;
  readonly policy: FleetPolicy;
  /** Parts of what was asked for. */
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Part in time of the customer that fares worst among those that ask for their usual. */
  readonly worstCustomer: number;
  /** Part in time by route. */
  readonly inTimeByRoute: Readonly<Record<string, number>>;
  readonly begunTokensPerSecond: number;
  readonly readTokensPerSecond: number;
  /** Tokens of shared parts that engines read again. */
  readonly readAgainPerSecond: number;
}

/** Instances find each other before callers come. */
const LEAD_MS: Millis = 3_000;
/** What runs at the end is waited for. */
const TAIL_MS: Millis = 5_000;

export function replay(
  pattern: LoadPattern,
  { lengthMs, seed, policy = 'core' }: ReplayOptions,
): FleetResults {
  const simulation = createSimulation();
  const fleet = createEmulatedFleet({ simulation, shape: SHAPE, seed, policy });
  drawRequests(pattern, lengthMs, seed).forEach((request) => {
    fleet.offer({ ...request, at: request.at + LEAD_MS });
  });
  if (pattern.engineLostAt !== undefined) {
    simulation.at(LEAD_MS + pattern.engineLostAt, () => fleet.loseEngine('a-engine-0'));
  }
  if (pattern.restartAt !== undefined) {
    simulation.at(LEAD_MS + pattern.restartAt, fleet.restartInstances);
  }
  simulation.runUntil(LEAD_MS + lengthMs + TAIL_MS);
  return fleet.results;
}

export function summarize(
  pattern: string,
  policy: FleetPolicy,
  { all, byCustomer, byRoute, reads }: FleetResults,
  seconds: number,
): ReplaySummary {
  const part = (tally: Tally, count: number) => count / Math.max(1, tally.asked);
  const customers = [...byCustomer.values()];
  const usual = Math.min(...customers.map(({ askedTokens }) => askedTokens)) * 2;
  const calm = customers.filter(({ askedTokens }) => askedTokens <= usual);
  return {
    pattern,
    policy,
    inTime: part(all, all.inTime),
    late: part(all, all.late),
    refused: part(all, all.refused),
    worstCustomer: Math.min(...calm.map((tally) => part(tally, tally.inTime))),
    inTimeByRoute: Object.fromEntries(
      [...byRoute].map(([name, tally]) => [name, part(tally, tally.inTime)]),
    ),
    begunTokensPerSecond: all.begunTokens / seconds,
    readTokensPerSecond: reads.tokens() / seconds,
    readAgainPerSecond: reads.again() / seconds,
  };
}
