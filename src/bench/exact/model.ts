/**
 * Reference model that checks the outcome reported to each caller against what the upstreams
 * executed. It observes the core only through its effects.
 */
import type { Millis } from '../../core/clock.js';
import { Debug } from '../../core/debug.js';
import type { AttemptPlan, Effect, InstanceId, Problem, RequestId } from '../../core/types.js';
import type { Execution, RequestWork } from './fakeUpstreams.js';

export interface Submission extends RequestWork {
  readonly requestId: RequestId;
  readonly instance: InstanceId;
  readonly at: Millis;
  readonly isIdempotent: boolean;
  readonly fingerprint: string;
}

/** Time for which an instance may still dispatch to an upstream after learning that it is leaving. */
const STOP_GRACE_MS: Millis = 2_000;

/** The final outcome reported to a caller. */
export type CallerOutcome =
  | { readonly kind: 'answer' }
  | { readonly kind: 'replay'; readonly body: string }
  | { readonly kind: 'refuse' | 'fail'; readonly problem: Problem };

export interface Model {
  readonly submissions: Map<RequestId, Submission>;
  readonly outcomes: Map<RequestId, CallerOutcome[]>;
  /** Requests that need no outcome because the caller disconnected or the instance was lost. */
  readonly exemptRequests: Set<RequestId>;
  /** Time at which each request was first dispatched. */
  readonly dispatchedAt: Map<RequestId, Millis>;
  readonly submit: (submission: Submission) => void;
  /** `sinceLeavingMs` is the time since the instance learned that the upstream leaves, 0 if it stays. */
  readonly onDispatch: (plan: AttemptPlan, sinceLeavingMs: Millis, now: Millis) => void;
  readonly onTokens: (requestId: RequestId, tokens: number) => void;
  readonly onEffect: (effect: Effect) => void;
  /** Returns the violations found, given all executions on the upstreams. */
  readonly findViolations: (sightings: readonly Execution[]) => readonly string[];
}

export function createModel(): Model {
  const submissions = new Map<RequestId, Submission>();
  const told = new Map<RequestId, CallerOutcome[]>();
  const exemptRequests = new Set<RequestId>();
  const dispatchedAt = new Map<RequestId, Millis>();
  const received = new Map<RequestId, number>();
  const violations: string[] = [];

  const recordOutcome = (requestId: RequestId, outcome: CallerOutcome) => {
    told.set(requestId, [...(told.get(requestId) ?? []), outcome]);
  };

  const onDispatch = (plan: AttemptPlan, sinceLeavingMs: Millis, now: Millis) => {
    if (!dispatchedAt.has(plan.requestId)) dispatchedAt.set(plan.requestId, now);
    if (sinceLeavingMs > STOP_GRACE_MS) {
      violations.push(`${plan.requestId} was dispatched to ${plan.upstream}, which is leaving`);
    }
    const tokens = received.get(plan.requestId) ?? 0;
    if (plan.resumeFromToken === tokens) return;
    violations.push(
      `${plan.requestId} resumes at token ${plan.resumeFromToken} instead of ${tokens}`,
    );
  };

  const onAnswer = (requestId: RequestId) => {
    const expected = Debug.assertDefined(submissions.get(requestId), requestId).outputTokens;
    const tokens = received.get(requestId) ?? 0;
    if (tokens !== expected)
      violations.push(`${requestId} ended with ${tokens} of ${expected} tokens`);
    recordOutcome(requestId, { kind: 'answer' });
  };

  const onEffect = (effect: Effect) => {
    switch (effect.kind) {
      case 'finishAnswer':
        onAnswer(effect.requestId);
        return;
      case 'replayAnswer':
        recordOutcome(effect.requestId, {
          kind: 'replay',
          body: new TextDecoder().decode(effect.answer.body),
        });
        return;
      case 'refuse':
      case 'fail':
        recordOutcome(effect.requestId, { kind: effect.kind, problem: effect.problem });
        break;

      default:
    }
  };

  return {
    submissions,
    outcomes: told,
    exemptRequests,
    dispatchedAt,
    submit: (submission) => submissions.set(submission.requestId, submission),
    onDispatch,
    onTokens: (requestId, tokens) => {
      received.set(requestId, (received.get(requestId) ?? 0) + tokens);
    },
    onEffect,
    findViolations: (sightings) => [
      ...violations,
      ...findOutcomeViolations(submissions, told, exemptRequests, sightings),
      ...findRepeatedExecutions(submissions, sightings),
    ],
  };
}

/** Checks that each caller gets exactly one outcome and that it matches what was executed. */
function findOutcomeViolations(
  submissions: ReadonlyMap<RequestId, Submission>,
  told: ReadonlyMap<RequestId, readonly CallerOutcome[]>,
  exemptRequests: ReadonlySet<RequestId>,
  sightings: readonly Execution[],
): string[] {
  const executed = new Set(sightings.map((sighting) => sighting.requestId));
  const executedKeys = new Set([...executed].map((id) => submissions.get(id)?.key));
  const violations: string[] = [];
  submissions.forEach((submission, requestId) => {
    const outcomes = told.get(requestId) ?? [];
    if (outcomes.length > 1) violations.push(`${requestId} got ${outcomes.length} outcomes`);
    if (outcomes.length === 0 && !exemptRequests.has(requestId))
      violations.push(`${requestId} got no outcome`);
    const wasRun = executed.has(requestId);
    const wasKeyRun = wasRun || (submission.key !== undefined && executedKeys.has(submission.key));
    outcomes.forEach((outcome) => {
      if (!isConsistent(outcome, submission, wasRun, wasKeyRun)) {
        violations.push(
          `${requestId} got an outcome that contradicts its execution: ${JSON.stringify(outcome)}`,
        );
      }
    });
  });
  return violations;
}

function isConsistent(
  outcome: CallerOutcome,
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

/** Checks that a non-idempotent request, or all requests with its key together, ran at most once. */
function findRepeatedExecutions(
  submissions: ReadonlyMap<RequestId, Submission>,
  sightings: readonly Execution[],
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
