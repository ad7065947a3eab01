/**
 * The slots of owned upstreams. The number in use is what this owner granted plus what others run
 * there, by the upstream's load report or the entries' own word, so that two owners do not fill an
 * upstream twice. The limit follows the reported load: it falls by a factor when the upstream
 * queues or slows down and rises by one when it is used up (additive increase, multiplicative
 * decrease), never above the configured slots.
 */
import type { CoreContext } from '../context.js';
import type { Millis } from '../clock.js';
import { reserve } from '../shares/shares.js';
import type { CoreState } from '../state.js';
import type { GrantId, UpstreamConfig, UpstreamId, UpstreamReport } from '../types.js';
import type { IssuedGrant, Slots } from './dispatchState.js';

/** Factor on the limit when the upstream queues or slows down. */
const DECREASE = 0.8;

/** Share of the slots that may queue at the upstream before the limit falls. */
const TOLERATED_QUEUE = 0.25;

/** Share of the smoothed token rate below which a report counts as slow. */
const SLOW_RATE = 0.6;

/** Slow reports in a row at which the limit falls. */
const SLOW_REPORTS = 3;

/** Failed reads of the load in a row after which nothing is granted at an upstream. */
const FAILED_POLLS = 2;

/** Weight of the latest report in the smoothed token rate. */
const RATE_GAIN = 0.2;

export function slotsOf(state: CoreState, upstream: UpstreamConfig): Slots {
  const { slots } = state.dispatch;
  const known = slots.get(upstream.id);
  if (known !== undefined) return known;
  const created: Slots = {
    inUse: 0,
    suspended: 0,
    limit: upstream.slots,
    inUseAtPoll: 0,
    foreignReported: 0,
    foreignHeld: new Map(),
    isPolled: false,
    hasReport: false,
    failedPolls: 0,
    tokenRate: 0,
    reportedRunning: 0,
    slowReports: 0,
    lastUsedAt: 0,
  };
  slots.set(upstream.id, created);
  return created;
}

/** Returns the slots of an upstream that may be granted now. */
export function freeSlots(state: CoreState, upstream: UpstreamConfig, now: Millis): number {
  const slots = slotsOf(state, upstream);
  if (slots.failedPolls >= FAILED_POLLS) return 0;
  const limit = Math.floor(Math.min(slots.limit, upstream.slots));
  // Before the first report another owner may still fill the upstream.
  const usable = upstream.reportsLoad && !slots.hasReport ? Math.ceil(limit / 2) : limit;
  return usable - slots.inUse - foreignUse(slots, now);
}

/** Requests of others at the upstream: of earlier owners, or of owners with another view. */
export function foreignUse(slots: Slots, now: Millis): number {
  let held = 0;
  slots.foreignHeld.forEach(({ count, until }, entry) => {
    if (until > now) held += count;
    else slots.foreignHeld.delete(entry);
  });
  return Math.max(held, slots.foreignReported);
}

/** Notes that an upstream did not tell its load; it may be out of reach from here. */
export function noteFailedPoll(state: CoreState, upstream: UpstreamConfig): void {
  slotsOf(state, upstream).failedPolls += 1;
}

/** Takes a load report. */
export function noteReport(
  state: CoreState,
  upstream: UpstreamConfig,
  report: UpstreamReport,
): void {
  const slots = slotsOf(state, upstream);
  // Grants given since the report was made are not in it; those that ended since still are.
  const own = Math.max(slots.inUseAtPoll, slots.inUse);
  slots.foreignReported = Math.max(0, report.running + report.queued - own);
  slots.hasReport = true;
  slots.failedPolls = 0;
  adaptLimit(upstream, slots, report);
}

function adaptLimit(upstream: UpstreamConfig, slots: Slots, report: UpstreamReport): void {
  const most = report.slots > 0 ? Math.min(upstream.slots, report.slots) : upstream.slots;
  const isQueueing = report.queued > Math.max(1, most * TOLERATED_QUEUE);
  const isSlow =
    report.running > 0 &&
    report.running >= slots.reportedRunning &&
    report.tokensPerSecond < slots.tokenRate * SLOW_RATE;
  slots.slowReports = isSlow ? slots.slowReports + 1 : 0;
  if (report.running > 0) {
    slots.tokenRate += (report.tokensPerSecond - slots.tokenRate) * RATE_GAIN;
  }
  slots.reportedRunning = report.running;
  if (isQueueing || slots.slowReports >= SLOW_REPORTS) {
    slots.limit = Math.max(1, Math.min(slots.limit, most) * DECREASE);
    slots.slowReports = 0;
  } else if (slots.inUse >= Math.floor(slots.limit)) {
    slots.limit += 1;
  }
  slots.limit = Math.min(slots.limit, most);
}

/** Ends a grant; its slot is free again. */
export function freeGrant(state: CoreState, id: GrantId): IssuedGrant | undefined {
  const { issued, slots } = state.dispatch;
  const grant = issued.get(id);
  if (grant === undefined) return undefined;
  issued.delete(id);
  endReservation(state, grant);
  const ofUpstream = slots.get(grant.upstream);
  if (ofUpstream === undefined) return grant;
  if (grant.phase === 'suspended') ofUpstream.suspended -= 1;
  else ofUpstream.inUse -= 1;
  return grant;
}

/** Ends the reservation of a grant: its service shows in the sums, or it has ended. */
export function endReservation(state: CoreState, grant: IssuedGrant): void {
  reserve(state, grant.customer, grant.pool, -grant.reserved);
  grant.reserved = 0;
}

/** Moves a grant between the slots in use and the suspended ones. */
export function setPhase(ctx: CoreContext, grant: IssuedGrant, phase: IssuedGrant['phase']): void {
  const slots = ctx.state.dispatch.slots.get(grant.upstream);
  if (grant.phase === phase || slots === undefined) return;
  if (grant.phase === 'suspended') {
    slots.suspended -= 1;
    slots.inUse += 1;
  }
  if (phase === 'suspended') {
    slots.suspended += 1;
    slots.inUse -= 1;
  }
  grant.phase = phase;
  grant.phaseSince = ctx.now;
}

/** Has the load of upstreams that are no longer owned read afresh if they are owned again. */
export function forgetReports(state: CoreState, owned: readonly UpstreamConfig[]): void {
  const ids = new Set(owned.map(({ id }) => id));
  state.dispatch.slots.forEach((slots, id) => {
    if (ids.has(id)) return;
    slots.isPolled = false;
    slots.hasReport = false;
    slots.foreignReported = 0;
    slots.failedPolls = 0;
  });
}

/** Forgets the slots of upstreams that left the configuration. */
export function pruneSlots(state: CoreState): void {
  const { slots, caches, reports } = state.dispatch;
  const upstreams = state.configuration.view?.upstreams;
  const prune = (ids: Map<UpstreamId, unknown>) => {
    ids.forEach((_, id) => {
      if (upstreams?.has(id) !== true) ids.delete(id);
    });
  };
  prune(slots);
  prune(caches);
  prune(reports);
}
