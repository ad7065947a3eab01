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
/** Part of that for a customer that is well beyond its share. */
const OVER_SHARE_PART = 0.2;
/** Excess over the share, relative to it, at which that part is reached. */
const FULL_EXCESS = 0.25;
/** Callers do not come back later than this part of the time that they have. */
const LONGEST_RETURN = 1 / 3;
const SHORTEST_RETURN_MS: Millis = 50;
/** Width of the spread over which refused callers return, relative to the objective. */
const RETURN_SPREAD = 0.5;

/** Admits a request or refuses it with the time after which to come back. */
export function decideAdmission(input: AdmissionInput, random: Random): AdmissionDecision {
  const limitMs = input.objectiveMs * USABLE_OBJECTIVE * partFor(input.standing);
  if (input.firstMs <= limitMs) return { kind: 'admit', limitMs };
  const reason = isOverShare(input.standing) ? 'overShare' : 'overload';
  return { kind: 'refuse', reason, limitMs, retryAfterMs: returnTime(input, limitMs, random) };
}

function partFor(standing: Standing | undefined): number {
  if (standing === undefined || !isOverShare(standing)) return 1;
  const excess = standing.admitted / standing.level - 1;
  return Math.max(OVER_SHARE_PART, 1 - ((1 - OVER_SHARE_PART) * excess) / FULL_EXCESS);
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
