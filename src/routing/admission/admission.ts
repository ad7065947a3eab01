/**
 * Decides whether a request is sent now or refused at once.
 *
 * Load pattern: for seconds at a time more is asked for than the upstreams can process. Whatever is
 * let in beyond that waits at the upstreams, in order of arrival, until all answers are late. A
 * request is therefore refused while its first event cannot be expected within the objective of its
 * route, which is known at its arrival, and the caller is told when the backlog will have gone. A
 * customer beyond its fair share is refused earlier, so that the others find the upstreams free.
 */
import type { Millis } from '../../core/clock.js';
import type { Random } from '../../core/random.js';
import type { Standing } from '../shares/tokenShares.js';

export interface AdmissionInput {
  /** Expected time to the first event. */
  readonly firstMs: Millis;
  readonly objectiveMs: Millis;
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
const USABLE_OBJECTIVE = 0.85;
/** Part of that for a customer that gets just its share; smaller ones have all of it. */
const AT_SHARE_PART = 0.75;
/** Part of an even share up to which a customer counts as small. */
const SMALL_PART = 0.5;
/** Part of that for a customer that is well beyond its share. */
const OVER_SHARE_PART = 0.2;
/** Excess over the share, relative to it, at which that part is reached. */
const FULL_EXCESS = 0.25;
/** Callers do not come back later than this part of the time that they have. */
const LONGEST_RETURN = 1 / 3;
const SHORTEST_RETURN_MS: Millis = 50;
/** Width of the spread over which refused callers return, relative to the objective. */
const RETURN_SPREAD = 0.5;

/**
 * Expected time up to which a request should be placed. A customer beyond its share is not worth
 * reading a shared part again, so it is not placed elsewhere to meet its own, shorter limit.
 */
export function placementLimit(objectiveMs: Millis, standing: Standing | undefined): Millis {
  return objectiveMs * USABLE_OBJECTIVE * Math.max(AT_SHARE_PART, partFor(standing));
}

/** Admits a request or refuses it with the time after which to come back. */
export function decideAdmission(input: AdmissionInput, random: Random): AdmissionDecision {
  const limitMs = input.objectiveMs * USABLE_OBJECTIVE * partFor(input.standing);
  if (input.firstMs <= limitMs) return { kind: 'admit', limitMs };
  const reason = isOverShare(input.standing) ? 'overShare' : 'overload';
  return { kind: 'refuse', reason, limitMs, retryAfterMs: returnTime(input, limitMs, random) };
}

/** Part of the usable objective that a customer may wait: less, the more it gets already. */
function partFor(standing: Standing | undefined): number {
  if (standing === undefined) return 1;
  const use = standing.admitted / Math.min(standing.level, standing.even);
  if (!isOverShare(standing)) {
    return interpolate(use, SMALL_PART, 1, 1, AT_SHARE_PART);
  }
  const excess = standing.admitted / standing.level - 1;
  return interpolate(excess, 0, AT_SHARE_PART, FULL_EXCESS, OVER_SHARE_PART);
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
