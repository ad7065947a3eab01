/** Problems reported to the caller after a failed attempt. */
import { Debug } from '../debug.js';
import type { CoreState } from '../state.js';
import type {
  AttemptOutcome,
  ExecutionStatus,
  NotRunProblem,
  Problem,
  UpstreamId,
} from '../types.js';

type FailedOutcome = Exclude<AttemptOutcome, { readonly kind: 'complete' }>;

const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

/** Creates the problem for a failed attempt. */
export function createProblem(
  state: CoreState,
  upstream: UpstreamId,
  outcome: FailedOutcome,
  executed: ExecutionStatus,
): Problem {
  return {
    ...classifyOutcome(outcome),
    executed,
    peer: { kind: 'upstream', id: upstream },
    detail: formatOutcome(outcome),
    args: { upstream, reason: formatOutcome(outcome) },
    retryAfterMs: selectRetryAfter(state, outcome),
  };
}

/** Creates the problem for an attempt that is known not to have been executed. */
export function createNotRunProblem(
  state: CoreState,
  upstream: UpstreamId,
  outcome: FailedOutcome,
): NotRunProblem {
  return { ...createProblem(state, upstream, outcome, 'no'), status: UNAVAILABLE, executed: 'no' };
}

function classifyOutcome(outcome: FailedOutcome): Pick<Problem, 'code' | 'status' | 'step'> {
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

function formatOutcome(outcome: FailedOutcome): string {
  return 'detail' in outcome ? `${outcome.kind}: ${outcome.detail}` : outcome.kind;
}

function selectRetryAfter(state: CoreState, outcome: FailedOutcome): number {
  const requested = outcome.kind === 'declined' ? outcome.retryAfterMs : undefined;
  return requested ?? state.settings.retryAfterMs;
}
