/**
 * Decides whether a request is sent now or refused at once.
 *
 * Load pattern: for seconds at a time more is asked for than the upstreams can process. Whatever is
 * let in beyond that waits at the upstreams, in order of arrival, until all answers are late. A
 * request is therefore refused while its first event cannot be expected within the objective of its
 * route, which is known at its arrival, and the caller is told when the backlog will have gone. As
 * upstreams work in order of arrival, the wait that is allowed is the same for all kinds of request:
 * that of the most urgent one, which would find no room otherwise; it is changed a little for kinds
 * that fare better or worse than the others. A customer beyond its fair share is refused earlier, so
 * that the others find the upstreams free.
 */
import type { Millis } from '../../core/clock.js';
import type { Random } from '../../core/random.js';
import type { Standing } from '../shares/tokenShares.js';

export interface AdmissionInput {
  /** Expected time to the first event. */
  readonly firstMs: Millis;
  /** What it would be without any wait. */
  readonly ownMs: Millis;
  /** Part of that in which its own prompt is read. */
  readonly readMs: Millis;
  readonly objectiveMs: Millis;
  /** Shortest objective of the routes that lead to the same upstreams. */
  readonly urgentMs: Millis;
  /** Factor of the allowed wait, by which kinds of request are kept balanced. */
  readonly waitFactor: number;
  /** Time that the caller waits. */
  readonly leftMs: Millis;
  /** The customer's place among the others; none for requests without tokens. */
  readonly standing?: Standing;
}

export type AdmissionDecision =
  | { readonly kind: 'admit'; readonly limitMs: Millis }
  | {
      readonly kind: 'refuse';
      readonly reason: 'overShare' | 'overload';
      readonly limitMs: Millis;
      readonly retryAfterMs: Millis;
    };

/** Part of the objective that may be expected to pass; the rest is for errors of the estimate. */
const USABLE_OBJECTIVE = 0.9;
/** Part of it that a request may wait whose own prompt takes the objective to read. */
const LARGE_WAIT_PART = 0.05;
/** Part of the usable objective for a customer that gets just its share; smaller ones have all. */
const AT_SHARE_PART = 0.75;
/** Part of its share up to which a customer counts as small. */
const SMALL_PART = 0.5;
/** Part of the usable objective for a customer that is well beyond its share. */
const OVER_SHARE_PART = 0.2;
/** Excess over the share, relative to it, at which that part is reached. */
const FULL_EXCESS = 0.25;
/** Idleness from which a customer beyond its share has what is free. */
const IDLE_ENOUGH = 0.5;
/**
 * Times that reading a shared part again has to be to spare: where there is capacity for all, and
 * for a customer that gets its share.
 */
const SPARE_READS_FREE = 2;
const SPARE_READS_AT_SHARE = 6;
/** Part of the time that a caller has by which the first event must come; the answer needs the rest. */
const LONGEST_FIRST = 0.5;
/** Part of the objective that a request may wait for its decision. */
const LONGEST_WAIT_PART = 0.3;
/** Callers do not come back later than this part of the time that they have. */
const LONGEST_RETURN = 1 / 3;
const SHORTEST_RETURN_MS: Millis = 50;
/** Width of the spread over which refused callers return, relative to the objective. */
const RETURN_SPREAD = 0.25;

/**
 * Expected time up to which a request should be placed. A customer beyond its share is not worth
 * reading a shared part again, so it is not placed elsewhere to meet its own, shorter limit.
 */
export function placementLimit(objectiveMs: Millis, standing: Standing | undefined): Millis {
  return objectiveMs * USABLE_OBJECTIVE * Math.max(AT_SHARE_PART, partFor(standing));
}

/**
 * Longest wait of a request at its instance. Turned away then, it can still be served in time at
 * another instance, whose processor may be idle.
 */
export function latestDecision(objectiveMs: Millis): Millis {
  return objectiveMs * LONGEST_WAIT_PART;
}

/** Admits a request or refuses it with the time after which to come back. */
export function decideAdmission(input: AdmissionInput, random: Random): AdmissionDecision {
  const limitMs = limitFor(input);
  if (input.firstMs <= limitMs) return { kind: 'admit', limitMs };
  const reason = isOverShare(input.standing) ? 'overShare' : 'overload';
  return { kind: 'refuse', reason, limitMs, retryAfterMs: returnTime(input, limitMs, random) };
}

/** Expected time up to which a request is admitted. */
function limitFor(input: AdmissionInput): Millis {
  const { objectiveMs, urgentMs, ownMs, readMs, leftMs, standing } = input;
  const usableMs = objectiveMs * USABLE_OBJECTIVE * partFor(standing);
  if (!isContended(standing)) return Math.max(usableMs, largeLimit(ownMs, usableMs, leftMs));
  const urgentUsableMs = urgentMs * USABLE_OBJECTIVE * partFor(standing) * input.waitFactor;
  const limitMs = Math.min(usableMs, urgentUsableMs + readMs);
  if (!isOverShare(standing)) return Math.max(limitMs, largeLimit(ownMs, usableMs, leftMs));
  // What customers get tells how much there is. Idle upstreams show that there is more.
  return standing.idleness > IDLE_ENOUGH ? Math.max(limitMs, ownMs) : limitMs;
}

/** Prompts that take the objective by themselves are served while next to nothing waits. */
function largeLimit(ownMs: Millis, usableMs: Millis, leftMs: Millis): Millis {
  return Math.min(ownMs + usableMs * LARGE_WAIT_PART, leftMs * LONGEST_FIRST);
}

/**
 * Times that reading a shared part again has to be to spare: little while there is capacity for all
 * and for customers that get little; more where the reading takes capacity from others.
 */
export function spareReadsFor(standing: Standing | undefined): number {
  if (!isContended(standing)) return SPARE_READS_FREE;
  return interpolate(useOf(standing), SMALL_PART, SPARE_READS_FREE, 1, SPARE_READS_AT_SHARE);
}

/** Part of the usable objective that a customer may wait: less, the more it gets already. */
function partFor(standing: Standing | undefined): number {
  // While all get what they ask for, nobody has to be kept back.
  if (!isContended(standing)) return 1;
  if (!isOverShare(standing)) {
    return interpolate(useOf(standing), SMALL_PART, 1, 1, AT_SHARE_PART);
  }
  const excess = standing.admitted / standing.level - 1;
  return interpolate(excess, 0, AT_SHARE_PART, FULL_EXCESS, OVER_SHARE_PART);
}

/** Whether customers ask for more than there is. */
function isContended(standing: Standing | undefined): standing is Standing {
  return standing !== undefined && standing.level < Infinity;
}

/** What a customer gets, relative to what each may have. */
function useOf({ admitted, level }: Standing): number {
  return admitted / level;
}

/** Straight line from (`x1`, `y1`) to (`x2`, `y2`), level outside of them. */
function interpolate(x: number, x1: number, y1: number, x2: number, y2: number): number {
  const part = Math.min(1, Math.max(0, (x - x1) / (x2 - x1)));
  return y1 + part * (y2 - y1);
}

function isOverShare(standing: Standing | undefined): boolean {
  return standing !== undefined && standing.admitted > standing.level;
}

/** The backlog beyond the limit is gone after as long as it would have delayed the request. */
function returnTime(input: AdmissionInput, limitMs: Millis, random: Random): Millis {
  const spread = random.next() * RETURN_SPREAD * input.objectiveMs;
  const wanted = input.firstMs - limitMs + spread;
  const longest = input.leftMs * LONGEST_RETURN;
  return Math.max(SHORTEST_RETURN_MS, Math.min(wanted, longest));
}
