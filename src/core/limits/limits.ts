/**
 * Limits per customer over the whole fleet: waiting requests and bytes, requests at a time, and
 * rate. Instances exchange their use (`limitUsage.ts`); between two exchanges each may take its
 * part of what is left. A refusal is told at once and is always true: the request was not run.
 */
import type { CoreContext } from '../context.js';
import { MS_PER_SECOND, type Millis } from '../clock.js';
import type { DiagnosticCode } from '../diagnostics.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, NotRunProblem } from '../types.js';
import type { FleetUse, LimitUse, LocalUse } from './limitsState.js';

/** Time constant of the count of arrivals. */
const ARRIVALS_WINDOW_MS: Millis = 10_000;

/** Burst that the rate limit admits, as a time at the full rate. */
const BURST_MS: Millis = 1_000;

/** `Retry-After` of a refusal because of waiting work. */
const WAITING_RETRY_MS: Millis = 1_000;

export interface Admitted {
  readonly kind: 'admitted';
}

export interface LimitRefusal {
  readonly kind: 'refused';
  readonly problem: NotRunProblem;
}

export type Admission = Admitted | LimitRefusal;

/** Checks a new request of `bytes` against its customer's limits and counts its arrival. */
export function admit(ctx: CoreContext, customer: CustomerNumber, bytes: number): Admission {
  const { state, now } = ctx;
  const limits = state.configuration.view?.customers.get(customer)?.limits;
  if (limits === undefined) return { kind: 'admitted' };
  const use = localUse(state, customer, now);
  noteArrival(use, now);
  const fleet = fleetUse(state, customer, now);
  if (!hasRoom(limits.waitingRequests, 'waiting', 1, use, fleet)) {
    return refuse('waitingLimit', WAITING_RETRY_MS);
  }
  if (!hasRoom(limits.waitingBytes, 'bytes', bytes, use, fleet)) {
    return refuse('waitingBytesLimit', WAITING_RETRY_MS);
  }
  const waitMs = takeRateToken(limits.rate, use, fleet, now);
  return waitMs > 0 ? refuse('rateLimit', waitMs) : { kind: 'admitted' };
}

/**
 * Returns how many more requests of a customer may run at this instance now. The limit is divided
 * by the instances' demand, running and waiting; each that has any gets at least one.
 */
export function concurrencyHeadroom(state: CoreState, customer: CustomerNumber): number {
  const limit = state.configuration.view?.customers.get(customer)?.limits.concurrency ?? Infinity;
  const running = state.limits.local.get(customer)?.running ?? 0;
  const fleet = state.limits.fleet.get(customer);
  // Until the fleet's use is known, each instance takes an even part.
  if (fleet === undefined) return Math.ceil(limit / state.membership.members.size) - running;
  const own = demandOf(fleet.own);
  const total = Math.max(own, demandOf(fleet));
  if (total === 0) return limit - running;
  return Math.max(1, Math.floor((limit * own) / total)) - running;
}

function demandOf(use: LimitUse): number {
  return use.running + use.waiting;
}

/** Counts a request that began or ceased to wait. */
export function noteQueued(
  ctx: { readonly state: CoreState },
  customer: CustomerNumber,
  requests: 1 | -1,
  bytes: number,
): void {
  const use = localUse(ctx.state, customer, 0);
  use.waiting = Math.max(0, use.waiting + requests);
  use.bytes = Math.max(0, use.bytes + requests * bytes);
}

/** Counts a request that began or ceased to run. */
export function noteRunning(state: CoreState, customer: CustomerNumber, requests: 1 | -1): void {
  const use = localUse(state, customer, 0);
  use.running = Math.max(0, use.running + requests);
}

/** Returns the arrivals of about the last ten seconds. */
export function recentArrivals(use: LocalUse, now: Millis): number {
  return use.arrivals * Math.exp(-(now - use.arrivalsAt) / ARRIVALS_WINDOW_MS);
}

function localUse(state: CoreState, customer: CustomerNumber, now: Millis): LocalUse {
  const { local } = state.limits;
  const known = local.get(customer);
  if (known !== undefined) return known;
  const rate = state.configuration.view?.customers.get(customer)?.limits.rate ?? 0;
  const use: LocalUse = {
    waiting: 0,
    bytes: 0,
    running: 0,
    arrivals: 0,
    arrivalsAt: now,
    tokens: burstOf(rate),
    tokensAt: now,
  };
  local.set(customer, use);
  return use;
}

function fleetUse(state: CoreState, customer: CustomerNumber, now: Millis): FleetUse | undefined {
  const fleet = state.limits.fleet.get(customer);
  return fleet !== undefined && fleet.until > now ? fleet : undefined;
}

function hasRoom(
  limit: number,
  kind: keyof LimitUse,
  amount: number,
  use: LocalUse,
  fleet: FleetUse | undefined,
): boolean {
  const own = use[kind] + amount;
  if (fleet === undefined) return own <= limit;
  const others = Math.max(0, fleet[kind] - fleet.own[kind]);
  if (others + own > limit) return false;
  const part = (limit - fleet[kind]) / Math.max(1, fleet.users);
  return own - fleet.own[kind] <= Math.max(amount, part);
}

function noteArrival(use: LocalUse, now: Millis): void {
  use.arrivals = recentArrivals(use, now) + 1;
  use.arrivalsAt = now;
}

/** Takes a token, or returns the time until one is there. The rate is divided by arrivals. */
function takeRateToken(
  rate: number,
  use: LocalUse,
  fleet: FleetUse | undefined,
  now: Millis,
): Millis {
  const total = fleet === undefined ? 0 : fleet.arrivals - fleet.own.arrivals + use.arrivals;
  const share = total > 0 ? Math.min(1, use.arrivals / total) : 1;
  const ownRate = rate * share;
  const earned = ((now - use.tokensAt) * ownRate) / MS_PER_SECOND;
  use.tokens = Math.min(burstOf(ownRate), use.tokens + Math.max(0, earned));
  use.tokensAt = now;
  if (use.tokens >= 1) {
    use.tokens -= 1;
    return 0;
  }
  return Math.ceil(((1 - use.tokens) * MS_PER_SECOND) / Math.max(ownRate, Number.MIN_VALUE));
}

function burstOf(rate: number): number {
  return Math.max(1, (rate * BURST_MS) / MS_PER_SECOND);
}

function refuse(code: DiagnosticCode, retryAfterMs: Millis): LimitRefusal {
  const problem: NotRunProblem = {
    code,
    status: 429,
    executed: 'no',
    step: 'admit',
    peer: { kind: 'self' },
    retryAfterMs,
  };
  return { kind: 'refused', problem };
}
