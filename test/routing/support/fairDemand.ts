/**
 * Random loads of a fleet in which a few customers ask for most, and the measure of what each customer got
 * of them. Customers differ in size, in the failure domains and the number of their callers, and in the
 * prompt parts that their requests share. Each caller reaches one instance.
 */
import { createRandom, type Random } from '../../../src/core/random.js';
import {
  createEmulatedFleet,
  type EmulatedLogLine,
} from '../../../src/bench/routing/emulatedFleet.js';
import type {
  FleetObservation,
  FleetShape,
  OfferedRequest,
} from '../../../src/bench/routing/fleetShape.js';
import {
  FLEET_SHAPE,
  REQUEST_KINDS,
  type RequestKind,
} from '../../../src/bench/routing/patterns.js';
import type { FleetResults } from '../../../src/bench/routing/results.js';
import { createSimulation } from '../../../src/bench/routing/simulation.js';
import type { PrefixPart } from '../../../src/routing/types.js';

/** Time before the first request, in which instances discover each other. */
const WARM_UP_MS = 3_000;
const DRAIN_MS = 1_000;
const SECOND_MS = 1_000;
/** Length of the windows in which customers are compared. */
const WINDOW_SECONDS = 6;
/** Largest requests of a customer that may be missing in a window. */
const SLACK_REQUESTS = 3;

export interface FairLoad {
  readonly seed: number;
  readonly shape: FleetShape;
  readonly seconds: number;
  /** Requests per second of all customers. */
  readonly requestsPerSecond: number;
  /** Requests of the first second, as a multiple of those of each later one. */
  readonly firstSecondFactor?: number;
  /** Requests per second of each customer, relative to the others. */
  readonly weights: readonly number[];
  /** Fraction of a customer's callers in the failure domain where most of them are. */
  readonly stickiness: number;
  /** Number of callers of all customers in each failure domain. */
  readonly callersPerDomain: number;
  readonly onLog?: (line: EmulatedLogLine) => void;
}

/** What a customer asked for and got in a window, in tokens. */
export interface WindowShare {
  readonly from: number;
  readonly customer: number;
  readonly asked: number;
  readonly got: number;
  /** What it should have got at least. */
  readonly owed: number;
  /** What the best served customer got. */
  readonly best: number;
}

const CUSTOMERS = 30;
const CALLERS_PER_DOMAIN = 48;

/** A fleet of 67 instances in six failure domains, in front of 42 model engines. */
export const LARGE_FLEET: FleetShape = {
  ...FLEET_SHAPE,
  engine: { ...FLEET_SHAPE.engine, slots: 24, memoryTokens: 827_528 },
  domains: [11, 12, 11, 12, 12, 9].map((instances, i) => ({
    id: 'abcdef'.charAt(i),
    instances,
    engines: 7,
  })),
  customers: CUSTOMERS,
};

export interface LoadShape {
  readonly requestsPerSecond: number;
  readonly firstSecondFactor: number;
  /** Exponent of the power law of the customers' sizes. */
  readonly skew: number;
  /** Customers that ask for a multiple of what their size would be, after the largest one. */
  readonly hotCustomers: number;
  readonly hotFactor: number;
  readonly stickiness: number;
}

/** Draws the size of a load, its burst at the start and its customers at random. */
export function drawLoad(seed: number): FairLoad {
  const random = createRandom(seed);
  const shape: LoadShape = {
    requestsPerSecond: Math.round(300 * 8 ** random.next()),
    firstSecondFactor: 1 + 5 * random.next(),
    skew: 1 + 1.1 * random.next(),
    hotCustomers: random.nextInt(14),
    hotFactor: 1 + 10 * random.next(),
    stickiness: random.next(),
  };
  return createLoad(seed, shape);
}

export function createLoad(seed: number, shape: LoadShape): FairLoad {
  const { skew, hotCustomers, hotFactor } = shape;
  const sizes = Array.from(
    { length: CUSTOMERS },
    (_, i) => (i + 1) ** -skew * (i > 0 && i <= hotCustomers ? hotFactor : 1),
  );
  const sum = sizes.reduce((all, size) => all + size, 0);
  return {
    seed,
    shape: LARGE_FLEET,
    seconds: 8,
    requestsPerSecond: shape.requestsPerSecond,
    firstSecondFactor: shape.firstSecondFactor,
    weights: sizes.map((size) => size / sum),
    stickiness: shape.stickiness,
    callersPerDomain: CALLERS_PER_DOMAIN,
  };
}

interface Caller {
  readonly customer: number;
  readonly domain: string;
  readonly instance: number;
}

export interface FairRun {
  readonly requests: readonly OfferedRequest[];
  readonly observations: readonly FleetObservation[];
  readonly results: FleetResults;
  readonly seconds: number;
}

/** Emulates a fleet under a load. */
export function runFairLoad(load: FairLoad): FairRun {
  const simulation = createSimulation();
  const observations: FleetObservation[] = [];
  const fleet = createEmulatedFleet({
    simulation,
    shape: load.shape,
    seed: load.seed,
    observe: (observation) => observations.push(observation),
    ...(load.onLog === undefined ? {} : { onLog: load.onLog }),
  });
  const requests = drawFairRequests(load);
  requests.forEach((request) => fleet.offer(request));
  simulation.runUntil(WARM_UP_MS + load.seconds * SECOND_MS + DRAIN_MS);
  return { requests, observations, results: fleet.results, seconds: load.seconds };
}

/** Draws requests at random times, each from a random caller of a customer. */
function drawFairRequests(load: FairLoad): readonly OfferedRequest[] {
  const random = createRandom(load.seed);
  const callers = drawCallers(load, random);
  const total = REQUEST_KINDS.reduce((sum, { requestsPerSecond }) => sum + requestsPerSecond, 0);
  const requests: OfferedRequest[] = [];
  load.weights.forEach((weight, customer) => {
    const ownCallers = callers.filter((caller) => caller.customer === customer);
    REQUEST_KINDS.forEach((kind) => {
      const perSecond = (load.requestsPerSecond * weight * kind.requestsPerSecond) / total;
      const endsAt = load.seconds * SECOND_MS;
      const rateAt = (at: number) =>
        perSecond * (at < SECOND_MS ? (load.firstSecondFactor ?? 1) : 1);
      for (
        let at = drawPause(random, rateAt(0));
        at < endsAt;
        at += drawPause(random, rateAt(at))
      ) {
        const caller = ownCallers[random.nextInt(ownCallers.length)] as Caller;
        requests.push(drawRequest(random, kind, caller, at + WARM_UP_MS, requests.length));
      }
    });
  });
  return requests.sort((a, b) => a.at - b.at);
}

/** Draws the callers of customers; a larger customer has more of them, and most of them are in one domain. */
function drawCallers(load: FairLoad, random: Random): readonly Caller[] {
  const { domains } = load.shape;
  return load.weights.flatMap((weight, customer) => {
    const count = Math.max(2, Math.round(load.callersPerDomain * domains.length * weight));
    const home = random.nextInt(domains.length);
    return Array.from({ length: count }, () => {
      const index = random.next() < load.stickiness ? home : random.nextInt(domains.length);
      const { id, instances } = domains[index] as FleetShape['domains'][number];
      return { customer, domain: id, instance: random.nextInt(instances) };
    });
  });
}

function drawRequest(
  random: Random,
  kind: RequestKind,
  { customer, domain, instance }: Caller,
  at: number,
  number: number,
): OfferedRequest {
  // The first part is shared by all customers, the next ones by the requests of one.
  const shared: PrefixPart[] = kind.sharedParts.map(({ count, tokens }, level) => {
    const owner = level > 0 ? `${customer}-` : '';
    return { id: `${kind.route.name}-${level}-${owner}${random.nextInt(count)}`, tokens };
  });
  const { uniqueTokens, uniqueTokensSigma: sigma } = kind;
  const drawn = Math.round(
    uniqueTokens * Math.exp(sigma * drawNormal(random) - (sigma * sigma) / 2),
  );
  const parts = [
    ...shared,
    { id: `own-${number}`, tokens: Math.min(8 * uniqueTokens, Math.max(1, drawn)) },
  ];
  return {
    at,
    domain,
    instance,
    customer,
    route: kind.route,
    parts,
    promptTokens: parts.reduce((sum, { tokens }) => sum + tokens, 0),
    outputTokens: kind.outputTokens,
    deadlineMs: kind.deadlineMs,
    maxRetries: 1,
  };
}

function drawPause(random: Random, perSecond: number): number {
  return (-Math.log(1 - random.next()) * SECOND_MS) / perSecond;
}

function drawNormal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}

/** Returns what each customer that waited all through a window got in it. */
export function measureShares(run: FairRun): readonly WindowShare[] {
  const starts = Array.from({ length: run.seconds - WINDOW_SECONDS + 1 }, (_, i) => i);
  return starts.flatMap((from) => measureWindow(run, from));
}

function measureWindow(run: FairRun, from: number): readonly WindowShare[] {
  const asked = createTable(run.requests);
  const got = createTable(
    run.observations.flatMap((seen) =>
      seen.kind === 'begun' ? [{ ...seen.offered, at: seen.at }] : [],
    ),
  );
  const refused = createTable(
    run.observations.flatMap((seen) =>
      seen.kind === 'refused' ? [{ ...seen.offered, at: seen.at }] : [],
    ),
  );
  const seconds = Array.from({ length: WINDOW_SECONDS }, (_, i) => from + i);
  const customers = [...new Set(run.requests.map(({ customer }) => customer))];
  const sum = (table: Table, customer: number) =>
    seconds.reduce((all, second) => all + tokensAt(table, customer, second), 0);
  const best = customers.reduce((a, b) => (sum(got, a) >= sum(got, b) ? a : b));
  return customers
    .filter((customer) => seconds.every((second) => tokensAt(refused, customer, second) > 0))
    .map((customer) => {
      const half = seconds.reduce(
        (all, second) =>
          all + Math.min(tokensAt(asked, customer, second), tokensAt(got, best, second)) / 2,
        0,
      );
      const largest = Math.max(
        ...run.requests.filter((request) => request.customer === customer).map(tokensOf),
      );
      return {
        from,
        customer,
        asked: sum(asked, customer),
        got: sum(got, customer),
        owed: Math.max(0, half - SLACK_REQUESTS * largest),
        best: sum(got, best),
      };
    });
}

/** Tokens by customer and second. */
type Table = ReadonlyMap<string, number>;

function createTable(requests: readonly OfferedRequest[]): Table {
  const table = new Map<string, number>();
  requests.forEach((request) => {
    const key = keyAt(request.customer, Math.floor((request.at - WARM_UP_MS) / SECOND_MS));
    table.set(key, (table.get(key) ?? 0) + tokensOf(request));
  });
  return table;
}

function tokensAt(table: Table, customer: number, second: number): number {
  return table.get(keyAt(customer, second)) ?? 0;
}

function keyAt(customer: number, second: number): string {
  return `${customer}:${second}`;
}

function tokensOf({ promptTokens, outputTokens }: OfferedRequest): number {
  return promptTokens + 2 * outputTokens;
}

/** Returns the fraction of the requests of some seconds that began, by the second in which they began. */
export function begunFraction(run: FairRun, from: number, until: number): number {
  const isWithin = ({ at }: { readonly at: number }) =>
    at >= WARM_UP_MS + from * SECOND_MS && at < WARM_UP_MS + until * SECOND_MS;
  const begun = run.observations.filter((seen) => seen.kind === 'begun' && isWithin(seen));
  return begun.length / run.requests.filter(isWithin).length;
}

/** Describes the windows in which a customer that waited got less than it was owed. */
export function describeBroken(run: FairRun): readonly string[] {
  return measureShares(run)
    .filter(({ got, owed }) => got < owed)
    .map(
      ({ from, customer, asked, got, owed, best }) =>
        `from ${from} s customer ${customer} asked for ${asked} and got ${got}, owed ${owed}; best ${best}`,
    );
}
