/**
 * Attempts of a request at upstreams and what follows from their outcomes. A request that may not be
 * repeated is sent again only if no upstream can have run it; refusals are given to such requests
 * only. Others get an explicit error that promises nothing.
 */
import { Debug } from '../../core/debug.js';
import type { Millis } from '../../core/clock.js';
import { emit, logInfo, logWarning, type RoutingContext } from '../context.js';
import type { RoutingEventCode } from '../eventTable.js';
import { countInstances } from '../exchange/exchange.js';
import { connectionLimit, notePrefix, place } from '../placement/placement.js';
import type { Placement } from '../placement/placement.js';
import {
  createRetryBudget,
  type RetryBudget,
  type RetryBudgetOptions,
} from '../retries/retryBudget.js';
import { noteAdmitted, tokensOf } from '../shares/tokenShares.js';
import type {
  AttemptOutcome,
  AttemptPlan,
  LogFields,
  LocalStatus,
  PoolId,
  RoutingEvent,
} from '../types.js';
import { noteHeard } from '../upstreams/health.js';
import { noteFirstPart, noteOutcome, release, upstreamOf } from './accounting.js';
import type { Attempt, OpenRequest } from './attemptsState.js';
import { FIRST_ERROR_STATUS, NOT_RUN_STATUSES } from './statuses.js';

/** Return time of callers whose request was declined by all upstreams that it may be sent to. */
const DECLINED_RETRY_MS: Millis = 200;
/** Part of the budget that is used; windows of instances that restart do not add up. */
const USABLE_BUDGET = 0.7;
/** An upstream is always given some time. */
const MIN_DEADLINE_MS: Millis = 1;

type Answered = Extract<RoutingEvent, { readonly kind: 'attemptAnswered' }>;

/** Sends a request to the upstream that was chosen. */
export function sendTo(ctx: RoutingContext, request: OpenRequest, placement: Placement): void {
  const { facts, customer } = request;
  const { id } = placement.upstream.listed;
  const attempt = openAttempt(ctx, request, placement);
  notePrefix(ctx, facts, placement.upstream);
  const isFirst = request.tried.length === 0 && request.unreachable.length === 0;
  if (isFirst && customer !== undefined) {
    noteAdmitted(ctx, customer, tokensOf(facts.promptTokens, facts.outputTokens));
  }
  request.tried.push(id);
  emit(ctx, { kind: 'send', plan: planOf(ctx, request, attempt, placement) });
  const again = request.isAnswering ? 'resumed' : 'retried';
  const code = isFirst ? 'sent' : again;
  emit(ctx, { kind: 'count', decision: code });
  logInfo(ctx, code, describePlacement(ctx, request, placement));
}

/** Creates the attempt and adds its work to the upstream. */
function openAttempt(ctx: RoutingContext, request: OpenRequest, placement: Placement): Attempt {
  const { requests } = ctx.state;
  const { facts } = request;
  const { upstream, uncachedTokens } = placement;
  const attempt: Attempt = {
    number: requests.nextAttempt,
    request: facts.request,
    upstream: upstream.listed.id,
    bornAt: upstream.listed.bornAt,
    startedAt: ctx.now,
    uncachedTokens,
    tokensAhead: placement.tokensAhead,
    heldTokens: facts.promptTokens + facts.outputTokens,
    expectedMs: placement.firstMs,
    firstPartAt: undefined,
    lastPartAt: undefined,
  };
  requests.nextAttempt += 1;
  requests.attempts.set(attempt.number, attempt);
  request.attempt = attempt.number;
  upstream.own.running += 1;
  upstream.own.pendingTokens += uncachedTokens;
  upstream.own.heldTokens += attempt.heldTokens;
  return attempt;
}

function planOf(
  ctx: RoutingContext,
  request: OpenRequest,
  attempt: Attempt,
  { upstream }: Placement,
): AttemptPlan {
  const { route, pool, customer } = request;
  return {
    attempt: attempt.number,
    request: attempt.request,
    upstream: attempt.upstream,
    address: upstream.listed.address,
    bornAt: attempt.bornAt,
    ...(customer === undefined ? {} : { customer }),
    deadlineMs: Math.max(MIN_DEADLINE_MS, deadlineOf(request) - ctx.now),
    mode: route.mode,
    isResumed: request.isAnswering,
    maxConnections: connectionLimit(ctx, pool),
  };
}

/** The inputs by which an upstream was chosen. */
function describePlacement(
  ctx: RoutingContext,
  { facts, route, customer }: OpenRequest,
  placement: Placement,
): LogFields {
  return {
    request: facts.requestId,
    route: route.name,
    customer,
    upstream: placement.upstream.listed.id,
    version: ctx.state.freshness.configuration?.version,
    expectedMs: Math.round(placement.firstMs),
    ahead: Math.round(placement.tokensAhead),
    uncached: placement.uncachedTokens,
    running: placement.running,
    sharedToRead: placement.readAgainTokens,
    part: facts.prefix.at(-2)?.id,
    home: placement.home,
  };
}

/** Budget of retries of a pool. */
export function budgetOf(ctx: RoutingContext, pool: PoolId): RetryBudget {
  const { retries } = ctx.state;
  const budget = retries.get(pool) ?? createRetryBudget();
  retries.set(pool, budget);
  return budget;
}

export function onAttemptAnswered(ctx: RoutingContext, event: Answered): void {
  const attempt = ctx.state.requests.attempts.get(event.attempt);
  if (attempt === undefined) return;
  const upstream = upstreamOf(ctx, attempt);
  if (upstream !== undefined) noteHeard(ctx, upstream);
  const request = ctx.state.requests.open.get(attempt.request);
  // An answer of another kind is held back until the core has decided.
  if (request === undefined) return;
  request.isAnswering ||= event.status < FIRST_ERROR_STATUS;
  request.isMoving = false;
}

export function onAttemptProgress(ctx: RoutingContext, number: number): void {
  const attempt = ctx.state.requests.attempts.get(number);
  if (attempt === undefined) return;
  attempt.lastPartAt = ctx.now;
  const upstream = upstreamOf(ctx, attempt);
  if (upstream !== undefined) noteHeard(ctx, upstream);
  if (attempt.firstPartAt === undefined) noteFirstPart(ctx, attempt, upstream);
}

export function onAttemptEnded(ctx: RoutingContext, number: number, outcome: AttemptOutcome): void {
  const attempt = ctx.state.requests.attempts.get(number);
  if (attempt === undefined) return;
  const upstream = release(ctx, attempt);
  const request = ctx.state.requests.open.get(attempt.request);
  if (upstream !== undefined) noteOutcome(ctx, attempt, upstream, outcome, request);
  if (request?.attempt !== number) return;
  request.attempt = undefined;
  request.isMoving = false;
  settle(ctx, request, attempt, outcome);
}

export function onCallerGone(ctx: RoutingContext, number: number): void {
  const request = ctx.state.requests.open.get(number);
  if (request === undefined) return;
  ctx.state.requests.open.delete(number);
  const { facts, arrivedAt, firstPartAt } = request;
  emit(ctx, { kind: 'count', decision: 'callerGone' });
  logInfo(ctx, 'callerGone', {
    request: facts.requestId,
    afterMs: Math.round(ctx.now - arrivedAt),
    firstPartMs: firstPartAt === undefined ? undefined : Math.round(firstPartAt - arrivedAt),
    upstream: request.tried.at(-1),
  });
  cancelAttempt(ctx, request);
}

/** Ends the attempt of a request, if there is one. */
export function cancelAttempt(ctx: RoutingContext, request: OpenRequest): void {
  const { attempt } = request;
  request.attempt = undefined;
  const open = attempt === undefined ? undefined : ctx.state.requests.attempts.get(attempt);
  if (open === undefined) return;
  release(ctx, open);
  emit(ctx, { kind: 'cancel', attempt: open.number });
}

/** Ends a request with an answer of this instance, or by closing the connection if one has begun. */
export function fail(
  ctx: RoutingContext,
  request: OpenRequest,
  status: LocalStatus,
  reason: RoutingEventCode,
  detail: Readonly<Record<string, string | number | undefined>> = {},
): void {
  const { facts, arrivedAt } = request;
  ctx.state.requests.open.delete(facts.request);
  if (request.isAnswering) emit(ctx, { kind: 'cutAnswer', request: facts.request });
  else {
    const retryAfterMs = status === 503 ? DECLINED_RETRY_MS * (1 + ctx.state.random.next()) : 0;
    emit(ctx, {
      kind: 'answer',
      answer: {
        request: facts.request,
        status,
        reason,
        ...(retryAfterMs > 0 ? { retryAfterMs } : {}),
      },
    });
  }
  emit(ctx, { kind: 'count', decision: reason });
  logWarning(ctx, reason, {
    request: facts.requestId,
    status: request.isAnswering ? undefined : status,
    route: request.route.name,
    customer: request.customer,
    tried: request.tried.join(','),
    unreachable: request.unreachable.join(','),
    afterMs: Math.round(ctx.now - arrivedAt),
    ...detail,
  });
}

/** Whether a request could be sent to another upstream now. */
export function hasElsewhere(ctx: RoutingContext, request: OpenRequest): boolean {
  if (request.tried.length >= request.route.maxUpstreams) return false;
  const hasBudget = budgetOf(ctx, request.pool).left(ctx.now, budgetOptions(ctx)) >= 1;
  return hasBudget && placeElsewhere(ctx, request) !== undefined;
}

function placeElsewhere(ctx: RoutingContext, request: OpenRequest): Placement | undefined {
  const { facts, route, pool } = request;
  const excluded = [...request.tried, ...request.unreachable];
  const withinMs = route.objectiveMs;
  return place(ctx, { facts, route, pool, excluded, withinMs, spareReads: 0 });
}

/**
 * Sends a request to another upstream if its route and the budget allow it. Returns whether it did.
 */
export function sendElsewhere(ctx: RoutingContext, request: OpenRequest): boolean {
  const { facts, route, pool } = request;
  if (request.tried.length >= route.maxUpstreams || ctx.now >= deadlineOf(request)) return false;
  const placement = placeElsewhere(ctx, request);
  if (placement === undefined) return false;
  // Only requests that may have arrived somewhere draw on the budget.
  if (request.tried.length > 0 && !budgetOf(ctx, pool).take(ctx.now, budgetOptions(ctx))) {
    logWarning(ctx, 'retryBudgetSpent', { request: facts.requestId, pool });
    return false;
  }
  sendTo(ctx, request, placement);
  return true;
}

function budgetOptions(ctx: RoutingContext): RetryBudgetOptions {
  const { settings } = ctx.state;
  return {
    ratio: settings.retryRatio * USABLE_BUDGET,
    slack: (settings.retrySlack * USABLE_BUDGET) / countInstances(ctx),
    windowMs: settings.retryWindowMs,
  };
}

/** Time until which an upstream may work on a request. */
function deadlineOf(request: OpenRequest): Millis {
  return request.isAnswering ? request.deadlineAt : request.dueAt;
}

function settle(
  ctx: RoutingContext,
  request: OpenRequest,
  attempt: Attempt,
  outcome: AttemptOutcome,
): void {
  switch (outcome.kind) {
    case 'complete':
      finish(ctx, request, attempt, outcome.status);
      return;
    case 'notSent':
      request.tried.pop();
      request.unreachable.push(attempt.upstream);
      if (!sendElsewhere(ctx, request)) {
        fail(ctx, request, 503, 'notSent', { reason: outcome.reason, upstream: attempt.upstream });
      }
      return;
    case 'declined':
      if (!sendElsewhere(ctx, request)) {
        const { status } = outcome;
        fail(ctx, request, mayHaveRun(request) ? 502 : 503, 'declined', { upstreamStatus: status });
      }
      return;
    case 'failed':
      if (isRepeatable(request) && sendElsewhere(ctx, request)) return;
      settleError(ctx, request, attempt, outcome.status);
      return;
    case 'rejected':
      settleError(ctx, request, attempt, outcome.status);
      return;
    case 'cut':
      if (isRepeatable(request) && sendElsewhere(ctx, request)) return;
      fail(ctx, request, 502, 'answerCut', { upstream: attempt.upstream, reason: outcome.reason });
      return;
    case 'foreign':
      if (isRepeatable(request) && sendElsewhere(ctx, request)) return;
      fail(ctx, request, 502, 'foreignAnswer', { upstream: attempt.upstream });
      return;
    case 'cancelled':
      if (isRepeatable(request) && sendElsewhere(ctx, request)) return;
      fail(ctx, request, 504, 'timedOut', { upstream: attempt.upstream, reason: 'moved in vain' });
      return;
    default:
      Debug.assertNever(outcome);
  }
}

/** Whether a request may be sent again although an upstream may have run it. */
export function isRepeatable({ route, isAnswering, firstPartAt }: OpenRequest): boolean {
  // A stream that has begun can only go on after an event.
  if (route.mode === 'resumableStream') return !isAnswering || firstPartAt !== undefined;
  return route.mode === 'idempotent' && !isAnswering;
}

/** Whether an upstream before the one that declined may have run the request. */
function mayHaveRun(request: OpenRequest): boolean {
  return request.isAnswering || request.tried.length > 1;
}

function finish(ctx: RoutingContext, request: OpenRequest, attempt: Attempt, status: number): void {
  const { facts, arrivedAt, firstPartAt } = request;
  ctx.state.requests.open.delete(facts.request);
  const firstPartMs = (firstPartAt ?? ctx.now) - arrivedAt;
  emit(ctx, { kind: 'count', decision: 'served' });
  emit(ctx, { kind: 'observe', metric: 'firstPart', valueMs: firstPartMs });
  emit(ctx, { kind: 'observe', metric: 'whole', valueMs: ctx.now - arrivedAt });
  logInfo(ctx, 'served', {
    request: facts.requestId,
    status,
    upstream: attempt.upstream,
    firstPartMs: Math.round(firstPartMs),
    expectedMs: Math.round(attempt.expectedMs),
    wholeMs: Math.round(ctx.now - arrivedAt),
    attempts: request.tried.length,
  });
}

/** Gives the caller an upstream's error, unless its status would promise too much. */
function settleError(
  ctx: RoutingContext,
  request: OpenRequest,
  attempt: Attempt,
  status: number,
): void {
  if (request.isAnswering) {
    fail(ctx, request, 502, 'answerCut', { upstream: attempt.upstream, upstreamStatus: status });
  } else if (NOT_RUN_STATUSES.has(status)) {
    fail(ctx, request, 502, 'upstreamError', {
      upstream: attempt.upstream,
      upstreamStatus: status,
    });
  } else {
    passError(ctx, request, attempt, status);
  }
}

function passError(
  ctx: RoutingContext,
  request: OpenRequest,
  attempt: Attempt,
  status: number,
): void {
  const { facts } = request;
  ctx.state.requests.open.delete(facts.request);
  emit(ctx, { kind: 'passError', request: facts.request });
  emit(ctx, { kind: 'count', decision: 'upstreamError' });
  logWarning(ctx, 'upstreamError', {
    request: facts.requestId,
    status,
    upstream: attempt.upstream,
    tried: request.tried.join(','),
    afterMs: Math.round(ctx.now - request.arrivedAt),
  });
}
