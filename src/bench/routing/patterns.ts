/**
 * Load patterns for emulated fleets: long drafts over some hundred shared parts, short questions and
 * labels, at a usual load and at the worst ones. Sizes and rates are those of a deployment with
 * thirteen engines in three regions.
 */
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import { createRandom, type Random } from '../../core/random.js';
import type { PrefixPart, Route } from '../../routing/types.js';
import type { FleetShape, OfferedRequest } from './emulatedFleet.js';

/** A kind of request. */
export interface RequestKind {
  readonly route: Route;
  readonly perSecond: number;
  /** Shared parts in order: how many there are, and their tokens. */
  readonly shared: readonly { readonly count: number; readonly tokens: number }[];
  readonly ownTokens: number;
  readonly ownSpread: number;
  readonly outputTokens: number;
  readonly deadlineMs: Millis;
}

export interface LoadPattern {
  readonly name: string;
  /** What is asked for at a time, as a multiple of the usual. */
  readonly load: (at: Millis) => number;
  /** Customers that ask for a multiple of their usual, at one failure domain. */
  readonly hot?: { readonly customers: number; readonly factor: number };
  /** Time at which an engine ends. */
  readonly engineLostAt?: Millis;
  /** Time at which all instances start again. */
  readonly restartAt?: Millis;
}

const route = (name: string, objectiveMs: Millis, timeoutMs: Millis): Route => ({
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

export const KINDS: readonly RequestKind[] = [
  {
    route: route('draft', 500, 12_000),
    perSecond: 65,
    shared: [
      { count: 1, tokens: 512 },
      { count: 491, tokens: 4_870 },
    ],
    ownTokens: 6_610,
    ownSpread: 1,
    outputTokens: 384,
    deadlineMs: 12_000,
  },
  {
    route: route('chat', 300, 12_000),
    perSecond: 38,
    shared: [
      { count: 8, tokens: 119 },
      { count: 288, tokens: 79 },
    ],
    ownTokens: 628,
    ownSpread: 0.8,
    outputTokens: 294,
    deadlineMs: 12_000,
  },
  {
    route: route('tag', 300, 2_500),
    perSecond: 110,
    shared: [
      { count: 40, tokens: 341 },
      { count: 563, tokens: 227 },
    ],
    ownTokens: 1_800,
    ownSpread: 1,
    outputTokens: 23,
    deadlineMs: 2_500,
  },
];

export const SHAPE: FleetShape = {
  engine: {
    slots: 32,
    memoryTokens: 942_185,
    stepMs: 3.55,
    stepMsPerRequest: 0.0462,
    readTokensPerMs: 157,
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
  routes: KINDS.map((kind) => kind.route),
  customers: 12,
};

const between = (at: Millis, from: Millis, until: Millis) => at >= from && at < until;

export const PATTERNS: readonly LoadPattern[] = [
  { name: 'usual', load: () => 1 },
  { name: 'double for 8 s', load: (at) => (between(at, 6_000, 14_000) ? 2 : 1) },
  { name: 'triple throughout', load: () => 3 },
  { name: 'one customer twelvefold', load: () => 1, hot: { customers: 1, factor: 12 } },
  { name: 'six customers fivefold', load: () => 1, hot: { customers: 6, factor: 5 } },
  { name: 'an engine lost at usual load', load: () => 1, engineLostAt: 8_000 },
  { name: 'all restart at 1.5 times the load', load: () => 1.5, restartAt: 4_000 },
];

const TICK_MS: Millis = 10;
const RETURNS = 1;

/** Draws the requests of a pattern. */
export function drawRequests(
  pattern: LoadPattern,
  lengthMs: Millis,
  seed: number,
): readonly OfferedRequest[] {
  const random = createRandom(seed);
  const requests: OfferedRequest[] = [];
  for (let at = 0; at < lengthMs; at += TICK_MS) {
    KINDS.forEach((kind) => {
      for (let customer = 0; customer < SHAPE.customers; customer += 1) {
        const isHot = customer < (pattern.hot?.customers ?? 0);
        const rate = (kind.perSecond * pattern.load(at)) / SHAPE.customers;
        const factor = isHot ? (pattern.hot?.factor ?? 1) : 1;
        const expected = (rate * factor * TICK_MS) / MS_PER_SECOND;
        const count = Math.floor(expected + random.next());
        for (let i = 0; i < count; i += 1) {
          requests.push(drawRequest(random, kind, customer, isHot, at, requests.length));
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
  isHot: boolean,
  at: Millis,
  number: number,
): OfferedRequest {
  const domain = isHot ? SHAPE.domains[0] : SHAPE.domains[random.nextInt(SHAPE.domains.length)];
  const shared: PrefixPart[] = kind.shared.map(({ count, tokens }, level) => ({
    id: `${kind.route.name}-${level}-${drawSubject(random, count, customer)}`,
    tokens,
  }));
  const own = Math.max(1, Math.round(drawLogNormal(random, kind.ownTokens, kind.ownSpread)));
  const parts = [...shared, { id: `own-${number}`, tokens: own }];
  return {
    at: at + random.next() * TICK_MS,
    domain: domain?.id ?? '',
    customer,
    route: kind.route,
    parts,
    promptTokens: parts.reduce((sum, { tokens }) => sum + tokens, 0),
    outputTokens: kind.outputTokens,
    deadlineMs: kind.deadlineMs,
    returns: RETURNS,
  };
}

/** Subjects belong to customers; a few of them are asked for more often. */
function drawSubject(random: Random, count: number, customer: number): number {
  const perCustomer = Math.max(1, Math.floor(count / SHAPE.customers));
  const skewed = Math.floor(random.next() ** 1.3 * perCustomer);
  return count < SHAPE.customers ? random.nextInt(count) : customer * perCustomer + skewed;
}

/** Draws from a log-normal distribution with a mean and a spread of its logarithm. */
function drawLogNormal(random: Random, mean: number, spread: number): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
  return mean * Math.exp(spread * normal - (spread * spread) / 2);
}
