/**
 * Handles the arrival of a request: finds its route and customer, applies admission control and
 * chooses an upstream.
 */
import type { Millis } from '../../core/clock.js';
import {
  decideAdmission,
  maxDecisionDelay,
  placementLimit,
  computeRereadFactor,
  type AdmissionDecision,
} from '../admission/admission.js';
import { emit, logWarning, type RoutingContext } from '../context.js';
import type { RoutingEventCode } from '../eventTable.js';
import {
  confirmationAge,
  maxConfirmationAge,
  isConfirmed,
  staleRetryAfter,
} from '../freshness/freshness.js';
import { ageOfRead } from '../freshness/sharedRead.js';
import { readingDelay } from '../load/ownDelay.js';
import { place, poolWait, type Placement } from '../placement/placement.js';
import { pickPool } from '../routes/routeTable.js';
import { recordRouteAdmission, recordRouteRequest, waitFactor } from '../shares/kindBalance.js';
import {
  recordTokenDemand,
  computeShare,
  requestCost,
  type FairShareUsage,
} from '../shares/tokenShares.js';
import { findBlockedCause, tryTrial, type BlockedCause } from '../suspects/suspects.js';
import type {
  CustomerName,
  LogFields,
  LocalStatus,
  RequestFacts,
  Route,
  RoutingConfiguration,
} from '../types.js';
import { retryBudgetFor, sendToUpstream } from './attempts.js';
import type { OpenRequest } from './attemptsState.js';

/** Mean retry delay of callers that no upstream can serve at present. */
const NO_UPSTREAM_RETRY_AFTER_MS: Millis = 400;
const STOPPING_RETRY_AFTER_MS: Millis = 50;
/**
 * Mean retry delay of callers whose instance is overloaded; their retry reaches another instance.
 */
const BUSY_RETRY_AFTER_MS: Millis = 200;

/** Tells a caller that its customer asks for too much, rather than that the service lacks capacity. */
const OVER_SHARE_STATUS = 429;

interface Refusal {
  readonly status: LocalStatus;
  readonly reason: RoutingEventCode;
  readonly retryAfterMs?: Millis;
  readonly fields?: LogFields;
}

export function onRequestArrived(ctx: RoutingContext, facts: RequestFacts): void {
  const checked = checkRequest(ctx, facts);
  if ('status' in checked) {
    refuse(ctx, facts, checked);
    return;
  }
  const { route, customer, isTrial } = checked;
  const pool = pickPool(route, ctx.state.random);
  if (pool === undefined) {
    refuse(ctx, facts, createNoUpstreamRefusal(ctx, 'the route has no target pool'));
    return;
  }
  const request = createRequest(ctx, facts, { route, customer, isTrial }, pool);
  retryBudgetFor(ctx, pool).recordRequest(ctx.now);
  admit(ctx, request);
}

interface RouteMatch {
  readonly route: Route;
  readonly customer: CustomerName | undefined;
  /** Whether the request is sent to see if upstreams still crash on it. */
  readonly isTrial: boolean;
}

/** Finds the route and customer of a request, or the reason to refuse it. */
function checkRequest(ctx: RoutingContext, facts: RequestFacts): RouteMatch | Refusal {
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
  if (!allowsAnonymous && !isConfirmed(ctx)) return createStaleRefusal(ctx);
  if (route === undefined) return { status: 404, reason: 'noRoute' };
  if (!allowsAnonymous && customer === undefined) return { status: 401, reason: 'unknownKey' };
  const tooLate = checkQueueTime(ctx, facts, route);
  if (tooLate !== undefined) return tooLate;
  const blocked = findBlockedCause(ctx, facts);
  if (blocked === undefined) return { route, customer, isTrial: false };
  return tryAgain(ctx, facts, blocked)
    ? { route, customer, isTrial: true }
    : refuseBlocked(blocked);
}

/** Returns whether a request that may crash the upstream is due to be sent all the same. */
function tryAgain(ctx: RoutingContext, facts: RequestFacts, blocked: BlockedCause): boolean {
  if (!tryTrial(ctx, facts)) return false;
  const { hash: cause, part, crashes } = blocked;
  emit(ctx, { kind: 'count', decision: 'triedAgain' });
  logWarning(ctx, 'triedAgain', { request: facts.requestId, cause, part, crashes });
  return true;
}

function refuseBlocked({ hash: cause, part, crashes, retryAfterMs }: BlockedCause): Refusal {
  const fields = { cause, part, crashes };
  return { status: 503, reason: 'crashesUpstreams', retryAfterMs, fields };
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

function createBusyRefusal(ctx: RoutingContext, inputs: LogFields): Refusal {
  const { utilization, lagMs } = ctx.state.load;
  return {
    status: 503,
    reason: 'instanceBusy',
    retryAfterMs: BUSY_RETRY_AFTER_MS * (0.5 + ctx.state.random.next()),
    fields: { ...inputs, utilization, lagMs: Math.round(lagMs) },
  };
}

function checkStopping(ctx: RoutingContext): Refusal | undefined {
  const { stopRequestedAt, settings } = ctx.state;
  if (stopRequestedAt === undefined) return undefined;
  const sinceMs = ctx.now - stopRequestedAt;
  if (sinceMs < settings.stopAcceptMs) return undefined;
  const retryAfterMs = STOPPING_RETRY_AFTER_MS;
  return { status: 503, reason: 'stopping', retryAfterMs, fields: { sinceMs } };
}

function createStaleRefusal(ctx: RoutingContext): Refusal {
  return {
    status: 503,
    reason: 'staleConfiguration',
    retryAfterMs: staleRetryAfter(ctx.state),
    fields: {
      confirmationAgeMs: confirmationAge(ctx),
      boundMs: maxConfirmationAge(ctx),
      failures: ctx.state.freshness.failures,
    },
  };
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
    isTrial,
    attempt: undefined,
    isWithdrawing: false,
    hasAnswerStarted: false,
    firstPartAt: undefined,
  };
}

/** Chooses an upstream for a request, then sends the request or refuses it. */
function admit(ctx: RoutingContext, request: OpenRequest): void {
  const { facts, route, pool } = request;
  const share = recordDemand(ctx, request);
  const withinMs = placementLimit(route.objectiveMs, share);
  const rereadFactor = computeRereadFactor(share);
  const placement = place(ctx, {
    facts,
    route,
    pool,
    excluded: [],
    withinMs,
    rereadFactor,
  });
  if (placement === undefined) {
    refuse(
      ctx,
      facts,
      createNoUpstreamRefusal(ctx, 'no upstream of the pool is ready and reachable'),
    );
    return;
  }
  const ownDelayMs = readingDelay(ctx);
  const decision = decideAdmission(
    {
      // The objective counts from the arrival.
      firstEventMs: placement.admissionMs + (facts.waitedMs ?? 0) + ownDelayMs,
      unloadedMs: placement.unloadedMs,
      promptReadMs: placement.promptReadMs,
      objectiveMs: route.objectiveMs,
      shortestObjectiveMs:
        ctx.state.freshness.routeTable.shortestObjective(pool) ?? route.objectiveMs,
      waitFactor: waitFactor(ctx, pool, route),
      remainingMs: request.deadlineAt - ctx.now,
      ...(share === undefined ? {} : { share }),
    },
    ctx.state.random,
  );
  recordRouteRequest(ctx, pool, route);
  if (decision.kind === 'admit') {
    recordRouteAdmission(ctx, pool, route);
    ctx.state.requests.open.set(facts.request, request);
    sendToUpstream(ctx, request, placement);
    return;
  }
  const { reason, retryAfterMs, excessMs } = decision;
  if (excessMs <= ownDelayMs) {
    // Another instance can serve the request in time.
    refuse(ctx, facts, createBusyRefusal(ctx, { ownDelayMs: Math.round(ownDelayMs) }));
    return;
  }
  const fields = describeRefusal(request, placement, share, decision);
  const status = reason === 'overShare' ? OVER_SHARE_STATUS : 503;
  refuse(ctx, facts, { status, reason, retryAfterMs, fields });
}

/** Adds a request to its customer's demand. Returns the customer's rates and its fair share. */
function recordDemand(ctx: RoutingContext, request: OpenRequest): FairShareUsage | undefined {
  const { facts, customer } = request;
  const tokens = requestCost(facts.promptTokens, facts.outputTokens);
  if (customer === undefined || tokens === 0) return undefined;
  // Computed before this request is counted, since none of its tokens have been admitted yet.
  const { idleness } = poolWait(ctx, request.pool);
  const share = computeShare(ctx, customer, idleness());
  recordTokenDemand(ctx, customer, tokens);
  return share;
}

function describeRefusal(
  { route, customer, facts }: OpenRequest,
  placement: Placement,
  share: FairShareUsage | undefined,
  decision: AdmissionDecision,
): LogFields {
  return {
    route: route.name,
    customer,
    tokens: facts.promptTokens,
    upstream: placement.upstream.listed.id,
    expectedMs: Math.round(placement.firstEventMs),
    limitMs: Math.round(decision.limitMs),
    ahead: Math.round(placement.tokensAhead),
    running: placement.running,
    asked: share && Math.round(share.asked),
    admitted: share && Math.round(share.admitted),
    shareLevel: share && Math.round(share.level),
  };
}

function createNoUpstreamRefusal(ctx: RoutingContext, detail: string): Refusal {
  const { upstreams } = ctx.state;
  return {
    status: 503,
    reason: 'noUpstream',
    retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS * (0.5 + ctx.state.random.next()),
    fields: { detail, listAgeMs: ageOfRead(ctx, upstreams) },
  };
}

function refuse(ctx: RoutingContext, facts: RequestFacts, refusal: Refusal): void {
  const { status, reason, retryAfterMs } = refusal;
  emit(ctx, {
    kind: 'answer',
    answer: {
      request: facts.request,
      status,
      reason,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    },
  });
  emit(ctx, { kind: 'count', decision: reason });
  logWarning(ctx, reason, {
    request: facts.requestId,
    status,
    retryAfterMs: retryAfterMs === undefined ? undefined : Math.round(retryAfterMs),
    version: ctx.state.freshness.configuration?.version,
    ...refusal.fields,
  });
}
