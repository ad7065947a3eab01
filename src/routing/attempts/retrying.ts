/**
 * Sends a request to another upstream than those that it was sent to, if its route, its deadline, the retry
 * budget and what is known of its crashes permit it.
 */
import { emit, logWarning, type RoutingContext } from '../context.js';
import { countInstances } from '../exchange/countedInstances.js';
import { rank, type Placement, type Ranking } from '../placement/placement.js';
import { mayRetryAt } from '../rateLimits/rateLimits.js';
import {
  createRetryBudget,
  type RetryBudget,
  type RetryBudgetOptions,
} from '../retries/retryBudget.js';
import { findBlockedCause } from '../suspects/suspects.js';
import type { PoolId } from '../types.js';
import type { OpenRequest } from './attemptsState.js';
import { attemptDeadline, sendToUpstream } from './sending.js';

/**
 * Fraction of the retry budget that is used. The reserve is for restarts: a restarted instance
 * starts a new window, so its retries before and after the restart are not limited together.
 */
const USABLE_BUDGET_FRACTION = 0.7;

/** Returns the retry budget of a pool, and creates it on first use. */
export function retryBudgetFor(ctx: RoutingContext, pool: PoolId): RetryBudget {
  const { retries } = ctx.state;
  const budget = retries.get(pool) ?? createRetryBudget();
  retries.set(pool, budget);
  return budget;
}

/** Whether the route, the retry budget and the upstreams permit a retry at another upstream now. */
export function canRetryElsewhere(ctx: RoutingContext, request: OpenRequest): boolean {
  if (request.tried.length >= request.route.maxUpstreams) return false;
  if (findBlockedCause(ctx, request.facts) !== undefined) return false;
  const hasBudget =
    retryBudgetFor(ctx, request.pool).remaining(ctx.now, retryBudgetOptions(ctx)) >= 1;
  return hasBudget && takeForRetry(ctx, rankOthers(ctx, request)) !== undefined;
}

/** Ranks the upstreams that a request has not been sent to. */
function rankOthers(ctx: RoutingContext, request: OpenRequest): Ranking {
  const { facts, route, pool, versionNeed } = request;
  const excluded = [...request.tried, ...request.unreachable];
  const withinMs = route.objectiveMs;
  return rank(ctx, { facts, route, pool, versionNeed, excluded, withinMs, rereadFactor: 0 });
}

/** Takes the best upstream that accepts a retry now. */
function takeForRetry(ctx: RoutingContext, ranking: Ranking): Placement | undefined {
  let placement = ranking.next();
  while (placement !== undefined && !mayRetryAt(ctx, placement.upstream))
    placement = ranking.next();
  return placement;
}

/**
 * Sends a request to another upstream if its route, its deadline and the retry budget permit it.
 * Returns whether it was sent.
 */
export function retryElsewhere(ctx: RoutingContext, request: OpenRequest): boolean {
  const { facts, route, pool } = request;
  if (request.tried.length >= route.maxUpstreams || ctx.now >= attemptDeadline(request))
    return false;
  if (isRefusedNow(ctx, request)) return false;
  const ranking = rankOthers(ctx, request);
  const placement = takeForRetry(ctx, ranking);
  if (placement === undefined) return false;
  // A retry consumes budget only if an earlier attempt may have reached an upstream.
  if (
    request.tried.length > 0 &&
    !retryBudgetFor(ctx, pool).tryConsume(ctx.now, retryBudgetOptions(ctx))
  ) {
    logWarning(ctx, 'retryBudgetSpent', { request: facts.requestId, pool });
    return false;
  }
  sendToUpstream(ctx, request, placement, { passedOver: [], unwilling: ranking.unwilling });
  return true;
}

/** Whether a cause of the request has been found to crash upstreams since it was sent. */
function isRefusedNow(ctx: RoutingContext, { facts }: OpenRequest): boolean {
  const blocked = findBlockedCause(ctx, facts);
  if (blocked === undefined) return false;
  const { hash: cause, part, crashes } = blocked;
  logWarning(ctx, 'notRetried', { request: facts.requestId, cause, part, crashes });
  emit(ctx, { kind: 'count', decision: 'notRetried' });
  return true;
}

function retryBudgetOptions(ctx: RoutingContext): RetryBudgetOptions {
  const { settings } = ctx.state;
  return {
    ratio: settings.retryRatio * USABLE_BUDGET_FRACTION,
    slack: (settings.retrySlack * USABLE_BUDGET_FRACTION) / countInstances(ctx),
    windowMs: settings.retryWindowMs,
  };
}
