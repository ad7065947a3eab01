/**
 * Shares token capacity fairly among customers.
 *
 * Load pattern: a few customers at a time send several times their usual load, through different
 * instances, while the upstreams are saturated. Each customer is entitled to its max-min fair share
 * of the tokens that the upstreams process: customers that ask for less than an even share get all
 * of it, the others get equal amounts. Every instance measures the requested and admitted token
 * rate of each customer over the last seconds and sends the rates to the others, so that all
 * instances compute about the same level.
 */
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import { hash32 } from '../../core/hash.js';
import type { RoutingContext } from '../context.js';
import { remoteRates } from '../exchange/fleetSums.js';
import { createDecayingCounts, decay, type DecayingCounts } from '../decay.js';
import type { CustomerName } from '../types.js';
import type { TokenRates } from './sharesState.js';

/** Time constant of the decaying rates. */
const RATE_TIME_CONSTANT_MS: Millis = 2_000;
/** Cost of a generated token relative to a prompt token. */
const OUTPUT_TOKEN_COST = 2;
/**
 * Margin of the estimated capacity, as a fraction of the admitted rate, since a few refusals do not
 * prove that the capacity is exhausted.
 */
const CAPACITY_MARGIN = 0.05;
/** Additional margin if nothing waits at the upstreams. */
const IDLE_CAPACITY_MARGIN = 3;
/** Requested tokens per second below which a customer is removed. */
const NEGLIGIBLE_RATE = 1;

/** Returns the cost of a request in tokens. */
export function requestCost(promptTokens: number, outputTokens: number): number {
  return promptTokens + OUTPUT_TOKEN_COST * outputTokens;
}

export function recordTokenDemand(
  ctx: RoutingContext,
  customer: CustomerName,
  tokens: number,
): void {
  const rates = decayedRates(ctx, customer);
  rates.asked += (tokens * MS_PER_SECOND) / RATE_TIME_CONSTANT_MS;
}

export function recordAdmitted(ctx: RoutingContext, customer: CustomerName, tokens: number): void {
  const rates = decayedRates(ctx, customer);
  rates.admitted += (tokens * MS_PER_SECOND) / RATE_TIME_CONSTANT_MS;
}

/** Returns the current rates of this instance and removes negligible ones. */
export function localRates(ctx: RoutingContext): ReadonlyMap<CustomerName, TokenRates> {
  const rates = new Map<CustomerName, TokenRates>();
  ctx.state.shares.customerRates.forEach((_, customer) => {
    const { asked, admitted } = decayedRates(ctx, customer);
    if (asked < NEGLIGIBLE_RATE) ctx.state.shares.customerRates.delete(customer);
    else rates.set(customer, { asked, admitted });
  });
  return rates;
}

/** A customer's rates and the fair level across the fleet. */
export interface FairShareUsage extends TokenRates {
  /** Tokens per second that no customer may exceed while demand exceeds capacity. */
  readonly level: number;
  /** 1 if nothing waits at the upstreams, 0 if they are saturated. */
  readonly idleness: number;
}

/** Sums the rates of all instances and computes a customer's share. */
export function computeShare(
  ctx: RoutingContext,
  customer: CustomerName,
  idleness: number,
): FairShareUsage {
  const sums = new Map<number, { asked: number; admitted: number }>();
  const add = (key: number, { asked, admitted }: TokenRates) => {
    const sum = sums.get(key) ?? { asked: 0, admitted: 0 };
    sum.asked += asked;
    sum.admitted += admitted;
    sums.set(key, sum);
  };
  localRates(ctx).forEach((rates, name) => add(hash32(name), rates));
  remoteRates(ctx).forEach((rates, key) => add(key, rates));
  const all = [...sums.values()];
  const totalAdmitted = all.reduce((sum, { admitted }) => sum + admitted, 0);
  // While requests are refused and the upstreams are busy, the admitted rate is the capacity. A
  // nominal capacity would be too high while upstreams are lost, and the customers that ask for
  // most would then get most. If the upstreams are idle, there is more capacity, however little was
  // admitted.
  const margin = 1 + CAPACITY_MARGIN + IDLE_CAPACITY_MARGIN * idleness;
  const capacity = totalAdmitted > 0 ? totalAdmitted * margin : Infinity;
  const level = fairLevel(
    all.map(({ asked }) => asked),
    capacity,
  );
  const own = sums.get(hash32(customer)) ?? { asked: 0, admitted: 0 };
  return { ...own, level, idleness };
}

/**
 * Returns the max-min fair level of `capacity` among demands: each demand gets the lesser of itself
 * and the level, and the capacity is used up. Returns `Infinity` without contention.
 */
export function fairLevel(demands: readonly number[], capacity: number): number {
  const sorted = [...demands].sort((a, b) => a - b);
  let remaining = capacity;
  for (let i = 0; i < sorted.length; i += 1) {
    const evenShare = remaining / (sorted.length - i);
    const demand = sorted[i] ?? 0;
    if (demand > evenShare) return evenShare;
    remaining -= demand;
  }
  return Infinity;
}

function decayedRates(ctx: RoutingContext, customer: CustomerName): DecayingCounts {
  const { customerRates } = ctx.state.shares;
  const rates = customerRates.get(customer) ?? createDecayingCounts(ctx.now);
  customerRates.set(customer, rates);
  decay(rates, ctx.now, RATE_TIME_CONSTANT_MS);
  return rates;
}
