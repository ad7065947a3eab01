/**
 * Accounts for the slots of owned upstreams. The slots in use comprise this owner's grants and the
 * requests of others, as given by the upstream's load report or the entries' hold reports, so that
 * two owners do not fill an upstream twice. The limit adapts to the reported load by additive
 * increase and multiplicative decrease: it falls by a factor when the upstream queues requests or
 * slows down and rises by one when it is exhausted, but never exceeds the configured slots.
 */
import type { CoreContext } from '../context.js';
import type { Millis } from '../clock.js';
import { reserve } from '../shares/shares.js';
import type { CoreState } from '../state.js';
import type { GrantId, UpstreamConfig, UpstreamId, UpstreamReport } from '../types.js';
import type { IssuedGrant, Slots } from './dispatchState.js';

/** Factor applied to the limit when the upstream queues requests or slows down. */
const LIMIT_DECREASE_FACTOR = 0.8;

/** Queued requests, as a share of the slots, above which the limit is decreased. */
const MAX_QUEUED_SHARE = 0.25;

/** Share of the smoothed token rate below which a report counts as slow. */
const SLOW_RATE_SHARE = 0.6;

/** Number of consecutive slow reports at which the limit is decreased. */
const SLOW_REPORTS_TO_DECREASE = 3;

/** Number of consecutive failed load polls at which an upstream receives no more grants. */
const FAILED_POLLS_TO_STOP = 2;

/** Weight of the latest report in the exponentially smoothed token rate. */
const TOKEN_RATE_SMOOTHING = 0.2;

/** Returns the slot accounting of an upstream, creating it if it does not exist. */
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

/** Returns the number of slots of an upstream that may be granted now. */
export function freeSlots(state: CoreState, upstream: UpstreamConfig, now: Millis): number {
  const slots = slotsOf(state, upstream);
  if (slots.failedPolls >= FAILED_POLLS_TO_STOP) return 0;
  const limit = Math.floor(Math.min(slots.limit, upstream.slots));
  // Until the first report, assume that another owner may still use part of the upstream.
  const usable = upstream.reportsLoad && !slots.hasReport ? Math.ceil(limit / 2) : limit;
  return usable - slots.inUse - slotsUsedByOthers(slots, now);
}

/** Returns the slots used by others: earlier owners, or owners with a different membership view. */
export function slotsUsedByOthers(slots: Slots, now: Millis): number {
  let held = 0;
  slots.foreignHeld.forEach(({ count, until }, entry) => {
    if (until > now) held += count;
    else slots.foreignHeld.delete(entry);
  });
  return Math.max(held, slots.foreignReported);
}

/** Records a failed load poll; the upstream may be unreachable from this instance. */
export function recordFailedPoll(state: CoreState, upstream: UpstreamConfig): void {
  slotsOf(state, upstream).failedPolls += 1;
}

/** Applies a load report of an upstream. */
export function applyLoadReport(
  state: CoreState,
  upstream: UpstreamConfig,
  report: UpstreamReport,
): void {
  const slots = slotsOf(state, upstream);
  // The report lacks grants issued after it was made and still includes grants that ended since.
  const own = Math.max(slots.inUseAtPoll, slots.inUse);
  slots.foreignReported = Math.max(0, report.running + report.queued - own);
  slots.hasReport = true;
  slots.failedPolls = 0;
  adaptLimit(upstream, slots, report);
}

function adaptLimit(upstream: UpstreamConfig, slots: Slots, report: UpstreamReport): void {
  const maxSlots = report.slots > 0 ? Math.min(upstream.slots, report.slots) : upstream.slots;
  const isQueueing = report.queued > Math.max(1, maxSlots * MAX_QUEUED_SHARE);
  const isSlow =
    report.running > 0 &&
    report.running >= slots.reportedRunning &&
    report.tokensPerSecond < slots.tokenRate * SLOW_RATE_SHARE;
  slots.slowReports = isSlow ? slots.slowReports + 1 : 0;
  if (report.running > 0) {
    slots.tokenRate += (report.tokensPerSecond - slots.tokenRate) * TOKEN_RATE_SMOOTHING;
  }
  slots.reportedRunning = report.running;
  if (isQueueing || slots.slowReports >= SLOW_REPORTS_TO_DECREASE) {
    slots.limit = Math.max(1, Math.min(slots.limit, maxSlots) * LIMIT_DECREASE_FACTOR);
    slots.slowReports = 0;
  } else if (slots.inUse >= Math.floor(slots.limit)) {
    slots.limit += 1;
  }
  slots.limit = Math.min(slots.limit, maxSlots);
}

/** Removes an issued grant and frees its slot. */
export function endGrant(state: CoreState, id: GrantId): IssuedGrant | undefined {
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

/** Releases the reservation of a grant that has ended or whose service the sums include. */
export function endReservation(state: CoreState, grant: IssuedGrant): void {
  reserve(state, grant.customer, grant.pool, -grant.reserved);
  grant.reserved = 0;
}

/** Sets the phase of a grant and updates the counts of slots in use and suspended. */
export function setGrantPhase(
  ctx: CoreContext,
  grant: IssuedGrant,
  phase: IssuedGrant['phase'],
): void {
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

/**
 * Discards the load reports of upstreams that are no longer owned, so that these are polled anew if
 * this instance owns them again.
 */
export function resetLoadReports(state: CoreState, owned: readonly UpstreamConfig[]): void {
  const ids = new Set(owned.map(({ id }) => id));
  state.dispatch.slots.forEach((slots, id) => {
    if (ids.has(id)) return;
    slots.isPolled = false;
    slots.hasReport = false;
    slots.foreignReported = 0;
    slots.failedPolls = 0;
  });
}

/** Removes the state of upstreams that are no longer in the configuration. */
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
