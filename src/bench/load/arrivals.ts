/**
 * Arrivals of an open-loop load: when each request is sent does not depend on the answers. A
 * customer's steady requests and each of its floods are Poisson processes; bursts arrive at once.
 * All content follows from the seed, and each request has a content of its own.
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
  /** Number in [0, 1) that chooses the instance. */
  readonly balance: number;
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
  /** Sent as `Idempotency-Key` unless the call is idempotent; a repeat has the key of the first. */
  readonly key: string;
  readonly body: string;
}

/** A request that is to be sent. */
export type Arrival = CompletionArrival | CallArrival;

/** All arrivals of a load in the order of their times. */
export function createArrivals(file: LoadFile): readonly Arrival[] {
  const arrivals = file.customers.flatMap((customer) => arrivalsOf(customer, file));
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

function arrivalsOf(customer: LoadCustomer, { seed, durationMs }: LoadFile): Arrival[] {
  const random = createRandom(hash32(customer.name, seed));
  const steady = poisson(random, 0, durationMs, customer.ratePerSecond);
  const floods = customer.floods.flatMap(({ fromMs, toMs, ratePerSecond }) =>
    poisson(random, fromMs, Math.min(toMs, durationMs), ratePerSecond),
  );
  const bursts = customer.bursts.flatMap(({ atMs, requests }) =>
    Array.from({ length: requests }, () => atMs),
  );
  return [...steady, ...floods, ...bursts].flatMap((atMs, i) => {
    const id = `load-${seed}-${customer.name}-${i}`;
    return withRepeat(createArrival(customer, id, atMs, random), random);
  });
}

/** Adds the second sending of a call, through an instance of its own. */
function withRepeat(arrival: Arrival, random: Random): readonly Arrival[] {
  if (arrival.kind !== 'call' || arrival.work.idempotent) return [arrival];
  const { repeatShare, repeatWithinMs } = arrival.work;
  if (random.next() >= repeatShare) return [arrival];
  const atMs = arrival.atMs + random.next() * repeatWithinMs;
  return [arrival, { ...arrival, id: `${arrival.id}-again`, atMs, balance: random.next() }];
}

function poisson(random: Random, fromMs: Millis, toMs: Millis, ratePerSecond: number): Millis[] {
  const times: Millis[] = [];
  if (ratePerSecond === 0) return times;
  const gap = () => (-Math.log(1 - random.next()) * MS_PER_SECOND) / ratePerSecond;
  for (let at = fromMs + gap(); at < toMs; at += gap()) times.push(at);
  return times;
}

function createArrival(customer: LoadCustomer, id: string, atMs: Millis, random: Random): Arrival {
  const work = pickWork(customer, random);
  const base = { id, atMs, customer, balance: random.next() };
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
    system: sharedText(customer.name, work.sharedWords),
    question: [id, ...drawWords(random, promptWords - 1)].join(' '),
    promptWords: promptWords + work.sharedWords,
    maxTokens,
    costHint: hintOf(random, maxTokens, work.hintError),
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

function sharedText(customer: string, words: number): string {
  return Array.from({ length: words }, (_, i) => `${customer}${i}`).join(' ');
}

function hintOf(random: Random, cost: number, error: number | undefined): number | undefined {
  if (error === undefined) return undefined;
  const factor = error ** (2 * random.next() - 1);
  return Math.max(1, Math.round(cost * factor));
}
