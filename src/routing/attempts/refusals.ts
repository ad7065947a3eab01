/** The reasons for which a request is refused on arrival, each with its inputs for the log. */
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import {
  isOverShare,
  MAX_RETRY_AFTER_FRACTION,
  type AdmissionDecision,
} from '../admission/admission.js';
import { emit, logWarning, type RoutingContext } from '../context.js';
import type { RoutingEventCode } from '../eventTable.js';
import {
  behindFor,
  confirmationAge,
  maxConfirmationAge,
  staleRetryAfter,
} from '../freshness/freshness.js';
import { ageOfRead } from '../freshness/sharedRead.js';
import { readingDelay } from '../load/ownDelay.js';
import { listIds, type Placement } from '../placement/placement.js';
import { ownRate } from '../rateLimits/rateLimits.js';
import type { FairShareUsage } from '../shares/tokenShares.js';
import type { BlockedCause } from '../suspects/suspects.js';
import type { BodyRoom, LogFields, LocalStatus, PoolId, RequestFacts, Route } from '../types.js';
import { listedVersions } from '../versions/served.js';
import type { StreamStart } from '../versions/streams.js';
import { hasOpenUpstream } from '../upstreams/availability.js';
import { returnAfterPause } from '../upstreams/pauses.js';
import type { Upstream } from '../upstreams/upstreamsState.js';
import type { OpenRequest } from './attemptsState.js';

/** Mean retry delay of callers that no upstream can serve at present. */
const NO_UPSTREAM_RETRY_AFTER_MS: Millis = 400;
/**
 * Mean retry delay of callers whose instance is overloaded; their retry reaches another instance.
 */
const BUSY_RETRY_AFTER_MS: Millis = 200;
/** Mean retry delay of callers for whose bodies there is no memory; others end within about this time. */
const NO_ROOM_RETRY_AFTER_MS: Millis = 1_000;
/** Bounds of the mean retry delay of callers that wait for a turn at a limited upstream. */
const MIN_TURN_RETRY_AFTER_MS: Millis = 200;
const MAX_TURN_RETRY_AFTER_MS: Millis = 1_000;
/** Tells a caller that its customer asks for too much, rather than that the service lacks capacity. */
const OVER_SHARE_STATUS = 429;

export type RefuseDecision = Extract<AdmissionDecision, { readonly kind: 'refuse' }>;

/** A response that says that the request has not run. */
export interface Refusal {
  readonly status: LocalStatus;
  readonly reason: RoutingEventCode;
  readonly retryAfterMs?: Millis;
  readonly fields?: LogFields;
}

/** Answers a request with a refusal, and logs it. */
export function refuse(ctx: RoutingContext, facts: RequestFacts, refusal: Refusal): void {
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

/** Refuses a request on which upstreams crash. */
export function createBlockedRefusal({
  hash: cause,
  part,
  crashes,
  retryAfterMs,
}: BlockedCause): Refusal {
  const fields = { cause, part, crashes };
  return { status: 503, reason: 'crashesUpstreams', retryAfterMs, fields };
}

/** Refuses a request that this instance decides too late. */
export function createBusyRefusal(ctx: RoutingContext, inputs: LogFields): Refusal {
  const { utilization, lagMs } = ctx.state.load;
  return {
    status: 503,
    reason: 'instanceBusy',
    retryAfterMs: BUSY_RETRY_AFTER_MS * (0.5 + ctx.state.random.next()),
    fields: { ...inputs, utilization, lagMs: Math.round(lagMs) },
  };
}

/** Refuses a request as the configuration is not confirmed. */
export function createStaleRefusal(ctx: RoutingContext): Refusal {
  return {
    status: 503,
    reason: 'staleConfiguration',
    retryAfterMs: staleRetryAfter(ctx.state),
    fields: {
      confirmationAgeMs: confirmationAge(ctx),
      boundMs: maxConfirmationAge(ctx),
      failures: ctx.state.freshness.failures,
      behindMs: behindFor(ctx),
    },
  };
}

/** Refuses a request whose body cannot be kept. */
export function createNoRoomRefusal(
  ctx: RoutingContext,
  { name }: Route,
  { bytes, usedBytes, limitBytes }: BodyRoom,
): Refusal {
  return {
    status: 503,
    reason: 'noRoomForBody',
    retryAfterMs: NO_ROOM_RETRY_AFTER_MS * (0.5 + ctx.state.random.next()),
    fields: { route: name, bytes, usedBytes, limitBytes },
  };
}

/** Refuses a request as no upstream can take it. */
export function createNoUpstreamRefusal(
  ctx: RoutingContext,
  detail: string,
  pool: PoolId | undefined,
  unwilling: readonly Upstream[],
): Refusal {
  const { upstreams } = ctx.state;
  return {
    status: 503,
    reason: 'noUpstream',
    retryAfterMs: Math.max(
      NO_UPSTREAM_RETRY_AFTER_MS * (0.5 + ctx.state.random.next()),
      pool === undefined || hasOpenUpstream(ctx, pool) ? 0 : returnAfterPause(ctx, pool),
    ),
    fields: {
      detail,
      unwilling: unwilling.length === 0 ? undefined : listIds(unwilling),
      listAgeMs: ageOfRead(ctx, upstreams),
    },
  };
}

/**
 * Refuses to go on with a stream. The caller is told no time to come back unless the history of the list
 * may still tell what is missing, as it would come back in vain.
 */
export function createVersionRefusal(
  ctx: RoutingContext,
  { takesUp }: RequestFacts,
  { name, targets }: Route,
  start: Extract<StreamStart, { readonly kind: 'unknown' | 'gone' }>,
): Refusal {
  const isPending = start.kind === 'unknown' && ctx.state.versions.history !== 'read';
  return {
    status: 503,
    reason: start.kind === 'unknown' ? 'versionUnknown' : 'versionGone',
    ...(isPending ? { retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS } : {}),
    fields: {
      route: name,
      takesUp: takesUp?.beganAs,
      listed: targets.flatMap(({ pool }) => listedVersions(ctx, pool)).join(','),
      ...(start.kind === 'unknown'
        ? { possible: start.possible, isHistoryComplete: start.isComplete }
        : {}),
    },
  };
}

/** Creates the refusal of a request that no upstream can begin in time. */
export function createAdmissionRefusal(
  ctx: RoutingContext,
  request: OpenRequest,
  placement: Placement,
  share: FairShareUsage | undefined,
  decision: RefuseDecision,
): Refusal {
  const { reason, retryAfterMs, excessMs } = decision;
  const ownDelayMs = readingDelay(ctx);
  if (excessMs <= ownDelayMs) {
    // Another instance can serve the request in time.
    return createBusyRefusal(ctx, { ownDelayMs: Math.round(ownDelayMs) });
  }
  const fields = describeRefusal(request, placement, share, decision);
  const status = reason === 'overShare' ? OVER_SHARE_STATUS : 503;
  return { status, reason, retryAfterMs, fields };
}

/** Creates the refusal of a request for which no upstream that could begin in time has a turn. */
export function createLimitedRefusal(
  ctx: RoutingContext,
  { facts, route, customer, deadlineAt }: OpenRequest,
  passedOver: readonly Placement[],
  share: FairShareUsage | undefined,
): Refusal {
  const perSecond = passedOver.reduce((sum, { upstream }) => sum + ownRate(ctx, upstream), 0);
  const turnMs = Math.min(MAX_TURN_RETRY_AFTER_MS, MS_PER_SECOND / perSecond);
  const jitter = 0.5 + ctx.state.random.next();
  const remainingMs = deadlineAt - ctx.now;
  const hasYielded = isOverShare(share);
  return {
    status: hasYielded ? OVER_SHARE_STATUS : 503,
    reason: hasYielded ? 'overShare' : 'upstreamsLimited',
    retryAfterMs: Math.min(
      remainingMs * MAX_RETRY_AFTER_FRACTION,
      Math.max(MIN_TURN_RETRY_AFTER_MS, turnMs) * jitter,
    ),
    fields: {
      route: route.name,
      customer,
      tokens: facts.promptTokens,
      passedOver: listIds(passedOver.map(({ upstream }) => upstream)),
      turnsPerSecond: Number(perSecond.toFixed(3)),
      ...describeShare(share),
    },
  };
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
    ...describeEstimate(placement),
    ahead: Math.round(placement.tokensAhead),
    unseen: placement.unseenTokens > 0 ? Math.round(placement.unseenTokens) : undefined,
    running: placement.running,
    ...describeShare(share),
  };
}

/** The parts of an expected time: what the upstream needs by itself, and what comes on top. */
function describeEstimate(placement: Placement): LogFields {
  const { admissionMs, firstEventMs, unloadedMs, promptReadMs } = placement;
  return {
    baseMs: Math.round(unloadedMs - promptReadMs),
    uncached: placement.uncachedTokens,
    queueMs: Math.round(firstEventMs - unloadedMs),
    surchargeMs: Math.round(admissionMs - firstEventMs),
  };
}

function describeShare(share: FairShareUsage | undefined): LogFields {
  return {
    asked: share && Math.round(share.asked),
    admitted: share && Math.round(share.admitted),
    shareLevel: share && Math.round(share.level),
  };
}
