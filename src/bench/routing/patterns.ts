/**
 * Load patterns for emulated fleets: long drafts with several hundred distinct shared parts, short
 * chat questions and tagging requests, at the usual load and under the worst cases. Sizes and rates
 * are those of a deployment with thirteen engines in three regions.
 */
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import { createRandom, type Random } from '../../core/random.js';
import type { PrefixPart, Route } from '../../routing/types.js';
import type { FleetShape, OfferedRequest } from './fleetShape.js';

/** Route, rate and size distribution of a kind of request. */
export interface RequestKind {
  readonly route: Route;
  readonly requestsPerSecond: number;
  /** For each level of the shared prefix: the number of distinct parts and their size in tokens. */
  readonly sharedParts: readonly { readonly count: number; readonly tokens: number }[];
  /** Mean size of the part that no other request shares. */
  readonly uniqueTokens: number;
  /** Standard deviation of the logarithm of that size. */
  readonly uniqueTokensSigma: number;
  readonly outputTokens: number;
  readonly deadlineMs: Millis;
}

export interface LoadPattern {
  readonly name: string;
  /** Request rate at a time, as a multiple of the usual rate. */
  readonly loadFactor: (at: Millis) => number;
  /** Customers that send a multiple of their usual rate, all to the first failure domain. */
  readonly heavyCustomers?: { readonly customers: number; readonly factor: number };
  /** Time at which an engine crashes. */
  readonly engineFailsAt?: Millis;
  /** Time at which all instances restart. */
  readonly instancesRestartAt?: Millis;
}

const createRoute = (name: string, objectiveMs: Millis, timeoutMs: Millis): Route => ({
  name,
  host: 'orchard.example',
  pathPrefix: `/${name}/`,
  mode: 'stream',
  targets: [{ pool: 'models', weight: 1 }],
  maxUpstreams: 1,
  timeoutMs,
  objectiveMs,
  isPublic: false,
});

export const REQUEST_KINDS: readonly RequestKind[] = [
  {
    route: createRoute('draft', 500, 12_000),
    requestsPerSecond: 65,
    sharedParts: [
      { count: 1, tokens: 512 },
      { count: 491, tokens: 4_870 },
    ],
    uniqueTokens: 6_610,
    uniqueTokensSigma: 1,
    outputTokens: 384,
    deadlineMs: 12_000,
  },
  {
    route: createRoute('chat', 300, 12_000),
    requestsPerSecond: 38,
    sharedParts: [
      { count: 8, tokens: 119 },
      { count: 288, tokens: 79 },
    ],
    uniqueTokens: 628,
    uniqueTokensSigma: 0.8,
    outputTokens: 294,
    deadlineMs: 12_000,
  },
  {
    route: createRoute('tag', 300, 2_500),
    requestsPerSecond: 110,
    sharedParts: [
      { count: 40, tokens: 341 },
      { count: 563, tokens: 227 },
    ],
    uniqueTokens: 1_800,
    uniqueTokensSigma: 1,
    outputTokens: 23,
    deadlineMs: 2_500,
  },
];

export const FLEET_SHAPE: FleetShape = {
  engine: {
    slots: 32,
    memoryTokens: 942_185,
    stepMs: 3.55,
    stepMsPerRequest: 0.0462,
    prefillTokensPerMs: 157,
    chunkTokens: 2_048,
    startMs: 10,
  },
  domains: [
    { id: 'a', instances: 3, engines: 5 },
    { id: 'b', instances: 2, engines: 4 },
    { id: 'c', instances: 2, engines: 4 },
  ],
  crossRegionMs: 12,
  withinRegionMs: 0.2,
  callerMs: 3,
  routes: REQUEST_KINDS.map((kind) => kind.route),
  customers: 12,
};

const isWithin = (at: Millis, from: Millis, until: Millis) => at >= from && at < until;

export const LOAD_PATTERNS: readonly LoadPattern[] = [
  { name: 'usual', loadFactor: () => 1 },
  { name: 'double for 8 s', loadFactor: (at) => (isWithin(at, 6_000, 14_000) ? 2 : 1) },
  { name: 'triple throughout', loadFactor: () => 3 },
  {
    name: 'one customer twelvefold',
    loadFactor: () => 1,
    heavyCustomers: { customers: 1, factor: 12 },
  },
  {
    name: 'six customers fivefold',
    loadFactor: () => 1,
    heavyCustomers: { customers: 6, factor: 5 },
  },
  { name: 'an engine lost at usual load', loadFactor: () => 1, engineFailsAt: 8_000 },
  { name: 'all restart at 1.5 times the load', loadFactor: () => 1.5, instancesRestartAt: 4_000 },
];

const TICK_MS: Millis = 10;
const MAX_RETRIES = 1;

/** Generates the requests of a pattern. */
export function drawRequests(
  pattern: LoadPattern,
  lengthMs: Millis,
  seed: number,
): readonly OfferedRequest[] {
  const random = createRandom(seed);
  const requests: OfferedRequest[] = [];
  for (let at = 0; at < lengthMs; at += TICK_MS) {
    REQUEST_KINDS.forEach((kind) => {
      for (let customer = 0; customer < FLEET_SHAPE.customers; customer += 1) {
        const isHeavy = customer < (pattern.heavyCustomers?.customers ?? 0);
        const rate = (kind.requestsPerSecond * pattern.loadFactor(at)) / FLEET_SHAPE.customers;
        const factor = isHeavy ? (pattern.heavyCustomers?.factor ?? 1) : 1;
        const expected = (rate * factor * TICK_MS) / MS_PER_SECOND;
        const count = Math.floor(expected + random.next());
        for (let i = 0; i < count; i += 1) {
          requests.push(drawRequest(random, kind, customer, isHeavy, at, requests.length));
        }
      }
    });
  }
  return requests;
}

function drawRequest(
  random: Random,
  kind: RequestKind,
  customer: number,
  isHeavy: boolean,
  at: Millis,
  number: number,
): OfferedRequest {
  const domain = isHeavy
    ? FLEET_SHAPE.domains[0]
    : FLEET_SHAPE.domains[random.nextInt(FLEET_SHAPE.domains.length)];
  const shared: PrefixPart[] = kind.sharedParts.map(({ count, tokens }, level) => ({
    id: `${kind.route.name}-${level}-${drawPartIndex(random, count, customer)}`,
    tokens,
  }));
  const uniqueTokens = Math.max(
    1,
    Math.round(drawLogNormal(random, kind.uniqueTokens, kind.uniqueTokensSigma)),
  );
  const parts = [...shared, { id: `own-${number}`, tokens: uniqueTokens }];
  return {
    at: at + random.next() * TICK_MS,
    domain: domain?.id ?? '',
    customer,
    route: kind.route,
    parts,
    promptTokens: parts.reduce((sum, { tokens }) => sum + tokens, 0),
    outputTokens: kind.outputTokens,
    deadlineMs: kind.deadlineMs,
    maxRetries: MAX_RETRIES,
  };
}

/**
 * Draws the index of a shared part. Each customer has its own range of parts and uses the lower
 * ones more often; if there are fewer parts than customers, all customers share them.
 */
function drawPartIndex(random: Random, count: number, customer: number): number {
  const perCustomer = Math.max(1, Math.floor(count / FLEET_SHAPE.customers));
  const skewed = Math.floor(random.next() ** 1.3 * perCustomer);
  return count < FLEET_SHAPE.customers ? random.nextInt(count) : customer * perCustomer + skewed;
}

/**
 * Draws from a log-normal distribution with a given mean and standard deviation of the logarithm.
 */
function drawLogNormal(random: Random, mean: number, sigma: number): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
  return mean * Math.exp(sigma * normal - (sigma * sigma) / 2);
}
