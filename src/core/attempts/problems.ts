/** The problems that end a request after a failed attempt. */
import { Debug } from '../debug.js';
import type { CoreState } from '../state.js';
import type { AttemptOutcome, Executed, NotRunProblem, Problem, UpstreamId } from '../types.js';

type FailedOutcome = Exclude<AttemptOutcome, { readonly kind: 'complete' }>;

const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

/** Describes a failed attempt to the caller. */
export function problemOf(
  state: CoreState,
  upstream: UpstreamId,
  outcome: FailedOutcome,
  executed: Executed,
): Problem {
  return {
    ...describe(outcome),
    executed,
    peer: { kind: 'upstream', id: upstream },
    detail: detailOf(outcome),
    args: { upstream, reason: detailOf(outcome) },
    retryAfterMs: retryAfterOf(state, outcome),
  };
}

/** Describes an attempt that certainly was not run. */
export function notRunProblemOf(
  state: CoreState,
  upstream: UpstreamId,
  outcome: FailedOutcome,
): NotRunProblem {
  return { ...problemOf(state, upstream, outcome, 'no'), status: UNAVAILABLE, executed: 'no' };
}

function describe(outcome: FailedOutcome): Pick<Problem, 'code' | 'status' | 'step'> {
  switch (outcome.kind) {
    case 'notSent':
    case 'declined':
    case 'upstreamError':
    case 'cancelled':
      return { code: 'upstreamFailed', status: BAD_GATEWAY, step: 'dispatch' };
    case 'foreign':
      return { code: 'answerForeign', status: BAD_GATEWAY, step: 'stream' };
    case 'cut':
      return { code: 'answerCut', status: BAD_GATEWAY, step: 'stream' };
    case 'silent':
      return { code: 'answerCut', status: GATEWAY_TIMEOUT, step: 'stream' };
    default:
      return Debug.assertNever(outcome);
  }
}

function detailOf(outcome: FailedOutcome): string {
  return 'detail' in outcome ? `${outcome.kind}: ${outcome.detail}` : outcome.kind;
}

function retryAfterOf(state: CoreState, outcome: FailedOutcome): number {
  const asked = outcome.kind === 'declined' ? outcome.retryAfterMs : undefined;
  return asked ?? state.settings.retryAfterMs;
}
