/**
 * Fair shares of tokens among customers.
 *
 * Load pattern: a few customers at a time send several times their usual, at different instances,
 * while the upstreams are fully used. Each customer is owed its max-min share of what the upstreams
 * process: those that ask for less than an even share get all of it, the others the same amount.
 * Every instance counts what each customer asks for and gets, as rates over the last seconds, and
 * tells the others, so that all of them reach about the same level.
 */
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import { hash32 } from '../../core/hash.js';
import type { RoutingContext } from '../context.js';
import { peersRates } from '../exchange/fleetSums.js';
import { createDecayingCounts, decay, type DecayingCounts } from '../decay.js';
import type { CustomerName } from '../types.js';
import type { TokenRates } from './sharesState.js';

/** Time constant of the rates. */
const RATE_SPAN_MS: Millis = 2_000;
/** A generated token costs as much as two that are read. */
const OUTPUT_TOKEN_PRICE = 2;
/** Few refusals do not yet mean that there is no capacity left. */
const CAPACITY_MARGIN = 0.05;
/** Part of what is admitted by which there may be more where nothing waits at the upstreams. */
const IDLE_MARGIN = 3;
/** Customers that ask for less than this are forgotten. */
const NEGLIGIBLE_RATE = 1;

/** Price of a request in tokens. */
export function tokensOf(promptTokens: number, outputTokens: number): number {
  return promptTokens + OUTPUT_TOKEN_PRICE * outputTokens;
}

export function noteAsked(ctx: RoutingContext, customer: CustomerName, tokens: number): void {
  const rates = decayed(ctx, customer);
  rates.asked += (tokens * MS_PER_SECOND) / RATE_SPAN_MS;
}

export function noteAdmitted(ctx: RoutingContext, customer: CustomerName, tokens: number): void {
  const rates = decayed(ctx, customer);
  rates.admitted += (tokens * MS_PER_SECOND) / RATE_SPAN_MS;
}

/** This instance's rates now, without those that are negligible. */
export function ownRates(ctx: RoutingContext): ReadonlyMap<CustomerName, TokenRates> {
  const rates = new Map<CustomerName, TokenRates>();
  ctx.state.shares.own.forEach((_, customer) => {
    const { asked, admitted } = decayed(ctx, customer);
    if (asked < NEGLIGIBLE_RATE) ctx.state.shares.own.delete(customer);
    else rates.set(customer, { asked, admitted });
  });
  return rates;
}

/** Where a customer stands with regard to its share of the fleet's tokens. */
export interface Standing extends TokenRates {
  /** Tokens per second that no customer exceeds while others want more than they get. */
  readonly level: number;
  /** 1 where nothing waits at the upstreams, 0 where they are kept busy. */
  readonly idleness: number;
}

/** Sums the rates of all instances and finds a customer's standing. */
export function standingOf(
  ctx: RoutingContext,
  customer: CustomerName,
  idleness: number,
): Standing {
  const sums = new Map<number, { asked: number; admitted: number }>();
  const add = (key: number, { asked, admitted }: TokenRates) => {
    const sum = sums.get(key) ?? { asked: 0, admitted: 0 };
    sum.asked += asked;
    sum.admitted += admitted;
    sums.set(key, sum);
  };
  ownRates(ctx).forEach((rates, name) => add(hash32(name), rates));
  peersRates(ctx).forEach((rates, key) => add(key, rates));
  const all = [...sums.values()];
  const admittedInAll = all.reduce((sum, { admitted }) => sum + admitted, 0);
  // What is admitted while some are refused and the upstreams are busy is what they can process. A
  // nominal figure would be too high while upstreams are lost, and then whoever asks most would get
  // most. Where they are idle there is more, however little was admitted.
  const margin = 1 + CAPACITY_MARGIN + IDLE_MARGIN * idleness;
  const capacity = admittedInAll > 0 ? admittedInAll * margin : Infinity;
  const level = fairLevel(
    all.map(({ asked }) => asked),
    capacity,
  );
  const own = sums.get(hash32(customer)) ?? { asked: 0, admitted: 0 };
  return { ...own, level, idleness };
}

/**
 * Max-min level of `capacity` among demands: each gets the lesser of its demand and the level, and
 * all of the capacity is used. Without contention it is unbounded.
 */
export function fairLevel(demands: readonly number[], capacity: number): number {
  const sorted = [...demands].sort((a, b) => a - b);
  let left = capacity;
  for (let i = 0; i < sorted.length; i += 1) {
    const even = left / (sorted.length - i);
    const demand = sorted[i] ?? 0;
    if (demand > even) return even;
    left -= demand;
  }
  return Infinity;
}

function decayed(ctx: RoutingContext, customer: CustomerName): DecayingCounts {
  const { own } = ctx.state.shares;
  const rates = own.get(customer) ?? createDecayingCounts(ctx.now);
  own.set(customer, rates);
  decay(rates, ctx.now, RATE_SPAN_MS);
  return rates;
}
