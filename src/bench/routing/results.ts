/** What callers of an emulated fleet got, and what its engines read. */
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import type { PrefixPart } from '../../routing/types.js';
import type { OfferedRequest } from './emulatedFleet.js';

export type Ending = 'refused' | 'failed';

/** Counts of requests, and tokens of those that began. */
export interface Tally {
  asked: number;
  inTime: number;
  late: number;
  refused: number;
  failed: number;
  askedTokens: number;
  begunTokens: number;
}

export interface ReadCounter {
  readonly count: (parts: readonly PrefixPart[], firstUncached: number, tokens: number) => void;
  /** Prompt tokens that engines read. */
  readonly tokens: () => number;
  /** Those of shared parts that some engine had read or used within the window before. */
  readonly again: () => number;
}

export interface FleetResults {
  readonly all: Tally;
  /** By the second of the first call, counted from the start of the simulation. */
  readonly bySecond: ReadonlyMap<number, Tally>;
  readonly byCustomer: ReadonlyMap<number, Tally>;
  readonly byRoute: ReadonlyMap<string, Tally>;
  readonly reads: ReadCounter;
  readonly asked: (request: OfferedRequest) => void;
  /** Takes in the time to a first event, counted from the caller's first call. */
  readonly first: (request: OfferedRequest, firstMs: Millis) => void;
  readonly end: (request: OfferedRequest, ending: Ending) => void;
}

/** Reading a part again counts only this long after its last use. */
const REUSE_WINDOW_MS: Millis = 10_000;

export function createReadCounter(now: () => Millis): ReadCounter {
  const lastUse = new Map<string, Millis>();
  let read = 0;
  let again = 0;
  return {
    count: (parts, firstUncached, tokens) => {
      read += tokens;
      parts.slice(0, -1).forEach(({ id, tokens: size }, i) => {
        const used = lastUse.get(id);
        const isRecent = used !== undefined && now() - used < REUSE_WINDOW_MS;
        if (i >= firstUncached && isRecent) again += size;
        lastUse.set(id, now());
      });
    },
    tokens: () => read,
    again: () => again,
  };
}

export function createResults(reads: ReadCounter): FleetResults {
  const all = createTally();
  const bySecond = new Map<number, Tally>();
  const byCustomer = new Map<number, Tally>();
  const byRoute = new Map<string, Tally>();
  const talliesOf = ({ at, customer, route }: OfferedRequest) => [
    all,
    tallyOf(bySecond, Math.floor(at / MS_PER_SECOND)),
    tallyOf(byCustomer, customer),
    tallyOf(byRoute, route.name),
  ];
  return {
    all,
    bySecond,
    byCustomer,
    byRoute,
    reads,
    asked: (request) => {
      talliesOf(request).forEach((tally) => {
        tally.asked += 1;
        tally.askedTokens += tokensOf(request);
      });
    },
    first: (request, firstMs) => {
      const isInTime = firstMs <= request.route.objectiveMs;
      talliesOf(request).forEach((tally) => {
        if (isInTime) tally.inTime += 1;
        else tally.late += 1;
        tally.begunTokens += tokensOf(request);
      });
    },
    end: (request, ending) => {
      talliesOf(request).forEach((tally) => {
        tally[ending] += 1;
      });
    },
  };
}

/** A token that is generated counts twice. */
function tokensOf({ promptTokens, outputTokens }: OfferedRequest): number {
  return promptTokens + 2 * outputTokens;
}

function createTally(): Tally {
  return {
    asked: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    failed: 0,
    askedTokens: 0,
    begunTokens: 0,
  };
}

function tallyOf<K>(tallies: Map<K, Tally>, key: K): Tally {
  const tally = tallies.get(key) ?? createTally();
  tallies.set(key, tally);
  return tally;
}
