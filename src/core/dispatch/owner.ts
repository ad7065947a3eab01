/** Owner side of dispatch: handles waiting counts, slot updates and load reports. */
import { setTimer, type CoreContext } from '../context.js';
import { isLive } from '../membership/memberIndex.js';
import { ownedUpstreams } from '../ownership/ownership.js';
import type { CoreEvent, GrantId, InstanceId, PeerMessageOf, PoolId } from '../types.js';
import { assignAll, assignPool, recordReturnedGrant, settleReservations } from './assign.js';
import { applyCacheUpdate } from './cache.js';
import { pruneDemand, applyAnnouncement } from './demand.js';
import { reportHeldGrants } from './heldGrants.js';
import { pollRoundRobin } from './loadPolls.js';
import { serveSubscriptions } from './pull.js';
import {
  endGrant,
  recordFailedPoll,
  applyLoadReport,
  pruneSlots,
  setGrantPhase,
  slotsOf,
} from './slots.js';

/** Number of consecutive hold reports that may be lost before a grant is considered ended. */
const MAX_LOST_HOLD_REPORTS = 3;

export function onWaitingUpdate(
  ctx: CoreContext,
  entry: InstanceId,
  update: PeerMessageOf<'waitingUpdate'>,
): void {
  const pool = ctx.state.configuration.view?.poolsByNumber.get(update.pool);
  if (pool === undefined) return;
  applyAnnouncement(ctx, entry, pool.id, update);
  assignPool(ctx, pool.id);
  serveSubscriptions(ctx, pool);
}

export function onGrantReturn(ctx: CoreContext, ids: readonly GrantId[]): void {
  const returned = ids.map((id) => endGrant(ctx.state, id));
  returned.forEach((grant) => grant && recordReturnedGrant(ctx, grant));
  assignPools(
    ctx,
    returned.map((grant) => grant?.pool),
  );
}

export function onSlotUpdate(
  ctx: CoreContext,
  from: InstanceId,
  update: PeerMessageOf<'slotUpdate'>,
): void {
  const { issued } = ctx.state.dispatch;
  const pools: (PoolId | undefined)[] = [];
  update.running.forEach((id) => {
    const grant = issued.get(id);
    if (grant === undefined) return;
    grant.expiresAt = holdExpiry(ctx);
    // The report may have been sent before the last phase change and must not revert it.
    const isCurrent = ctx.now - grant.phaseSince > ctx.state.settings.holdReportMs;
    if (isCurrent) setGrantPhase(ctx, grant, 'held');
  });
  update.refused.forEach((id) => {
    const grant = issued.get(id);
    if (grant === undefined) return;
    grant.canSuspend = false;
    setGrantPhase(ctx, grant, 'held');
  });
  update.suspended.forEach((id) => {
    const grant = issued.get(id);
    if (grant === undefined) return;
    grant.expiresAt = holdExpiry(ctx);
    const wasJustResumed =
      grant.phase === 'held' && ctx.now - grant.phaseSince <= ctx.state.settings.holdReportMs;
    if (wasJustResumed) return;
    setGrantPhase(ctx, grant, 'suspended');
    pools.push(grant.pool);
  });
  update.ended.forEach((id) => pools.push(endGrant(ctx.state, id)?.pool));
  update.heldUpstreams.forEach((id, i) => {
    const upstream = ctx.state.configuration.view?.upstreams.get(id);
    if (upstream === undefined) return;
    const held = { count: update.heldCounts[i] ?? 0, until: holdExpiry(ctx) };
    slotsOf(ctx.state, upstream).foreignHeld.set(from, held);
    pools.push(upstream.pool);
  });
  assignPools(ctx, pools);
}

/** Polls the load of the owned upstreams, reports held grants and ends expired ones. */
export function onPollTimer(ctx: CoreContext): void {
  const { state } = ctx;
  pollRoundRobin(ctx, ownedUpstreams(state));
  expireGrants(ctx);
  settleReservations(ctx);
  pruneDemand(ctx);
  pruneSlots(state);
  reportHeldGrants(ctx);
  assignAll(ctx);
  setTimer(ctx, 'poll', state.settings.pollMs);
}

export function onUpstreamReport(
  ctx: CoreContext,
  event: Extract<CoreEvent, { kind: 'upstreamReport' }>,
): void {
  const { state } = ctx;
  const upstream = state.configuration.view?.upstreams.get(event.upstream);
  if (upstream === undefined) return;
  const { report } = event;
  applyCacheUpdate(state, upstream.id, {
    events: event.cacheEvents,
    next: event.cacheNext,
    gap: event.cacheGap,
    ...(report === undefined ? {} : { report }),
  });
  if (report === undefined) {
    recordFailedPoll(state, upstream);
    return;
  }
  state.dispatch.reports.set(upstream.id, report);
  applyLoadReport(state, upstream, report);
  assignPool(ctx, upstream.pool);
}

function assignPools(ctx: CoreContext, pools: readonly (PoolId | undefined)[]): void {
  new Set(pools).forEach((pool) => {
    if (pool !== undefined) assignPool(ctx, pool);
  });
}

function holdExpiry(ctx: CoreContext): number {
  return ctx.now + MAX_LOST_HOLD_REPORTS * ctx.state.settings.holdReportMs;
}

function expireGrants(ctx: CoreContext): void {
  ctx.state.dispatch.issued.forEach((grant, id) => {
    if (grant.expiresAt < ctx.now || !isLive(ctx.state, grant.entry)) endGrant(ctx.state, id);
  });
}
