/**
 * What follows the end of an attempt. A pure decision over what is known of the request; the rules:
 *
 * - only `complete` finishes a request;
 * - an attempt that certainly was not run leaves the request as it was before;
 * - a request that may have run is tried again only if it is idempotent, and only while nothing of
 *   an answer was passed on;
 * - a stream of which tokens were passed on goes on at its own engine, from its offset; if that
 *   engine takes no new work, its cache moves to another;
 * - all else ends the request at once with an explicit error.
 */
import { Debug } from '../debug.js';
import type { AttemptOutcome, Executed } from '../types.js';

export interface RecoveryFacts {
  readonly outcome: AttemptOutcome;
  readonly isIdempotent: boolean;
  /** Whether any byte of an answer was passed on, by this attempt or an earlier one. */
  readonly hasForwarded: boolean;
  /** Whether an earlier attempt may have run the request. */
  readonly mayHaveRun: boolean;
  /** Whether the answer is a token stream of an engine and may be resumed once more. */
  readonly canResume: boolean;
  /** Whether the upstream of the attempt takes no new work. */
  readonly isUpstreamStopping: boolean;
}

export type Recovery =
  | { readonly kind: 'finish' }
  /** Go on at the same engine from the offset, on a new connection. */
  | { readonly kind: 'resume' }
  /** Go on at another engine, to which the cache is copied. */
  | { readonly kind: 'move' }
  /** Start afresh at another upstream. */
  | { readonly kind: 'retry'; readonly mayHaveRun: boolean }
  | { readonly kind: 'giveUp'; readonly executed: Executed };

export function planRecovery(facts: RecoveryFacts): Recovery {
  const { outcome } = facts;
  switch (outcome.kind) {
    case 'complete':
      return { kind: 'finish' };
    case 'notSent':
    case 'declined':
      return facts.hasForwarded ? giveUp(facts) : { kind: 'retry', mayHaveRun: facts.mayHaveRun };
    case 'upstreamError':
      return retryOrGiveUp(facts);
    case 'foreign':
    case 'cut':
    case 'silent':
      return facts.hasForwarded ? resumeOrGiveUp(facts) : retryOrGiveUp(facts);
    case 'cancelled':
      return giveUp(facts);
    default:
      return Debug.assertNever(outcome);
  }
}

function retryOrGiveUp(facts: RecoveryFacts): Recovery {
  const mayRetry = facts.isIdempotent && !facts.hasForwarded;
  return mayRetry ? { kind: 'retry', mayHaveRun: true } : giveUp(facts);
}

function resumeOrGiveUp(facts: RecoveryFacts): Recovery {
  if (!facts.isIdempotent || !facts.canResume) return giveUp(facts);
  return facts.isUpstreamStopping ? { kind: 'move' } : { kind: 'resume' };
}

function giveUp(facts: RecoveryFacts): Recovery {
  return { kind: 'giveUp', executed: facts.hasForwarded ? 'yes' : 'unknown' };
}
