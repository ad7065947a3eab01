/**
 * Fleet-wide limits per customer: waiting requests and bytes, concurrent requests and request rate.
 * Instances exchange their usage (`limitUsage.ts`); between two exchanges, each instance may use
 * its share of the remaining amount. A refusal is immediate; the refused request is never executed.
 */
import type { CoreContext } from '../context.js';
import { MS_PER_SECOND, type Millis } from '../clock.js';
import type { DiagnosticCode } from '../diagnostics.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, NotRunProblem } from '../types.js';
import type { FleetUsage, LimitUsage, LocalUsage } from './limitsState.js';

/** Time constant of the exponentially decaying arrival count. */
const ARRIVALS_WINDOW_MS: Millis = 10_000;

/** Burst admitted by the rate limit, as a duration at the full rate. */
const BURST_MS: Millis = 1_000;

/** `Retry-After` of a refusal caused by the limits on waiting requests. */
const WAITING_RETRY_MS: Millis = 1_000;

export interface Admitted {
  readonly kind: 'admitted';
}

export interface LimitRefusal {
  readonly kind: 'refused';
  readonly problem: NotRunProblem;
}

export type Admission = Admitted | LimitRefusal;

/** Checks a new request with a body of `bytes` against the limits of its customer and counts it. */
export function admitRequest(ctx: CoreContext, customer: CustomerNumber, bytes: number): Admission {
  const { state, now } = ctx;
  const limits = state.configuration.view?.customers.get(customer)?.limits;
  if (limits === undefined) return { kind: 'admitted' };
  const usage = getLocalUsage(state, customer, now);
  recordArrival(usage, now);
  const fleet = getFleetUsage(state, customer, now);
  if (!isWithinLimit(limits.waitingRequests, 'waiting', 1, usage, fleet)) {
    return createRefusal('waitingLimit', WAITING_RETRY_MS);
  }
  if (!isWithinLimit(limits.waitingBytes, 'bytes', bytes, usage, fleet)) {
    return createRefusal('waitingBytesLimit', WAITING_RETRY_MS);
  }
  const waitMs = consumeRateToken(limits.rate, usage, fleet, now);
  return waitMs > 0 ? createRefusal('rateLimit', waitMs) : { kind: 'admitted' };
}

/**
 * Returns how many more requests of a customer this instance may run now. The limit is divided in
 * proportion to the demand (running and waiting requests) of each instance; an instance with demand
 * gets at least one.
 */
export function concurrencyHeadroom(state: CoreState, customer: CustomerNumber): number {
  const limit = state.configuration.view?.customers.get(customer)?.limits.concurrency ?? Infinity;
  const running = state.limits.local.get(customer)?.running ?? 0;
  const fleet = state.limits.fleet.get(customer);
  // Until the usage of the fleet is known, the limit is divided evenly.
  if (fleet === undefined) return Math.ceil(limit / state.membership.members.size) - running;
  const own = totalDemand(fleet.own);
  const total = Math.max(own, totalDemand(fleet));
  if (total === 0) return limit - running;
  return Math.max(1, Math.floor((limit * own) / total)) - running;
}

function totalDemand(usage: LimitUsage): number {
  return usage.running + usage.waiting;
}

/** Updates the number and total size of waiting requests when a request starts or stops waiting. */
export function updateWaitingUsage(
  ctx: { readonly state: CoreState },
  customer: CustomerNumber,
  requests: 1 | -1,
  bytes: number,
): void {
  const usage = getLocalUsage(ctx.state, customer, 0);
  usage.waiting = Math.max(0, usage.waiting + requests);
  usage.bytes = Math.max(0, usage.bytes + requests * bytes);
}

/** Updates the number of running requests when a request starts or stops running. */
export function updateRunningUsage(
  state: CoreState,
  customer: CustomerNumber,
  requests: 1 | -1,
): void {
  const usage = getLocalUsage(state, customer, 0);
  usage.running = Math.max(0, usage.running + requests);
}

/** Returns the approximate number of arrivals in the last ten seconds. */
export function recentArrivals(usage: LocalUsage, now: Millis): number {
  return usage.arrivals * Math.exp(-(now - usage.arrivalsAt) / ARRIVALS_WINDOW_MS);
}

function getLocalUsage(state: CoreState, customer: CustomerNumber, now: Millis): LocalUsage {
  const { local } = state.limits;
  const existing = local.get(customer);
  if (existing !== undefined) return existing;
  const rate = state.configuration.view?.customers.get(customer)?.limits.rate ?? 0;
  const usage: LocalUsage = {
    waiting: 0,
    bytes: 0,
    running: 0,
    arrivals: 0,
    arrivalsAt: now,
    tokens: burstSize(rate),
    tokensAt: now,
  };
  local.set(customer, usage);
  return usage;
}

function getFleetUsage(
  state: CoreState,
  customer: CustomerNumber,
  now: Millis,
): FleetUsage | undefined {
  const fleet = state.limits.fleet.get(customer);
  return fleet !== undefined && fleet.until > now ? fleet : undefined;
}

function isWithinLimit(
  limit: number,
  kind: keyof LimitUsage,
  amount: number,
  usage: LocalUsage,
  fleet: FleetUsage | undefined,
): boolean {
  const own = usage[kind] + amount;
  if (fleet === undefined) return own <= limit;
  const others = Math.max(0, fleet[kind] - fleet.own[kind]);
  if (others + own > limit) return false;
  const share = (limit - fleet[kind]) / Math.max(1, fleet.users);
  return own - fleet.own[kind] <= Math.max(amount, share);
}

function recordArrival(usage: LocalUsage, now: Millis): void {
  usage.arrivals = recentArrivals(usage, now) + 1;
  usage.arrivalsAt = now;
}

/**
 * Takes a token and returns 0, or returns the time until one is available. The rate is divided
 * among the instances in proportion to their arrivals.
 */
function consumeRateToken(
  rate: number,
  usage: LocalUsage,
  fleet: FleetUsage | undefined,
  now: Millis,
): Millis {
  const total = fleet === undefined ? 0 : fleet.arrivals - fleet.own.arrivals + usage.arrivals;
  const share = total > 0 ? Math.min(1, usage.arrivals / total) : 1;
  const ownRate = rate * share;
  const earned = ((now - usage.tokensAt) * ownRate) / MS_PER_SECOND;
  usage.tokens = Math.min(burstSize(ownRate), usage.tokens + Math.max(0, earned));
  usage.tokensAt = now;
  if (usage.tokens >= 1) {
    usage.tokens -= 1;
    return 0;
  }
  return Math.ceil(((1 - usage.tokens) * MS_PER_SECOND) / Math.max(ownRate, Number.MIN_VALUE));
}

function burstSize(rate: number): number {
  return Math.max(1, (rate * BURST_MS) / MS_PER_SECOND);
}

function createRefusal(code: DiagnosticCode, retryAfterMs: Millis): LimitRefusal {
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
