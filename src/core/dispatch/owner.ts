/** Owner side of dispatch: waiting counts, slot reports and the load of the owned upstreams. */
import { setTimer, type CoreContext } from '../context.js';
import { isLive } from '../membership/memberIndex.js';
import { ownedUpstreams } from '../ownership/ownership.js';
import type { CoreEvent, GrantId, InstanceId, PeerMessageOf, PoolId } from '../types.js';
import { assignAll, assignPool, noteReturned, settleReservations } from './assign.js';
import { noteCacheNews } from './cache.js';
import { pruneDemand, takeAnnouncement } from './demand.js';
import { reportHolds } from './holds.js';
import { pollInTurn } from './loadPolls.js';
import { answerSubscriptions } from './pull.js';
import { freeGrant, noteFailedPoll, noteReport, pruneSlots, setPhase, slotsOf } from './slots.js';

/** Hold reports that may be lost before a grant counts as ended. */
const LOST_HOLD_REPORTS = 3;

export function onWaitingUpdate(
  ctx: CoreContext,
  entry: InstanceId,
  update: PeerMessageOf<'waitingUpdate'>,
): void {
  const pool = ctx.state.configuration.view?.poolsByNumber.get(update.pool);
  if (pool === undefined) return;
  takeAnnouncement(ctx, entry, pool.id, update);
  assignPool(ctx, pool.id);
  answerSubscriptions(ctx, pool);
}

export function onGrantReturn(ctx: CoreContext, ids: readonly GrantId[]): void {
  const returned = ids.map((id) => freeGrant(ctx.state, id));
  returned.forEach((grant) => grant && noteReturned(ctx, grant));
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
    grant.expiresAt = holdLimit(ctx);
    // A report on its way says nothing of a change that was asked for since.
    const isNews = ctx.now - grant.phaseSince > ctx.state.settings.holdReportMs;
    if (isNews) setPhase(ctx, grant, 'held');
  });
  update.refused.forEach((id) => {
    const grant = issued.get(id);
    if (grant === undefined) return;
    grant.canSuspend = false;
    setPhase(ctx, grant, 'held');
  });
  update.suspended.forEach((id) => {
    const grant = issued.get(id);
    if (grant === undefined) return;
    grant.expiresAt = holdLimit(ctx);
    const isResumed =
      grant.phase === 'held' && ctx.now - grant.phaseSince <= ctx.state.settings.holdReportMs;
    if (isResumed) return;
    setPhase(ctx, grant, 'suspended');
    pools.push(grant.pool);
  });
  update.ended.forEach((id) => pools.push(freeGrant(ctx.state, id)?.pool));
  update.heldUpstreams.forEach((id, i) => {
    const upstream = ctx.state.configuration.view?.upstreams.get(id);
    if (upstream === undefined) return;
    const held = { count: update.heldCounts[i] ?? 0, until: holdLimit(ctx) };
    slotsOf(ctx.state, upstream).foreignHeld.set(from, held);
    pools.push(upstream.pool);
  });
  assignPools(ctx, pools);
}

/** Reads the load of the owned upstreams, reports holds and ends expired grants. */
export function onPollTimer(ctx: CoreContext): void {
  const { state } = ctx;
  pollInTurn(ctx, ownedUpstreams(state));
  expireGrants(ctx);
  settleReservations(ctx);
  pruneDemand(ctx);
  pruneSlots(state);
  reportHolds(ctx);
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
  noteCacheNews(state, upstream.id, {
    events: event.cacheEvents,
    next: event.cacheNext,
    gap: event.cacheGap,
    ...(report === undefined ? {} : { report }),
  });
  if (report === undefined) {
    noteFailedPoll(state, upstream);
    return;
  }
  state.dispatch.reports.set(upstream.id, report);
  noteReport(state, upstream, report);
  assignPool(ctx, upstream.pool);
}

function assignPools(ctx: CoreContext, pools: readonly (PoolId | undefined)[]): void {
  new Set(pools).forEach((pool) => {
    if (pool !== undefined) assignPool(ctx, pool);
  });
}

function holdLimit(ctx: CoreContext): number {
  return ctx.now + LOST_HOLD_REPORTS * ctx.state.settings.holdReportMs;
}

function expireGrants(ctx: CoreContext): void {
  ctx.state.dispatch.issued.forEach((grant, id) => {
    if (grant.expiresAt < ctx.now || !isLive(ctx.state, grant.entry)) freeGrant(ctx.state, id);
  });
}
