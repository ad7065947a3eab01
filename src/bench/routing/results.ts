/** Request outcomes and prefill counts of an emulated fleet. */
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import type { PrefixPart } from '../../routing/types.js';
import type { OfferedRequest } from './fleetShape.js';

export type UnservedOutcome = 'refused' | 'failed';

/** Requests by outcome, and the weighted tokens of all requests and of those that started. */
export interface Tally {
  requests: number;
  inTime: number;
  late: number;
  refused: number;
  failed: number;
  requestedTokens: number;
  startedTokens: number;
}

export interface PrefillCounter {
  readonly record: (parts: readonly PrefixPart[], firstUncached: number, tokens: number) => void;
  /** Prompt tokens that engines prefilled. */
  readonly totalTokens: () => number;
  /** Prefilled tokens of shared parts that some engine had used within `REUSE_WINDOW_MS`. */
  readonly repeatedTokens: () => number;
}

export interface FleetResults {
  readonly all: Tally;
  /** By the second in which the caller first sent the request, from the start of the simulation. */
  readonly bySecond: ReadonlyMap<number, Tally>;
  readonly byCustomer: ReadonlyMap<number, Tally>;
  readonly byRoute: ReadonlyMap<string, Tally>;
  readonly prefillCounter: PrefillCounter;
  readonly recordRequest: (request: OfferedRequest) => void;
  /** Records the time to the first token, measured from when the caller first sent the request. */
  readonly recordFirstToken: (request: OfferedRequest, firstMs: Millis) => void;
  readonly recordUnserved: (request: OfferedRequest, outcome: UnservedOutcome) => void;
}

/** A prefill of a shared part counts as repeated only within this time after the last use. */
const REUSE_WINDOW_MS: Millis = 10_000;

export function createPrefillCounter(now: () => Millis): PrefillCounter {
  const lastUse = new Map<string, Millis>();
  let total = 0;
  let repeated = 0;
  return {
    record: (parts, firstUncached, tokens) => {
      total += tokens;
      parts.slice(0, -1).forEach(({ id, tokens: size }, i) => {
        const used = lastUse.get(id);
        const isRecent = used !== undefined && now() - used < REUSE_WINDOW_MS;
        if (i >= firstUncached && isRecent) repeated += size;
        lastUse.set(id, now());
      });
    },
    totalTokens: () => total,
    repeatedTokens: () => repeated,
  };
}

export function createResults(prefillCounter: PrefillCounter): FleetResults {
  const all = createTally();
  const bySecond = new Map<number, Tally>();
  const byCustomer = new Map<number, Tally>();
  const byRoute = new Map<string, Tally>();
  const talliesOf = ({ at, customer, route }: OfferedRequest) => [
    all,
    getOrCreateTally(bySecond, Math.floor(at / MS_PER_SECOND)),
    getOrCreateTally(byCustomer, customer),
    getOrCreateTally(byRoute, route.name),
  ];
  return {
    all,
    bySecond,
    byCustomer,
    byRoute,
    prefillCounter,
    recordRequest: (request) => {
      talliesOf(request).forEach((tally) => {
        tally.requests += 1;
        tally.requestedTokens += weightedTokens(request);
      });
    },
    recordFirstToken: (request, firstMs) => {
      const isInTime = firstMs <= request.route.objectiveMs;
      talliesOf(request).forEach((tally) => {
        if (isInTime) tally.inTime += 1;
        else tally.late += 1;
        tally.startedTokens += weightedTokens(request);
      });
    },
    recordUnserved: (request, outcome) => {
      talliesOf(request).forEach((tally) => {
        tally[outcome] += 1;
      });
    },
  };
}

/** Token count of a request in which a generated token counts twice. */
function weightedTokens({ promptTokens, outputTokens }: OfferedRequest): number {
  return promptTokens + 2 * outputTokens;
}

function createTally(): Tally {
  return {
    requests: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    failed: 0,
    requestedTokens: 0,
    startedTokens: 0,
  };
}

function getOrCreateTally<K>(tallies: Map<K, Tally>, key: K): Tally {
  const tally = tallies.get(key) ?? createTally();
  tallies.set(key, tally);
  return tally;
}
