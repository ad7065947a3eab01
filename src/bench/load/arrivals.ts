/**
 * Generates the arrivals of an open-loop load: send times do not depend on responses. The steady
 * load and each flood of a customer are Poisson processes; all requests of a burst arrive at the
 * same time. Arrivals and contents are determined by the seed, and the content of each request is
 * unique.
 */
import type { Millis } from '../../core/clock.js';
import { MS_PER_SECOND } from '../../core/clock.js';
import { hash32 } from '../../core/hash.js';
import { createRandom, type Random } from '../../core/random.js';
import type { CallWork, CompletionWork, LoadCustomer, LoadFile } from './loadFile.js';

const WORD_RADIX = 36;
const WORD_RANGE = WORD_RADIX ** 4;

interface ArrivalBase {
  /** Unique within the load. */
  readonly id: string;
  readonly atMs: Millis;
  readonly customer: LoadCustomer;
  /** Number in [0, 1) from which the balancer picks the instance. */
  readonly instanceDraw: number;
}

export interface CompletionArrival extends ArrivalBase {
  readonly kind: 'completion';
  readonly work: CompletionWork;
  readonly system: string;
  readonly question: string;
  readonly promptWords: number;
  readonly maxTokens: number;
  readonly costHint: number | undefined;
}

export interface CallArrival extends ArrivalBase {
  readonly kind: 'call';
  readonly work: CallWork;
  /** Sent as `Idempotency-Key` unless the call is idempotent. A repeat uses the same key. */
  readonly key: string;
  readonly body: string;
}

/** A scheduled request. */
export type Arrival = CompletionArrival | CallArrival;

/** Returns all arrivals of a load, sorted by time. */
export function createArrivals(file: LoadFile): readonly Arrival[] {
  const arrivals = file.customers.flatMap((customer) => createCustomerArrivals(customer, file));
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

function createCustomerArrivals(customer: LoadCustomer, { seed, durationMs }: LoadFile): Arrival[] {
  const random = createRandom(hash32(customer.name, seed));
  const steady = drawPoissonTimes(random, 0, durationMs, customer.ratePerSecond);
  const floods = customer.floods.flatMap(({ fromMs, toMs, ratePerSecond }) =>
    drawPoissonTimes(random, fromMs, Math.min(toMs, durationMs), ratePerSecond),
  );
  const bursts = customer.bursts.flatMap(({ atMs, requests }) =>
    Array.from({ length: requests }, () => atMs),
  );
  return [...steady, ...floods, ...bursts].flatMap((atMs, i) => {
    const id = `load-${seed}-${customer.name}-${i}`;
    return withRepeat(createArrival(customer, id, atMs, random), random);
  });
}

/** Adds a repeat of a non-idempotent call, which goes to an independently picked instance. */
function withRepeat(arrival: Arrival, random: Random): readonly Arrival[] {
  if (arrival.kind !== 'call' || arrival.work.idempotent) return [arrival];
  const { repeatShare, repeatWithinMs } = arrival.work;
  if (random.next() >= repeatShare) return [arrival];
  const atMs = arrival.atMs + random.next() * repeatWithinMs;
  return [arrival, { ...arrival, id: `${arrival.id}-again`, atMs, instanceDraw: random.next() }];
}

function drawPoissonTimes(
  random: Random,
  fromMs: Millis,
  toMs: Millis,
  ratePerSecond: number,
): Millis[] {
  const times: Millis[] = [];
  if (ratePerSecond === 0) return times;
  const gap = () => (-Math.log(1 - random.next()) * MS_PER_SECOND) / ratePerSecond;
  for (let at = fromMs + gap(); at < toMs; at += gap()) times.push(at);
  return times;
}

function createArrival(customer: LoadCustomer, id: string, atMs: Millis, random: Random): Arrival {
  const work = pickWork(customer, random);
  const base = { id, atMs, customer, instanceDraw: random.next() };
  if (work.kind === 'call') {
    const size = drawRange(random, work.bodyBytes);
    return { ...base, kind: 'call', work, key: id, body: `${id} `.padEnd(size, '.') };
  }
  const promptWords = drawRange(random, work.promptWords);
  const maxTokens = drawRange(random, work.maxTokens);
  return {
    ...base,
    kind: 'completion',
    work,
    system: createSharedText(customer.name, work.sharedWords),
    question: [id, ...drawWords(random, promptWords - 1)].join(' '),
    promptWords: promptWords + work.sharedWords,
    maxTokens,
    costHint: drawCostHint(random, maxTokens, work.hintError),
  };
}

function pickWork({ mix }: LoadCustomer, random: Random): LoadCustomer['mix'][number] {
  const total = mix.reduce((sum, { share }) => sum + share, 0);
  let left = random.next() * total;
  const picked = mix.find(({ share }) => {
    left -= share;
    return left < 0;
  });
  return (picked ?? mix.at(-1)) as LoadCustomer['mix'][number];
}

function drawRange(random: Random, [low, high]: readonly [number, number]): number {
  return low + random.nextInt(high - low + 1);
}

function drawWords(random: Random, length: number): string[] {
  return Array.from({ length }, () => random.nextInt(WORD_RANGE).toString(WORD_RADIX));
}

function createSharedText(customer: string, words: number): string {
  return Array.from({ length: words }, (_, i) => `${customer}${i}`).join(' ');
}

function drawCostHint(random: Random, cost: number, error: number | undefined): number | undefined {
  if (error === undefined) return undefined;
  const factor = error ** (2 * random.next() - 1);
  return Math.max(1, Math.round(cost * factor));
}
