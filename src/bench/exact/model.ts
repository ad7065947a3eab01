/**
 * The reference model: what each caller may be told, judged by what the upstreams have seen. It knows
 * nothing of the core but its effects.
 */
import type { Millis } from '../../core/clock.js';
import { Debug } from '../../core/debug.js';
import type { AttemptPlan, Effect, InstanceId, Problem, RequestId } from '../../core/types.js';
import type { Sighting, Work } from './fakeUpstreams.js';

export interface Submission extends Work {
  readonly requestId: RequestId;
  readonly instance: InstanceId;
  readonly at: Millis;
  readonly isIdempotent: boolean;
  readonly fingerprint: string;
}

/** Time after the news of its stop in which an upstream may still be given work. */
const STOP_NEWS_MS: Millis = 2_000;

/** What a caller was told in the end. */
export type Told =
  | { readonly kind: 'answer' }
  | { readonly kind: 'replay'; readonly body: string }
  | { readonly kind: 'refuse' | 'fail'; readonly problem: Problem };

export interface Model {
  readonly submissions: Map<RequestId, Submission>;
  readonly told: Map<RequestId, Told[]>;
  /** Requests that need no outcome: the caller left, or its instance was lost. */
  readonly excused: Set<RequestId>;
  /** Time of the first dispatch of a request. */
  readonly dispatchedAt: Map<RequestId, Millis>;
  readonly submit: (submission: Submission) => void;
  /** `sinceNews` is the time since its instance learnt that the upstream leaves; 0 if it stays. */
  readonly onDispatch: (plan: AttemptPlan, sinceNews: Millis, now: Millis) => void;
  readonly onTokens: (requestId: RequestId, tokens: number) => void;
  readonly onEffect: (effect: Effect) => void;
  /** Returns what was broken, given all that the upstreams saw. */
  readonly judge: (sightings: readonly Sighting[]) => readonly string[];
}

export function createModel(): Model {
  const submissions = new Map<RequestId, Submission>();
  const told = new Map<RequestId, Told[]>();
  const excused = new Set<RequestId>();
  const dispatchedAt = new Map<RequestId, Millis>();
  const received = new Map<RequestId, number>();
  const violations: string[] = [];

  const tell = (requestId: RequestId, what: Told) => {
    told.set(requestId, [...(told.get(requestId) ?? []), what]);
  };

  const onDispatch = (plan: AttemptPlan, sinceNews: Millis, now: Millis) => {
    if (!dispatchedAt.has(plan.requestId)) dispatchedAt.set(plan.requestId, now);
    if (sinceNews > STOP_NEWS_MS) {
      violations.push(`${plan.requestId} went to ${plan.upstream}, which is to stop`);
    }
    const tokens = received.get(plan.requestId) ?? 0;
    if (plan.resumeFromToken === tokens) return;
    violations.push(`${plan.requestId} goes on at ${plan.resumeFromToken}, not at ${tokens}`);
  };

  const onAnswer = (requestId: RequestId) => {
    const wanted = Debug.assertDefined(submissions.get(requestId), requestId).outputTokens;
    const tokens = received.get(requestId) ?? 0;
    if (tokens !== wanted) violations.push(`${requestId} ended with ${tokens} of ${wanted} tokens`);
    tell(requestId, { kind: 'answer' });
  };

  const onEffect = (effect: Effect) => {
    switch (effect.kind) {
      case 'finishAnswer':
        onAnswer(effect.requestId);
        return;
      case 'replayAnswer':
        tell(effect.requestId, {
          kind: 'replay',
          body: new TextDecoder().decode(effect.answer.body),
        });
        return;
      case 'refuse':
      case 'fail':
        tell(effect.requestId, { kind: effect.kind, problem: effect.problem });
        break;

      default:
    }
  };

  return {
    submissions,
    told,
    excused,
    dispatchedAt,
    submit: (submission) => submissions.set(submission.requestId, submission),
    onDispatch,
    onTokens: (requestId, tokens) => {
      received.set(requestId, (received.get(requestId) ?? 0) + tokens);
    },
    onEffect,
    judge: (sightings) => [
      ...violations,
      ...judgeOutcomes(submissions, told, excused, sightings),
      ...judgeExecutions(submissions, sightings),
    ],
  };
}

/** Each caller is told one thing, and it is true. */
function judgeOutcomes(
  submissions: ReadonlyMap<RequestId, Submission>,
  told: ReadonlyMap<RequestId, readonly Told[]>,
  excused: ReadonlySet<RequestId>,
  sightings: readonly Sighting[],
): string[] {
  const seen = new Set(sightings.map((sighting) => sighting.requestId));
  const seenKeys = new Set([...seen].map((id) => submissions.get(id)?.key));
  const broken: string[] = [];
  submissions.forEach((submission, requestId) => {
    const outcomes = told.get(requestId) ?? [];
    if (outcomes.length > 1) broken.push(`${requestId} was told ${outcomes.length} outcomes`);
    if (outcomes.length === 0 && !excused.has(requestId)) broken.push(`${requestId} was told none`);
    const wasRun = seen.has(requestId);
    const wasKeyRun = wasRun || (submission.key !== undefined && seenKeys.has(submission.key));
    outcomes.forEach((outcome) => {
      if (!isTrue(outcome, submission, wasRun, wasKeyRun)) {
        broken.push(`${requestId} was told an untruth: ${JSON.stringify(outcome)}`);
      }
    });
  });
  return broken;
}

function isTrue(
  outcome: Told,
  submission: Submission,
  wasRun: boolean,
  wasKeyRun: boolean,
): boolean {
  switch (outcome.kind) {
    case 'answer':
      return wasRun;
    case 'replay':
      return wasKeyRun && outcome.body === `answer of ${submission.key ?? ''}`;
    case 'refuse':
      return !wasRun && outcome.problem.executed === 'no';
    case 'fail':
      return outcome.problem.executed === 'yes'
        ? wasKeyRun
        : outcome.problem.executed === 'unknown';
    default:
      return Debug.assertNever(outcome);
  }
}

/** A non-idempotent request, and all requests of its key together, run at most once. */
function judgeExecutions(
  submissions: ReadonlyMap<RequestId, Submission>,
  sightings: readonly Sighting[],
): string[] {
  const runs = new Map<string, number>();
  sightings.forEach(({ requestId, isResume }) => {
    const submission = submissions.get(requestId);
    if (submission === undefined || submission.isIdempotent || isResume) return;
    const operation = submission.key ?? requestId;
    runs.set(operation, (runs.get(operation) ?? 0) + 1);
  });
  return [...runs].filter(([, n]) => n > 1).map(([id, n]) => `${id} ran ${n} times`);
}
