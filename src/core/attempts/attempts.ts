/**
 * Attempts: the dispatch of a request to an upstream, its progress and its end. Each attempt has a
 * unique id. The end of an attempt that is no longer the current one of its request frees the slot,
 * but does not affect the request.
 */
import { refuseExpiredClaim } from '../claims/claims.js';
import { claimExpiry, needsClaim } from '../claims/ownClaims.js';
import type { CoreContext } from '../context.js';
import type { Millis } from '../clock.js';
import { Debug } from '../debug.js';
import { releaseGrant, returnGrant } from '../dispatch/grants.js';
import { isUpstreamStopping } from '../drain/upstreams.js';
import { recordPermitUse } from '../quarantine/permits.js';
import { recordAttemptOutcome } from '../quarantine/quarantine.js';
import { isSuspect } from '../quarantine/suspects.js';
import { failRequest, finishRequest, refuseRequest } from '../requests/outcomes.js';
import { isRunnableOn } from '../requests/readiness.js';
import {
  recordFirstAttempt,
  scheduleRequeue,
  retryDelay,
  consumeRetryBudget,
} from '../retries/retries.js';
import { charge } from '../shares/shares.js';
import { settleSlotTime } from '../shares/slotTime.js';
import type { CoreState } from '../state.js';
import type {
  AttemptId,
  AttemptOutcome,
  CacheMove,
  DispatchedRequest,
  SlotGrant,
  PoolConfig,
  RequestId,
  RetryingRequest,
  UpstreamConfig,
  UpstreamId,
  WaitingRequest,
} from '../types.js';
import type { AttemptRecord } from './attemptsState.js';
import { createNotRunProblem, createProblem } from './problems.js';
import { planRecovery } from './recovery.js';

type FailedOutcome = Exclude<AttemptOutcome, { readonly kind: 'complete' }>;
type QueuedRequest = WaitingRequest | RetryingRequest;

/** An upstream and its pool in the active configuration. */
interface Target {
  readonly upstream: UpstreamConfig;
  readonly pool: PoolConfig;
}

/**
 * Dispatches a queued request to the upstream of a grant. If the request may not run there at the
 * moment, the grant is returned and the request is queued again.
 */
export function startAttempt(ctx: CoreContext, requestId: RequestId, grant: SlotGrant): void {
  const { state } = ctx;
  const request = state.requests.active.get(requestId);
  const target = resolveTarget(state, grant);
  if (request === undefined || (request.state !== 'waiting' && request.state !== 'retrying')) {
    returnGrant(ctx, grant);
    return;
  }
  if (target === undefined || !isRunnableOn(state, request, grant.upstream)) {
    returnGrant(ctx, grant);
    scheduleRequeue(ctx, requestId, state.settings.requeueMs);
    return;
  }
  if (refuseExpiredClaim(ctx, request.facts)) {
    returnGrant(ctx, grant);
    return;
  }
  if (request.state === 'waiting' && request.tried.length === 0) recordFirstAttempt(state);
  if (request.state === 'retrying' && request.move !== undefined) {
    emitCacheMove(ctx, request.move, target.upstream);
  }
  const { facts } = request;
  const newTokens = facts.promptTokens * (1 - (grant.cachedShare ?? 0));
  charge(ctx, facts.customer, target.pool.id, newTokens * target.pool.cost.perPromptToken);
  dispatch(ctx, toDispatchedRequest(request, grant), grant, target);
}

/** Charges the customer for the tokens forwarded since the last report. */
export function onAttemptProgress(
  ctx: CoreContext,
  id: AttemptId,
  outputTokens: number,
  bytes: number,
): void {
  const attempt = ctx.state.attempts.running.get(id);
  const pool = attempt && ctx.state.configuration.view?.pools.get(attempt.pool);
  if (attempt === undefined || pool === undefined) return;
  attempt.outputTokens += outputTokens;
  attempt.hasForwarded ||= outputTokens > 0 || bytes > 0;
  charge(ctx, attempt.customer, pool.id, outputTokens * pool.cost.perOutputToken);
}

export function onAttemptEnded(ctx: CoreContext, id: AttemptId, outcome: AttemptOutcome): void {
  const { state } = ctx;
  const attempt = state.attempts.running.get(id);
  if (attempt === undefined) return;
  state.attempts.running.delete(id);
  settleSlotTime(ctx, attempt);
  if (outcome.kind === 'notSent') avoidUpstream(ctx, attempt.grant.upstream);
  recordAttemptOutcome(ctx, attempt, outcome);
  const request = state.requests.active.get(attempt.requestId);
  if (request?.state !== 'dispatched' || request.attempt !== id) {
    releaseGrant(ctx, attempt.grant);
    return;
  }
  if (outcome.kind === 'complete') {
    releaseGrant(ctx, attempt.grant);
    finishRequest(ctx, request, outcome.answer);
    return;
  }
  handleFailedAttempt(ctx, request, attempt, outcome);
}

/** Makes avoided upstreams eligible again after `avoidMs`. */
export function expireAvoidedUpstreams(ctx: CoreContext): void {
  const { avoided } = ctx.state.attempts;
  avoided.forEach((until, upstream) => {
    if (until <= ctx.now) avoided.delete(upstream);
  });
}

function avoidUpstream(ctx: CoreContext, upstream: UpstreamId): void {
  ctx.state.attempts.avoided.set(upstream, ctx.now + ctx.state.settings.avoidMs);
}

function handleFailedAttempt(
  ctx: CoreContext,
  request: DispatchedRequest,
  attempt: AttemptRecord,
  outcome: FailedOutcome,
): void {
  const { state } = ctx;
  const recovery = planRecovery({
    outcome,
    isIdempotent: request.facts.idempotent,
    hasForwarded: request.hasForwarded || attempt.hasForwarded,
    mayHaveRun: request.mayHaveRun,
    canResume: canResume(state, request, attempt),
    isUpstreamStopping: isUpstreamStopping(state, attempt.grant.upstream),
  });
  const isSuspected = isSuspect(state, request.facts.fingerprint);
  if (recovery.kind === 'resume' && !isSuspected && resumeOnSameUpstream(ctx, request, attempt))
    return;
  releaseGrant(ctx, attempt.grant);
  switch (recovery.kind) {
    case 'finish':
      Debug.fail('a failed attempt cannot finish a request');
      break;
    case 'resume':
      // The request is suspected of causing crashes, or resuming it on the same upstream failed.
      failStream(ctx, request, attempt, outcome);
      return;
    case 'move':
      if (!queueCacheMove(ctx, request, attempt)) failStream(ctx, request, attempt, outcome);
      return;
    case 'retry':
      queueRetry(ctx, request, attempt, outcome, recovery.mayHaveRun);
      return;
    case 'giveUp':
      failRequest(
        ctx,
        request,
        createProblem(state, attempt.grant.upstream, outcome, recovery.executed),
      );
      return;
    default:
      Debug.assertNever(recovery);
  }
}

/** Continues the stream on the same engine in the same slot. */
function resumeOnSameUpstream(
  ctx: CoreContext,
  request: DispatchedRequest,
  attempt: AttemptRecord,
): boolean {
  const target = resolveTarget(ctx.state, attempt.grant);
  if (target === undefined || !consumeRetryBudget(ctx.state)) return false;
  dispatch(ctx, toResumedRequest(request, attempt), attempt.grant, target);
  return true;
}

/** Queues a stream to continue on another engine, to which its cache is copied. */
function queueCacheMove(
  ctx: CoreContext,
  request: DispatchedRequest,
  attempt: AttemptRecord,
): boolean {
  const from = ctx.state.configuration.view?.upstreams.get(attempt.grant.upstream);
  const canMove =
    from !== undefined && hasUntriedUpstream(ctx.state, request) && consumeRetryBudget(ctx.state);
  if (!canMove) return false;
  const { facts, tried, resumes } = request;
  ctx.state.requests.active.set(facts.requestId, {
    state: 'retrying',
    facts,
    since: ctx.now,
    tried,
    forwardedTokens: request.forwardedTokens + attempt.outputTokens,
    hasForwarded: true,
    resumes: resumes + 1,
    move: { attemptId: attempt.attemptId, fromUrl: from.url },
  });
  scheduleRequeue(ctx, facts.requestId, 0);
  return true;
}

/**
 * Queues a request for another upstream. If none is left or the retry budget is exhausted, the
 * request is refused or fails immediately.
 */
function queueRetry(
  ctx: CoreContext,
  request: DispatchedRequest,
  attempt: AttemptRecord,
  outcome: FailedOutcome,
  mayHaveRun: boolean,
): void {
  const { state } = ctx;
  const { facts, tried } = request;
  const queued = toQueuedRequest(ctx, request, mayHaveRun);
  if (!hasUntriedUpstream(state, request) || !consumeRetryBudget(state)) {
    const { upstream } = attempt.grant;
    if (queued.state === 'waiting') {
      refuseRequest(ctx, queued, createNotRunProblem(state, upstream, outcome));
    } else {
      failRequest(ctx, request, createProblem(state, upstream, outcome, 'unknown'));
    }
    return;
  }
  state.requests.active.set(facts.requestId, queued);
  scheduleRequeue(ctx, facts.requestId, delayBeforeRetry(state, outcome, tried.length));
}

/**
 * Returns the delay before a retry. After a silent connection no further delay is needed, since the
 * timeout was long enough. A closed connection may mean a crash, which can be detected shortly
 * after, so the retry waits for the probe of the upstream.
 */
function delayBeforeRetry(state: CoreState, outcome: FailedOutcome, failures: number): Millis {
  if (outcome.kind === 'silent') return 0;
  const delay = retryDelay(state, failures);
  return outcome.kind === 'cut' ? state.settings.crashProbeMs + delay : delay;
}

function failStream(
  ctx: CoreContext,
  request: DispatchedRequest,
  attempt: AttemptRecord,
  outcome: FailedOutcome,
): void {
  failRequest(ctx, request, createProblem(ctx.state, attempt.grant.upstream, outcome, 'yes'));
}

function dispatch(
  ctx: CoreContext,
  request: Omit<DispatchedRequest, 'attempt'>,
  grant: SlotGrant,
  target: Target,
): void {
  const { state } = ctx;
  const { facts } = request;
  const attemptId = allocateAttemptId(ctx);
  state.attempts.running.set(attemptId, {
    attemptId,
    requestId: facts.requestId,
    customer: facts.customer,
    pool: target.pool.id,
    fingerprint: facts.fingerprint,
    grant,
    startedAt: ctx.now,
    outputTokens: 0,
    hasForwarded: false,
  });
  state.requests.active.set(facts.requestId, { ...request, attempt: attemptId });
  recordPermitUse(ctx, facts.fingerprint, target.upstream.id);
  const sendBefore = claimExpiry(state, facts);
  ctx.emit({
    kind: 'dispatch',
    attempt: {
      attemptId,
      requestId: facts.requestId,
      upstream: target.upstream.id,
      url: target.upstream.url,
      pool: target.pool.id,
      kind: target.pool.kind,
      resumeFromToken: request.forwardedTokens,
      idleTimeoutMs: state.settings.idleTimeoutMs,
      firstByteTimeoutMs: state.settings.firstByteTimeoutMs,
      captureAnswer: needsClaim(facts),
      ...(sendBefore === undefined ? {} : { sendBefore }),
    },
  });
}

function toDispatchedRequest(
  request: QueuedRequest,
  grant: SlotGrant,
): Omit<DispatchedRequest, 'attempt'> {
  const isRetrying = request.state === 'retrying';
  return {
    state: 'dispatched',
    facts: request.facts,
    tried: [...request.tried, grant.upstream],
    forwardedTokens: isRetrying ? request.forwardedTokens : 0,
    hasForwarded: isRetrying && request.hasForwarded,
    mayHaveRun: isRetrying,
    resumes: isRetrying ? request.resumes : 0,
    isCallerGone: false,
  };
}

function toResumedRequest(
  request: DispatchedRequest,
  attempt: AttemptRecord,
): Omit<DispatchedRequest, 'attempt'> {
  return {
    ...request,
    forwardedTokens: request.forwardedTokens + attempt.outputTokens,
    hasForwarded: true,
    mayHaveRun: true,
    resumes: request.resumes + 1,
  };
}

function toQueuedRequest(
  ctx: CoreContext,
  request: DispatchedRequest,
  mayHaveRun: boolean,
): QueuedRequest {
  const { facts, tried, resumes } = request;
  const common = { facts, since: ctx.now, tried };
  if (!mayHaveRun) return { state: 'waiting', ...common };
  return { state: 'retrying', ...common, forwardedTokens: 0, hasForwarded: false, resumes };
}

function canResume(state: CoreState, request: DispatchedRequest, attempt: AttemptRecord): boolean {
  const pool = state.configuration.view?.pools.get(attempt.pool);
  const { facts, resumes } = request;
  return pool?.kind === 'model' && facts.streamed && resumes < state.settings.maxResumes;
}

/** Whether the pool has an untried upstream that accepts new requests. */
function hasUntriedUpstream(state: CoreState, request: DispatchedRequest): boolean {
  const upstreams = state.configuration.view?.upstreamsByPool.get(request.facts.pool) ?? [];
  return upstreams.some(
    (upstream) => !request.tried.includes(upstream.id) && !isUpstreamStopping(state, upstream.id),
  );
}

function emitCacheMove(ctx: CoreContext, from: CacheMove, to: UpstreamConfig): void {
  ctx.emit({
    kind: 'moveCache',
    attemptId: from.attemptId,
    fromUrl: from.fromUrl,
    toUrl: to.url,
  });
}

function resolveTarget(state: CoreState, grant: SlotGrant): Target | undefined {
  const { view } = state.configuration;
  const upstream = view?.upstreams.get(grant.upstream);
  const pool = upstream && view?.pools.get(upstream.pool);
  return upstream === undefined || pool === undefined ? undefined : { upstream, pool };
}

function allocateAttemptId(ctx: CoreContext): AttemptId {
  const { attempts, self } = ctx.state;
  const number = attempts.nextNumber;
  attempts.nextNumber += 1;
  return `${self.id}-${self.incarnation.toString(36)}-${number.toString(36)}`;
}
