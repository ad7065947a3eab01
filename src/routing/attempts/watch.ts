/**
 * Watches over open requests and upstreams in short intervals: time limits, upstreams that have
 * fallen silent, and requests that hang at an upstream which answers others.
 */
import type { Millis } from '../../core/clock.js';
import type { RoutingContext } from '../context.js';
import { emit, setTimer } from '../context.js';
import { updateFreshness } from '../freshness/freshness.js';
import { expireCrashes } from '../suspects/suspects.js';
import { longestSilence, noteLost, probeLost } from '../upstreams/health.js';
import { dropMissing } from '../upstreams/list.js';
import type { Upstream } from '../upstreams/upstreamsState.js';
import { cancelAttempt, fail, hasElsewhere, isRepeatable } from './attempts.js';
import type { Attempt, OpenRequest } from './attemptsState.js';

const WATCH_INTERVAL_MS: Millis = 100;
/** Time without a first part after which a repeatable request is tried elsewhere, in objectives. */
const HANG_OBJECTIVES = 2;

export function onWatchTimer(ctx: RoutingContext): void {
  updateFreshness(ctx);
  dropMissing(ctx);
  expireCrashes(ctx);
  findSilentUpstreams(ctx, takeDelay(ctx));
  [...ctx.state.requests.open.values()].forEach((request) => check(ctx, request));
  probeLost(ctx);
  setTimer(ctx, 'health', WATCH_INTERVAL_MS);
}

function check(ctx: RoutingContext, request: OpenRequest): void {
  const dueAt = request.isAnswering ? request.deadlineAt : request.dueAt;
  if (ctx.now >= dueAt) {
    cancelAttempt(ctx, request);
    fail(ctx, request, 504, 'timedOut', { limitMs: Math.round(dueAt - request.arrivedAt) });
    return;
  }
  const attempt = attemptOf(ctx, request);
  if (attempt !== undefined && isHanging(ctx, request, attempt)) {
    moveElsewhere(ctx, request, attempt);
  }
}

function isHanging(ctx: RoutingContext, request: OpenRequest, attempt: Attempt): boolean {
  if (!isRepeatable(request)) return false;
  const upstream = ctx.state.upstreams.byId.get(attempt.upstream);
  if (upstream?.reachability.kind === 'lost') return true;
  if (attempt.firstPartAt !== undefined) return false;
  const limit = Math.max(attempt.expectedMs, request.route.objectiveMs) * HANG_OBJECTIVES;
  return ctx.now - attempt.startedAt > limit;
}

/**
 * Has an attempt ended for one at another upstream, if there is one. The request is sent again once
 * the end is reported, since the attempt may begin to answer meanwhile.
 */
function moveElsewhere(ctx: RoutingContext, request: OpenRequest, attempt: Attempt): void {
  if (request.isMoving || !hasElsewhere(ctx, request)) return;
  request.isMoving = true;
  const upstream = ctx.state.upstreams.byId.get(attempt.upstream);
  const mayResume = upstream?.reachability.kind === 'lost';
  emit(ctx, { kind: 'withdraw', attempt: attempt.number, mayResume });
}

/**
 * By how much this watch is late. What came from upstreams meanwhile is read after it, so that much
 * of their silence may be this process's own.
 */
function takeDelay({ state, now }: RoutingContext): Millis {
  const { requests } = state;
  const delayMs = now - (requests.watchedAt ?? now) - WATCH_INTERVAL_MS;
  requests.watchedAt = now;
  return Math.max(0, delayMs);
}

/** Upstreams with open work from which nothing has come for too long. */
function findSilentUpstreams(ctx: RoutingContext, delayMs: Millis): void {
  const oldest = new Map<Upstream, { since: Millis; objectiveMs: Millis }>();
  ctx.state.requests.attempts.forEach((attempt) => {
    const upstream = ctx.state.upstreams.byId.get(attempt.upstream);
    const request = ctx.state.requests.open.get(attempt.request);
    if (upstream === undefined || request === undefined) return;
    const known = oldest.get(upstream) ?? { since: Infinity, objectiveMs: 0 };
    const since = attempt.lastPartAt ?? attempt.startedAt + attempt.expectedMs;
    oldest.set(upstream, {
      since: Math.min(known.since, since),
      objectiveMs: Math.max(known.objectiveMs, request.route.objectiveMs),
    });
  });
  oldest.forEach(({ since, objectiveMs }, upstream) => {
    const silentForMs = ctx.now - delayMs - Math.max(since, upstream.lastHeardAt);
    if (silentForMs > longestSilence(upstream, objectiveMs)) noteLost(ctx, upstream, 'silent');
  });
}

function attemptOf(ctx: RoutingContext, { attempt }: OpenRequest): Attempt | undefined {
  return attempt === undefined ? undefined : ctx.state.requests.attempts.get(attempt);
}
