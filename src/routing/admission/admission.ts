/**
 * Admission control: decides on arrival whether a request is sent to an upstream or refused.
 *
 * Demand exceeds the capacity of the upstreams for seconds at a time. Excess requests that are
 * admitted queue at the upstreams, which process them in order of arrival, until every answer is
 * late. A request is therefore refused if its first event is not expected within the objective of
 * its route; the caller is told when the backlog should have cleared.
 *
 * Because upstreams process requests in order of arrival, the requests of all routes to a pool
 * share one wait limit: that of the route with the shortest objective, whose requests would
 * otherwise never be admitted. The limit is adjusted slightly for routes whose requests are
 * admitted more or less often than the others. A customer that exceeds its fair share is refused
 * earlier, which leaves capacity to the other customers.
 */
import type { Millis } from '../../core/clock.js';
import type { Random } from '../../core/random.js';
import type { FairShareUsage } from '../shares/tokenShares.js';

export interface AdmissionInput {
  /** Expected time to the first event. */
  readonly firstEventMs: Millis;
  /** Expected time to the first event at an upstream without a queue. */
  readonly unloadedMs: Millis;
  /** Part of `unloadedMs` in which the upstream reads the request's own prompt. */
  readonly promptReadMs: Millis;
  /** Part of `firstEventMs` that passes at this instance. */
  readonly ownDelayMs?: Millis;
  readonly objectiveMs: Millis;
  /** Shortest objective among the routes that target the same pool. */
  readonly shortestObjectiveMs: Millis;
  /** Factor on the allowed wait that balances the admission rates of the pool's routes. */
  readonly waitFactor: number;
  /** Time until the caller's deadline. */
  readonly remainingMs: Millis;
  /** The customer's usage relative to its fair share; absent for requests without tokens. */
  readonly share?: FairShareUsage;
}

export type AdmissionDecision =
  | { readonly kind: 'admit'; readonly limitMs: Millis }
  | {
      readonly kind: 'refuse';
      readonly reason: 'overShare' | 'overload';
      readonly limitMs: Millis;
      /** Time by which the expected first event is beyond the limit. */
      readonly excessMs: Millis;
      readonly retryAfterMs: Millis;
    };

/** Fraction of the objective that the estimate may use; the rest absorbs estimation errors. */
const USABLE_FRACTION = 0.9;
/**
 * Fraction of the usable objective that a request may wait if its prompt alone takes up the
 * objective.
 */
const LARGE_PROMPT_WAIT_FRACTION = 0.05;
/**
 * Fraction of the usable objective for a customer that uses exactly its fair share. Small customers
 * get all of it.
 */
const AT_SHARE_FRACTION = 0.75;
/** Usage, relative to the fair share, up to which a customer counts as small. */
const SMALL_CUSTOMER_USAGE = 0.5;
/** Fraction of the usable objective for a customer that far exceeds its fair share. */
const OVER_SHARE_FRACTION = 0.115;
/** Power of the usage, relative to the fair share, with which the fraction falls to it. */
const OVER_SHARE_EXPONENT = 4;
/**
 * Idleness of the upstreams above which a customer that exceeds its share may use spare capacity.
 */
const IDLENESS_THRESHOLD = 0.5;
/**
 * Surcharge for rereading a shared prompt part, as a multiple of the time that the read takes:
 * without contention, and for a customer at its fair share.
 */
const REREAD_FACTOR_UNCONTENDED = 2;
const REREAD_FACTOR_AT_SHARE = 6;
/**
 * Fraction of the time to the deadline that may pass before the first event; the answer needs the
 * rest.
 */
const MAX_FIRST_EVENT_FRACTION = 0.5;
/** Fraction of the objective that a request may wait for its admission decision. */
const MAX_DECISION_DELAY_FRACTION = 0.3;
/** Upper bound on the retry delay, as a fraction of the time to the deadline. */
export const MAX_RETRY_AFTER_FRACTION = 1 / 3;
const MIN_RETRY_AFTER_MS: Millis = 50;
/** Range of the random part of the retry delay, relative to the objective. */
const RETRY_JITTER_FRACTION = 0.25;

/**
 * Returns the expected time to the first event that placement tries to stay within. It is never
 * below the limit of a customer at its share: reading a shared prompt part again is not worth it
 * just to meet the shorter limit of a customer that exceeds its share.
 */
export function placementLimit(objectiveMs: Millis, share: FairShareUsage | undefined): Millis {
  return objectiveMs * USABLE_FRACTION * Math.max(AT_SHARE_FRACTION, objectiveFraction(share));
}

/**
 * Returns how long a request may wait at this instance for its admission decision. A request that
 * is refused after that time can still be served in time by another instance with an idle CPU.
 */
export function maxDecisionDelay(objectiveMs: Millis): Millis {
  return objectiveMs * MAX_DECISION_DELAY_FRACTION;
}

/** Admits a request, or refuses it with a delay after which the caller may retry. */
export function decideAdmission(input: AdmissionInput, random: Random): AdmissionDecision {
  const limitMs = admissionLimit(input);
  if (input.firstEventMs <= limitMs) return { kind: 'admit', limitMs };
  const reason = isOverShare(input.share) ? 'overShare' : 'overload';
  const excessMs = input.firstEventMs - limitMs;
  const retryAfterMs = retryAfter(input, excessMs, random);
  return { kind: 'refuse', reason, limitMs, excessMs, retryAfterMs };
}

/** Returns the longest expected time to the first event with which a request is admitted. */
function admissionLimit(input: AdmissionInput): Millis {
  const { objectiveMs, shortestObjectiveMs, unloadedMs, promptReadMs, remainingMs, share } = input;
  const baseMs = (input.ownDelayMs ?? 0) + unloadedMs - promptReadMs;
  const fraction = objectiveFraction(share);
  const usableMs = usableTime(objectiveMs, baseMs, fraction);
  if (!isContended(share))
    return Math.max(usableMs, largePromptLimit(unloadedMs, usableMs, remainingMs));
  const shortestUsableMs = usableTime(shortestObjectiveMs * input.waitFactor, baseMs, fraction);
  const limitMs = Math.min(usableMs, shortestUsableMs + promptReadMs);
  if (!isOverShare(share))
    return Math.max(limitMs, largePromptLimit(unloadedMs, usableMs, remainingMs));
  // Capacity is estimated from what is admitted; idle upstreams show that the estimate is too low.
  return share.idleness > IDLENESS_THRESHOLD ? Math.max(limitMs, unloadedMs) : limitMs;
}

/**
 * Returns the part of an objective that the expected time may use. What passes at this instance, and
 * what the upstream needs without any wait, is left out of the fraction: a customer beyond its share
 * may not make others wait, but takes nothing from them where nobody waits.
 *
 * @param baseMs Time that is left out.
 */
function usableTime(objectiveMs: Millis, baseMs: Millis, fraction: number): Millis {
  const usableMs = objectiveMs * USABLE_FRACTION;
  const withoutWaitMs = Math.min(baseMs, usableMs);
  return withoutWaitMs + (usableMs - withoutWaitMs) * fraction;
}

/**
 * Returns the limit for prompts that take up the objective by themselves: they need a nearly empty
 * queue.
 */
function largePromptLimit(unloadedMs: Millis, usableMs: Millis, remainingMs: Millis): Millis {
  return Math.min(
    unloadedMs + usableMs * LARGE_PROMPT_WAIT_FRACTION,
    remainingMs * MAX_FIRST_EVENT_FRACTION,
  );
}

/**
 * Returns the surcharge for rereading a shared prompt part, as a multiple of the time that the read
 * takes. It is low without contention and for small customers, and rises with a customer's usage,
 * since rereading a part takes capacity from the other customers.
 */
export function computeRereadFactor(share: FairShareUsage | undefined): number {
  if (!isContended(share)) return REREAD_FACTOR_UNCONTENDED;
  return interpolate(
    shareUsage(share),
    SMALL_CUSTOMER_USAGE,
    REREAD_FACTOR_UNCONTENDED,
    1,
    REREAD_FACTOR_AT_SHARE,
  );
}

/**
 * Returns the fraction of the usable objective that a customer may wait; it falls as usage rises.
 */
function objectiveFraction(share: FairShareUsage | undefined): number {
  // Without contention, no customer has to be limited.
  if (!isContended(share)) return 1;
  if (!isOverShare(share)) {
    return interpolate(shareUsage(share), SMALL_CUSTOMER_USAGE, 1, 1, AT_SHARE_FRACTION);
  }
  return Math.max(
    OVER_SHARE_FRACTION,
    AT_SHARE_FRACTION / shareUsage(share) ** OVER_SHARE_EXPONENT,
  );
}

/** Whether the customers' demand exceeds the capacity. */
function isContended(share: FairShareUsage | undefined): share is FairShareUsage {
  return share !== undefined && share.level < Infinity;
}

/** Returns a customer's admitted rate relative to the fair share. */
function shareUsage({ admitted, level }: FairShareUsage): number {
  return admitted / level;
}

/** Interpolates linearly between (`x1`, `y1`) and (`x2`, `y2`); constant outside that range. */
function interpolate(x: number, x1: number, y1: number, x2: number, y2: number): number {
  const fraction = Math.min(1, Math.max(0, (x - x1) / (x2 - x1)));
  return y1 + fraction * (y2 - y1);
}

/** Whether a customer has got more than its fair share. */
export function isOverShare(share: FairShareUsage | undefined): boolean {
  return share !== undefined && share.admitted > share.level;
}

/**
 * Returns the delay after which a refused caller may retry: the time by which the estimate exceeds
 * the limit, in which the upstreams process that much of their backlog, and a random part.
 */
function retryAfter(input: AdmissionInput, excessMs: Millis, random: Random): Millis {
  const jitterMs = random.next() * RETRY_JITTER_FRACTION * input.objectiveMs;
  const delayMs = excessMs + jitterMs;
  const maxMs = input.remainingMs * MAX_RETRY_AFTER_FRACTION;
  return Math.max(MIN_RETRY_AFTER_MS, Math.min(delayMs, maxMs));
}
