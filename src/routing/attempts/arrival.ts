/**
 * Handles the arrival of a request: finds its route and customer, applies admission control and
 * chooses an upstream.
 */
import type { Millis } from '../../core/clock.js';
import {
  decideAdmission,
  isOverShare,
  maxDecisionDelay,
  placementLimit,
  computeRereadFactor,
  type AdmissionDecision,
} from '../admission/admission.js';
import { emit, logWarning, type RoutingContext } from '../context.js';
import { remainingGrace } from '../drain/stop.js';
import { isConfirmed, isOutdated, staleRetryAfter } from '../freshness/freshness.js';
import { readingDelay } from '../load/ownDelay.js';
import { poolSpeed, poolWait, rank, type LeftOut, type Placement } from '../placement/placement.js';
import { chooseTurn, hasTurn } from '../rateLimits/rateLimits.js';
import { pickPool } from '../routes/routeTable.js';
import { recordRouteAdmission, recordRouteRequest, waitFactor } from '../shares/kindBalance.js';
import {
  recordTokenDemand,
  computeShare,
  requestCost,
  type FairShareUsage,
} from '../shares/tokenShares.js';
import { findBlockedCause, tryTrial, type BlockedCause } from '../suspects/suspects.js';
import { findStreamStart } from '../versions/streams.js';
import type {
  BodyRoom,
  CustomerName,
  PoolId,
  RequestFacts,
  Route,
  RoutingConfiguration,
} from '../types.js';
import { hasOpenUpstream } from '../upstreams/availability.js';
import type { OpenRequest } from './attemptsState.js';
import {
  createAdmissionRefusal,
  createBlockedRefusal,
  createBusyRefusal,
  createLimitedRefusal,
  createNoRoomRefusal,
  createNoUpstreamRefusal,
  createStaleRefusal,
  createVersionRefusal,
  refuse,
  type Refusal,
} from './refusals.js';
import { retryBudgetFor } from './retrying.js';
import { sendToUpstream } from './sending.js';

const STOPPING_RETRY_AFTER_MS: Millis = 50;
/** Duration of a long stream, as a multiple of the usual one. */
const LONG_STREAM_FACTOR = 3;

/** Value of a turn for a customer beyond its share, relative to the others; below any difference of cost. */
const OVER_SHARE_TURN_VALUE = 1e-6;

export function onRequestArrived(ctx: RoutingContext, facts: RequestFacts): void {
  const checked = checkRequest(ctx, facts);
  if ('status' in checked) {
    refuse(ctx, facts, checked);
    return;
  }
  const { route, customer, isTrial } = checked;
  const start = findStreamStart(ctx, facts, route);
  if (start.kind === 'unknown' || start.kind === 'gone') {
    refuse(ctx, facts, createVersionRefusal(ctx, facts, route, start));
    return;
  }
  const pool = start.kind === 'known' ? start.pool : pickPool(route, ctx.state.random);
  if (pool === undefined) {
    refuse(ctx, facts, createNoUpstreamRefusal(ctx, 'the route has no target pool', undefined, []));
    return;
  }
  const tooLong = checkGrace(ctx, facts, route, pool);
  if (tooLong !== undefined) {
    refuse(ctx, facts, tooLong);
    return;
  }
  const request = createRequest(ctx, facts, { route, customer, isTrial }, pool);
  if (start.kind === 'known') {
    request.versionNeed = { kind: 'only', version: start.version };
    emit(ctx, { kind: 'count', decision: start.by === 'id' ? 'takenUp' : 'takenUpUntold' });
  }
  retryBudgetFor(ctx, pool).recordRequest(ctx.now);
  admit(ctx, request);
}

/**
 * Decides on a request with a long body before the body is read: it is refused at once if the whole request
 * would be, or if its body cannot be kept.
 */
export function onHeadArrived(ctx: RoutingContext, facts: RequestFacts, room: BodyRoom): void {
  const access = checkAccess(ctx, facts);
  if ('status' in access) refuse(ctx, facts, access);
  else if (!access.route.targets.some(({ pool }) => hasOpenUpstream(ctx, pool))) {
    const detail = 'no upstream of the route is ready and reachable';
    refuse(ctx, facts, createNoUpstreamRefusal(ctx, detail, access.route.targets[0]?.pool, []));
  } else if (!room.hasRoom) refuse(ctx, facts, createNoRoomRefusal(ctx, access.route, room));
  else emit(ctx, { kind: 'readBody', request: facts.request });
}

interface Access {
  readonly route: Route;
  readonly customer: CustomerName | undefined;
}

interface RouteMatch extends Access {
  /** Whether the request is sent to see if upstreams still crash on it. */
  readonly isTrial: boolean;
}

/** Finds the route and customer of a request, or the reason to refuse it. */
function checkRequest(ctx: RoutingContext, facts: RequestFacts): RouteMatch | Refusal {
  const access = checkAccess(ctx, facts);
  if ('status' in access) return access;
  const tooLate = checkQueueTime(ctx, facts, access.route);
  if (tooLate !== undefined) {
    // The customer is owed it all the same, although its callers reach a busy instance.
    recordDemandOf(ctx, facts, access.customer);
    return tooLate;
  }
  const blocked = findBlockedCause(ctx, facts);
  if (blocked === undefined) return { ...access, isTrial: false };
  return tryAgain(ctx, facts, blocked)
    ? { ...access, isTrial: true }
    : createBlockedRefusal(blocked);
}

/** Finds the route and customer of a request, or why it may not be served whatever its body. */
function checkAccess(ctx: RoutingContext, facts: RequestFacts): Access | Refusal {
  const { configuration } = ctx.state.freshness;
  if (configuration === undefined) {
    const retryAfterMs = staleRetryAfter(ctx.state);
    return { status: 503, reason: 'noConfiguration', retryAfterMs };
  }
  const stopping = checkStopping(ctx);
  if (stopping !== undefined) return stopping;
  const route = ctx.state.freshness.routeTable.find(facts.host, facts.path);
  const customer = findCustomer(configuration, facts);
  const allowsAnonymous = route !== undefined && (route.isPublic || !configuration.hasCustomers);
  const mayServe = !isOutdated(ctx) && (allowsAnonymous || isConfirmed(ctx));
  if (!mayServe) return createStaleRefusal(ctx);
  if (route === undefined) return { status: 404, reason: 'noRoute' };
  if (!allowsAnonymous && customer === undefined) return { status: 401, reason: 'unknownKey' };
  return { route, customer };
}

/** Returns whether a request that may crash the upstream is due to be sent all the same. */
function tryAgain(ctx: RoutingContext, facts: RequestFacts, blocked: BlockedCause): boolean {
  if (!tryTrial(ctx, facts)) return false;
  const { hash: cause, part, crashes } = blocked;
  emit(ctx, { kind: 'count', decision: 'triedAgain' });
  logWarning(ctx, 'triedAgain', { request: facts.requestId, cause, part, crashes });
  return true;
}

/** Refuses a request that waited too long at this instance for an upstream to answer in time. */
function checkQueueTime(
  ctx: RoutingContext,
  { waitedMs = 0 }: RequestFacts,
  { objectiveMs }: Route,
): Refusal | undefined {
  const limitMs = maxDecisionDelay(objectiveMs);
  if (waitedMs <= limitMs) return undefined;
  return createBusyRefusal(ctx, { waitedMs: Math.round(waitedMs), limitMs });
}

function checkStopping(ctx: RoutingContext): Refusal | undefined {
  const { stopRequestedAt, settings } = ctx.state;
  if (stopRequestedAt === undefined) return undefined;
  const sinceMs = ctx.now - stopRequestedAt;
  if (sinceMs < settings.stopAcceptMs) return undefined;
  const retryAfterMs = STOPPING_RETRY_AFTER_MS;
  return { status: 503, reason: 'stopping', retryAfterMs, fields: { sinceMs } };
}

/**
 * Refuses a request that may not end within the grace time of a stop: it would be cut, and another
 * instance can serve it. Most streams end long before their deadline, so they are judged by how long
 * requests usually occupy their upstream.
 */
function checkGrace(
  ctx: RoutingContext,
  { deadlineMs = Infinity }: RequestFacts,
  { mode, timeoutMs }: Route,
  pool: PoolId,
): Refusal | undefined {
  const graceMs = remainingGrace(ctx);
  if (graceMs === undefined) return undefined;
  const isStream = mode === 'stream' || mode === 'resumableStream';
  const usualMs = poolSpeed(ctx, pool).holdMs() ?? Infinity;
  const longestMs = isStream
    ? Math.min(deadlineMs, usualMs * LONG_STREAM_FACTOR)
    : Math.min(deadlineMs, timeoutMs);
  if (longestMs <= graceMs) return undefined;
  const fields = { graceMs: Math.round(graceMs), longestMs: Math.round(longestMs) };
  return { status: 503, reason: 'stopping', retryAfterMs: STOPPING_RETRY_AFTER_MS, fields };
}

function findCustomer(
  configuration: RoutingConfiguration,
  { key }: RequestFacts,
): CustomerName | undefined {
  return key === undefined ? undefined : configuration.customersByKey.get(key);
}

function createRequest(
  ctx: RoutingContext,
  facts: RequestFacts,
  { route, customer, isTrial }: RouteMatch,
  pool: string,
): OpenRequest {
  const deadlineMs = facts.deadlineMs ?? route.timeoutMs;
  const arrivedAt = ctx.now - (facts.waitedMs ?? 0);
  return {
    facts,
    route,
    pool,
    customer,
    arrivedAt,
    dueAt: arrivedAt + Math.min(deadlineMs, route.timeoutMs),
    deadlineAt: arrivedAt + deadlineMs,
    tried: [],
    unreachable: [],
    versionNeed: { kind: 'any' },
    isTrial,
    attempt: undefined,
    isWithdrawing: false,
    hasAnswerStarted: false,
    firstPartAt: undefined,
  };
}

/**
 * Sends a request to the best upstream that can begin in time and accepts another request now, or
 * refuses it.
 */
function admit(ctx: RoutingContext, request: OpenRequest): void {
  const { facts, route, pool, versionNeed } = request;
  const share = recordDemandAndShare(ctx, request);
  const withinMs = placementLimit(route.objectiveMs, share);
  const rereadFactor = computeRereadFactor(share);
  const ranking = rank(ctx, {
    facts,
    route,
    pool,
    versionNeed,
    excluded: [],
    withinMs,
    rereadFactor,
  });
  let placement = ranking.next();
  if (placement === undefined) {
    refuse(
      ctx,
      facts,
      createNoUpstreamRefusal(
        ctx,
        'no upstream of the pool is ready and reachable',
        pool,
        ranking.unwilling,
      ),
    );
    return;
  }
  const decision = decide(ctx, request, placement, share);
  recordRouteRequest(ctx, pool, route);
  if (decision.kind === 'refuse') {
    refuse(ctx, facts, createAdmissionRefusal(ctx, request, placement, share, decision));
    return;
  }
  const { unwilling } = ranking;
  const passedOver: Placement[] = [];
  const deferred: Placement[] = [];
  while (placement !== undefined && decide(ctx, request, placement, share).kind === 'admit') {
    const choice = chooseTurn(ctx, placement.upstream, valueOfTurn(facts, placement, share));
    if (choice !== 'defer' && hasTurn(ctx, placement.upstream)) {
      const better = passedOver.map(({ upstream }) => upstream);
      send(ctx, request, placement, { passedOver: better, unwilling });
      return;
    }
    passedOver.push(placement);
    if (choice === 'defer' && !isOverShare(share)) deferred.push(placement);
    placement = ranking.next();
  }
  const turn = deferred.find(({ upstream }) => hasTurn(ctx, upstream));
  if (turn === undefined) refuse(ctx, facts, createLimitedRefusal(ctx, request, passedOver, share));
  else send(ctx, request, turn, { passedOver: [], unwilling });
}

/**
 * Returns the value of a turn at a limited upstream: the cost of the request for another upstream. A
 * customer beyond its share gets turns that nobody else asks for.
 */
function valueOfTurn(
  { outputTokens }: RequestFacts,
  { uncachedTokens }: Placement,
  share: FairShareUsage | undefined,
): number {
  const cost = 1 + requestCost(uncachedTokens, outputTokens);
  return isOverShare(share) ? cost * OVER_SHARE_TURN_VALUE : cost;
}

/** Decides whether a request may be sent to the upstream of a placement. */
function decide(
  ctx: RoutingContext,
  { facts, route, pool, deadlineAt }: OpenRequest,
  placement: Placement,
  share: FairShareUsage | undefined,
): AdmissionDecision {
  const ownDelayMs = (facts.waitedMs ?? 0) + readingDelay(ctx);
  return decideAdmission(
    {
      // The objective counts from the arrival.
      firstEventMs: placement.admissionMs + ownDelayMs,
      ownDelayMs,
      unloadedMs: placement.unloadedMs,
      promptReadMs: placement.promptReadMs,
      objectiveMs: route.objectiveMs,
      shortestObjectiveMs:
        ctx.state.freshness.routeTable.shortestObjective(pool) ?? route.objectiveMs,
      waitFactor: waitFactor(ctx, pool, route),
      remainingMs: deadlineAt - ctx.now,
      ...(share === undefined ? {} : { share }),
    },
    ctx.state.random,
  );
}

function send(
  ctx: RoutingContext,
  request: OpenRequest,
  placement: Placement,
  leftOut: LeftOut,
): void {
  recordRouteAdmission(ctx, request.pool, request.route);
  if (leftOut.passedOver.length > 0) emit(ctx, { kind: 'count', decision: 'passedOver' });
  ctx.state.requests.open.set(request.facts.request, request);
  sendToUpstream(ctx, request, placement, leftOut);
}

/** Adds a request to its customer's demand. Returns the customer's rates and its fair share. */
function recordDemandAndShare(
  ctx: RoutingContext,
  request: OpenRequest,
): FairShareUsage | undefined {
  const { facts, customer } = request;
  if (customer === undefined || tokenCost(facts) === 0) return undefined;
  // Computed before this request is counted, since none of its tokens have been admitted yet.
  const { idleness } = poolWait(ctx, request.pool);
  const share = computeShare(ctx, customer, idleness());
  recordDemandOf(ctx, facts, customer);
  return share;
}

function recordDemandOf(
  ctx: RoutingContext,
  facts: RequestFacts,
  customer: CustomerName | undefined,
): void {
  const tokens = tokenCost(facts);
  if (customer !== undefined && tokens > 0) recordTokenDemand(ctx, customer, tokens);
}

function tokenCost({ promptTokens, outputTokens }: RequestFacts): number {
  return requestCost(promptTokens, outputTokens);
}
