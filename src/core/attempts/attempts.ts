/** Attempts: one dispatch of a request to an upstream, its progress and its end. */
import type { CoreContext } from '../context.js';
import { releaseGrant, returnGrant } from '../dispatch/grants.js';
import { endRequest, failRequest } from '../requests/outcomes.js';
import { charge } from '../shares/shares.js';
import type {
  AttemptId,
  AttemptOutcome,
  GrantFacts,
  PoolConfig,
  Problem,
  RequestFacts,
  RequestId,
  UpstreamConfig,
} from '../types.js';
import type { AttemptRecord } from './attemptsState.js';

/** Dispatches a waiting request to the upstream of a grant. */
export function startAttempt(ctx: CoreContext, requestId: RequestId, grant: GrantFacts): void {
  const { state } = ctx;
  const request = state.requests.active.get(requestId);
  const upstream = state.configuration.view?.upstreams.get(grant.upstream);
  const pool = upstream && state.configuration.view?.pools.get(upstream.pool);
  if (request === undefined || upstream === undefined || pool === undefined) {
    returnGrant(ctx, grant);
    return;
  }
  const attemptId = createAttemptId(ctx);
  const { facts } = request;
  state.attempts.running.set(attemptId, {
    attemptId,
    requestId,
    customer: facts.customer,
    pool: pool.id,
    grant,
    startedAt: ctx.now,
    outputTokens: 0,
  });
  state.requests.active.set(requestId, {
    state: 'dispatched',
    facts,
    attempt: attemptId,
    tried: [],
    forwardedTokens: 0,
    hasForwarded: false,
  });
  charge(ctx, facts.customer, pool.id, facts.promptTokens * pool.cost.perPromptToken);
  emitDispatch(ctx, attemptId, facts, upstream, pool);
}

/** Charges the tokens that were passed on since the last report. */
export function onAttemptProgress(ctx: CoreContext, id: AttemptId, outputTokens: number): void {
  const attempt = ctx.state.attempts.running.get(id);
  const pool = attempt && ctx.state.configuration.view?.pools.get(attempt.pool);
  if (attempt === undefined || pool === undefined) return;
  attempt.outputTokens += outputTokens;
  charge(ctx, attempt.customer, pool.id, outputTokens * pool.cost.perOutputToken);
}

export function onAttemptEnded(ctx: CoreContext, id: AttemptId, outcome: AttemptOutcome): void {
  const attempt = ctx.state.attempts.running.get(id);
  if (attempt === undefined) return;
  ctx.state.attempts.running.delete(id);
  releaseGrant(ctx, attempt.grant);
  chargeSlotTime(ctx, attempt);
  if (!ctx.state.requests.active.has(attempt.requestId)) return;
  if (outcome.kind === 'complete') {
    ctx.emit({ kind: 'finishAnswer', requestId: attempt.requestId });
    endRequest(ctx, attempt.requestId);
    return;
  }
  failRequest(ctx, attempt.requestId, problemOf(attempt, outcome));
}

/** Stops an attempt whose answer nobody wants any more. */
export function cancelAttempt(ctx: CoreContext, id: AttemptId): void {
  const attempt = ctx.state.attempts.running.get(id);
  if (attempt === undefined) return;
  ctx.emit({ kind: 'cancelAttempt', attemptId: id, upstream: attempt.grant.upstream });
}

function emitDispatch(
  ctx: CoreContext,
  attemptId: AttemptId,
  facts: RequestFacts,
  upstream: UpstreamConfig,
  pool: PoolConfig,
): void {
  const { settings } = ctx.state;
  ctx.emit({
    kind: 'dispatch',
    attempt: {
      attemptId,
      requestId: facts.requestId,
      upstream: upstream.id,
      url: upstream.url,
      pool: pool.id,
      kind: pool.kind,
      resumeFromToken: 0,
      idleTimeoutMs: settings.idleTimeoutMs,
      firstByteTimeoutMs: settings.firstByteTimeoutMs,
      captureAnswer: facts.idempotencyKey !== undefined && !facts.idempotent,
    },
  });
}

function createAttemptId(ctx: CoreContext): AttemptId {
  const { attempts, self } = ctx.state;
  const number = attempts.nextNumber;
  attempts.nextNumber += 1;
  return `${self.id}-${self.incarnation.toString(36)}-${number.toString(36)}`;
}

function chargeSlotTime(ctx: CoreContext, attempt: AttemptRecord): void {
  const pool = ctx.state.configuration.view?.pools.get(attempt.pool);
  if (pool?.kind !== 'service') return;
  const cost = (ctx.now - attempt.startedAt) * pool.cost.perSlotMs;
  charge(ctx, attempt.customer, pool.id, cost);
}

function problemOf(attempt: AttemptRecord, outcome: AttemptOutcome): Problem {
  const isCut = outcome.kind === 'cut' || outcome.kind === 'silent';
  const wasNotRun = outcome.kind === 'notSent' || outcome.kind === 'declined';
  return {
    code: isCut ? 'answerCut' : 'upstreamFailed',
    status: outcome.kind === 'silent' ? 504 : 502,
    executed: wasNotRun ? 'no' : 'unknown',
    step: isCut ? 'stream' : 'dispatch',
    peer: { kind: 'upstream', id: attempt.grant.upstream },
    detail: outcome.kind,
  };
}
