/**
 * Decides how to proceed after the end of an attempt. The decision is a pure function of what is
 * known about the request:
 *
 * - only `complete` finishes a request;
 * - an attempt that is known not to have been executed leaves the request as it was before;
 * - a request that may have been executed is retried only if it is idempotent and nothing of a
 *   response has been forwarded;
 * - a stream that has forwarded tokens resumes on the same engine at its offset; if that engine
 *   accepts no new requests, its cache is moved to another engine;
 * - in all other cases the request fails immediately with an explicit error.
 */
import { Debug } from '../debug.js';
import type { AttemptOutcome, ExecutionStatus } from '../types.js';

export interface RecoveryFacts {
  readonly outcome: AttemptOutcome;
  readonly isIdempotent: boolean;
  /** Whether this attempt or an earlier one forwarded any byte of a response. */
  readonly hasForwarded: boolean;
  /** Whether an earlier attempt may have executed the request. */
  readonly mayHaveRun: boolean;
  /** Whether the response is a token stream that may be resumed once more. */
  readonly canResume: boolean;
  /** Whether the upstream of the attempt accepts no new requests. */
  readonly isUpstreamStopping: boolean;
}

export type Recovery =
  | { readonly kind: 'finish' }
  /** Resume on the same engine at the offset, on a new connection. */
  | { readonly kind: 'resume' }
  /** Resume on another engine after copying the cache to it. */
  | { readonly kind: 'move' }
  /** Start over on another upstream. */
  | { readonly kind: 'retry'; readonly mayHaveRun: boolean }
  | { readonly kind: 'giveUp'; readonly executed: ExecutionStatus };

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
