/**
 * Periodic health check of open requests and upstreams. Enforces time limits, detects upstreams
 * that have stopped responding, and retries requests that wait at such an upstream or stall at one
 * that still answers others.
 */
import type { Millis } from '../../core/clock.js';
import type { RoutingContext } from '../context.js';
import { emit, setTimer } from '../context.js';
import { exchangeDelay, recordTimerDelay } from '../load/ownDelay.js';
import { replaceOverdueRead, updateFreshness } from '../freshness/freshness.js';
import { expireSuspects, findBlockedCause } from '../suspects/suspects.js';
import { silenceTimeout, markLost, probeLostUpstreams } from '../upstreams/health.js';
import { recordSilence } from '../upstreams/crashes.js';
import { removeMissing, replaceOverdueListRead } from '../upstreams/list.js';
import { endPauses } from '../upstreams/pauses.js';
import type { Upstream } from '../upstreams/upstreamsState.js';
import { cancelAttempt, failRequest, isRepeatable } from './attempts.js';
import type { Attempt, OpenRequest } from './attemptsState.js';
import { findUpstream, recordUnfinished } from './accounting.js';
import { canRetryElsewhere } from './retrying.js';
import { attemptDeadline } from './sending.js';

const HEALTH_CHECK_INTERVAL_MS: Millis = 100;
/**
 * A repeatable request without a first part is retried at another upstream after this multiple of
 * its objective, or of its expected time if that is longer.
 */
const STALL_OBJECTIVE_FACTOR = 2;
/** Fraction of an attempt's time after which it is retried at the latest, to leave time for the retry. */
const STALL_TIME_FRACTION = 0.5;

export function onHealthTimer(ctx: RoutingContext): void {
  replaceOverdueRead(ctx);
  replaceOverdueListRead(ctx);
  updateFreshness(ctx);
  removeMissing(ctx);
  expireSuspects(ctx);
  endPauses(ctx);
  const delayMs = takeTimerDelay(ctx);
  recordTimerDelay(ctx, delayMs);
  detectSilentUpstreams(ctx, delayMs);
  abandonBlocked(ctx);
  [...ctx.state.requests.open.values()].forEach((request) => checkOpenRequest(ctx, request));
  probeLostUpstreams(ctx);
  setTimer(ctx, 'health', HEALTH_CHECK_INTERVAL_MS);
}

function checkOpenRequest(ctx: RoutingContext, request: OpenRequest): void {
  const dueAt = request.hasAnswerStarted ? request.deadlineAt : request.dueAt;
  if (ctx.now >= dueAt) {
    recordTimeout(ctx, request);
    cancelAttempt(ctx, request);
    failRequest(ctx, request, 504, 'timedOut', { limitMs: Math.round(dueAt - request.arrivedAt) });
    return;
  }
  const attempt = findAttempt(ctx, request);
  if (attempt !== undefined && isStalled(ctx, request, attempt)) {
    withdrawAttempt(ctx, request, attempt);
  }
}

/** Ends the requests that wait at an upstream with a cause that has been found to crash upstreams. */
function abandonBlocked(ctx: RoutingContext): void {
  const { requests, suspects } = ctx.state;
  if (!suspects.hasNewBlocked) return;
  suspects.hasNewBlocked = false;
  [...requests.open.values()].forEach((request) => {
    if (request.isTrial || request.hasAnswerStarted) return;
    const blocked = findBlockedCause(ctx, request.facts);
    if (blocked === undefined) return;
    cancelAttempt(ctx, request);
    const { hash: cause, part, crashes } = blocked;
    failRequest(ctx, request, 502, 'crashesUpstreams', { cause, part, crashes });
  });
}

function isStalled(ctx: RoutingContext, request: OpenRequest, attempt: Attempt): boolean {
  if (!isRepeatable(request)) return false;
  const upstream = ctx.state.upstreams.byId.get(attempt.upstream);
  if (upstream?.reachability.kind === 'lost') return true;
  if (attempt.firstPartAt !== undefined) return false;
  const limitMs = Math.min(
    Math.max(attempt.expectedMs, request.route.objectiveMs) * STALL_OBJECTIVE_FACTOR,
    (attemptDeadline(request) - attempt.startedAt) * STALL_TIME_FRACTION,
  );
  return ctx.now - attempt.startedAt > limitMs + exchangeDelay(ctx);
}

/** Counts an attempt that its time limit ends against its upstream, if it took far longer than usual. */
function recordTimeout(ctx: RoutingContext, request: OpenRequest): void {
  const attempt = findAttempt(ctx, request);
  const upstream = attempt === undefined ? undefined : findUpstream(ctx, attempt);
  if (attempt === undefined || upstream === undefined) return;
  recordUnfinished(ctx, upstream, ctx.now - attempt.startedAt);
}

/**
 * Withdraws an attempt if the request can be sent to another upstream. It is sent there only once
 * the end of the attempt is reported, because the attempt may start to answer in the meantime.
 */
function withdrawAttempt(ctx: RoutingContext, request: OpenRequest, attempt: Attempt): void {
  if (request.isWithdrawing || !canRetryElsewhere(ctx, request)) return;
  request.isWithdrawing = true;
  const upstream = ctx.state.upstreams.byId.get(attempt.upstream);
  const mayResume = upstream?.reachability.kind === 'lost';
  emit(ctx, { kind: 'withdraw', attempt: attempt.number, mayResume });
}

/**
 * Returns how late this check runs and records its time. Data that arrived from upstreams during
 * the delay is processed only after the check, so the delay must not count as silence of an
 * upstream.
 */
function takeTimerDelay({ state, now }: RoutingContext): Millis {
  const { requests } = state;
  const delayMs = now - (requests.lastCheckedAt ?? now) - HEALTH_CHECK_INTERVAL_MS;
  requests.lastCheckedAt = now;
  return Math.max(0, delayMs);
}

/** Marks upstreams as lost that have open work and have sent nothing for too long. */
function detectSilentUpstreams(ctx: RoutingContext, delayMs: Millis): void {
  const waitingByUpstream = new Map<Upstream, { since: Millis; objectiveMs: Millis }>();
  ctx.state.requests.attempts.forEach((attempt) => {
    const upstream = ctx.state.upstreams.byId.get(attempt.upstream);
    const request = ctx.state.requests.open.get(attempt.request);
    if (upstream === undefined || request === undefined) return;
    const previous = waitingByUpstream.get(upstream) ?? { since: Infinity, objectiveMs: 0 };
    const since = attempt.lastPartAt ?? attempt.startedAt + attempt.expectedMs;
    waitingByUpstream.set(upstream, {
      since: Math.min(previous.since, since),
      objectiveMs: Math.max(previous.objectiveMs, request.route.objectiveMs),
    });
  });
  waitingByUpstream.forEach(({ since, objectiveMs }, upstream) => {
    const unreadMs = Math.max(delayMs, exchangeDelay(ctx));
    const silentForMs = ctx.now - unreadMs - Math.max(since, upstream.lastHeardAt);
    const isNewlySilent =
      upstream.reachability.kind !== 'lost' && silentForMs > silenceTimeout(upstream, objectiveMs);
    if (!isNewlySilent) return;
    markLost(ctx, upstream, 'silent');
    recordSilence(ctx, upstream);
  });
}

function findAttempt(ctx: RoutingContext, { attempt }: OpenRequest): Attempt | undefined {
  return attempt === undefined ? undefined : ctx.state.requests.attempts.get(attempt);
}
