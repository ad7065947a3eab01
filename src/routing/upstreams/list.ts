/**
 * Follows the platform's list of upstreams. Within a failure domain, the instance with the lowest id
 * reads it and passes the changes on (`exchange/listNews.ts`); the others read it by themselves only
 * while its news are too old. Changes apply in the order of the platform's log, whoever read them.
 *
 * An upstream whose entry is removed is dropped, except
 * after a platform outage: entries expire during the outage although their upstreams are alive, so
 * these are kept for a short time in which a live upstream registers itself again.
 */
import { Debug } from '../../core/debug.js';
import type { Millis } from '../../core/clock.js';
import {
  emit,
  logInfo,
  logWarning,
  setTimer,
  type RetryBackoff,
  type RoutingContext,
} from '../context.js';
import { hasLivePeer } from '../exchange/members.js';
import {
  beginRead,
  confirmRead,
  giveUpOverdue,
  isConfirmedByReader,
  isGivenUp,
} from '../freshness/sharedRead.js';
import { handlePollOutcome, nextCursor, type Poll } from '../polls.js';
import type { Cursor, ListedUpstream, RoutingEvent, UpstreamChange, UpstreamId } from '../types.js';
import { onListRead, recordFormerVersion } from '../versions/served.js';
import { recordListedVersion } from '../versions/settling.js';
import { confirmCrash, confirmSilentCrash } from './crashes.js';
import type { PositionedChange } from './listHistory.js';
import { createUpstream, hashUpstream, type Upstream } from './upstreamsState.js';

/** Backoff of failed reads. */
const RETRY_BACKOFF: RetryBackoff = { initialMs: 200, maxMs: 800 };

/**
 * Interval between two reads, as a fraction of the time within which a draining upstream has to be
 * noticed. The rest is for failed reads and for requests that are already on their way.
 */
const POLL_INTERVAL_FRACTION = 0.4;
/** The same if the changes are passed on to other instances, which takes time as well. */
const SHARED_POLL_INTERVAL_FRACTION = 0.25;
/** Interval at which an instance checks whether the news of its peers suffice. */
const PEER_CHECK_INTERVAL_MS: Millis = 200;
/**
 * Maximum age of a peer's news, as a fraction of the time within which a draining upstream has to be
 * noticed; after it an instance reads the list by itself.
 */
const MAX_PEER_AGE_FRACTION = 0.6;

/** More entries than an upstream writes between two reads. */
const MAX_BEAT_STEP = 1_000_000;
/** Time for which an upstream that left is remembered; a copy of the platform may be that old. */
const KEEP_REMOVED_MS: Millis = 120_000;

type Polled = Extract<RoutingEvent, { readonly kind: 'upstreamsPolled' }>;

export function startUpstreamPoll(ctx: RoutingContext): void {
  const { upstreams } = ctx.state;
  beginRead(ctx, upstreams);
  emit(ctx, { kind: 'pollUpstreams', cursor: nextCursor(ctx, upstreams) });
}

/** Reads the list again, unless the news of a peer suffice. */
export function onUpstreamTimer(ctx: RoutingContext): void {
  const { upstreams, settings } = ctx.state;
  if (upstreams.isPolling) return;
  const maxAgeMs = settings.drainMs * MAX_PEER_AGE_FRACTION;
  if (isConfirmedByReader(ctx, upstreams, maxAgeMs))
    setTimer(ctx, 'upstreamPoll', PEER_CHECK_INTERVAL_MS);
  else startUpstreamPoll(ctx);
}

/** Reads the list anew if a read of it never ended. */
export function replaceOverdueListRead(ctx: RoutingContext): void {
  if (giveUpOverdue(ctx, 'upstreams', ctx.state.upstreams, 0)) startUpstreamPoll(ctx);
}

export function onUpstreamsPolled(ctx: RoutingContext, event: Polled): void {
  const { upstreams, settings } = ctx.state;
  if (isGivenUp(upstreams, event.askedAt)) return;
  upstreams.isPolling = false;
  const wasPlatformDown = upstreams.failures > 0;
  const knownCursor = upstreams.cursor;
  const answer = handlePollOutcome(ctx, pollOf(ctx), event.outcome, event.isWhole);
  if (answer === undefined) return;
  const { changes, isRestored } = answer;
  if (wasPlatformDown || isRestored) upstreams.platformRecoveredAt = ctx.now;
  if (event.isWhole || event.from === undefined) applyWhole(ctx, changes, event.isWhole);
  else applyRead(ctx, event.from, knownCursor ?? event.from, changes);
  upstreams.isKnown = true;
  const sinceReadMs = event.askedAt - (upstreams.confirmedAt ?? -Infinity);
  confirmRead(upstreams, event.askedAt - upstreams.clockGapMs);
  onListRead(ctx, event.askedAt, event.isWhole ? sinceReadMs : 0);
  removeMissing(ctx);
  const fraction = hasLivePeer(ctx) ? SHARED_POLL_INTERVAL_FRACTION : POLL_INTERVAL_FRACTION;
  const intervalMs = Math.max(settings.upstreamPollMs, settings.drainMs * fraction);
  setTimer(ctx, 'upstreamPoll', intervalMs);
}

/** Applies the changes of a read that started at `from`, less those that a peer has passed on. */
function applyRead(
  ctx: RoutingContext,
  from: Cursor,
  knownCursor: Cursor,
  changes: readonly UpstreamChange[],
): void {
  const positioned = changes.map((change, i) => ({ offset: from + i, change }));
  applyFrom(ctx, knownCursor, positioned);
}

/**
 * Applies the changes from a position on, in the order of the log, and records those that matter to
 * the other instances.
 */
export function applyFrom(
  ctx: RoutingContext,
  knownCursor: Cursor,
  changes: readonly PositionedChange[],
): void {
  const unknown = changes.filter(({ offset }) => offset >= knownCursor);
  const news = unknown.filter(({ change }) => {
    const isNew = isNews(ctx, change);
    applyChange(ctx, change);
    return isNew;
  });
  ctx.state.upstreams.history.add(knownCursor, news, ctx.now);
}

/** Applies a read whose changes have no positions. */
function applyWhole(
  ctx: RoutingContext,
  changes: readonly UpstreamChange[],
  isWhole: boolean,
): void {
  const told = changes.filter((change) => !isWhole || !isOfBefore(ctx, change));
  told.forEach((change) => applyChange(ctx, change));
  ctx.state.upstreams.history.clear();
  if (!isWhole) return;
  const listedIds = new Set<UpstreamId>(changes.map(changedId));
  [...ctx.state.upstreams.byId.keys()]
    .filter((id) => !listedIds.has(id))
    .forEach((id) => handleMissing(ctx, id));
}

function changedId(change: UpstreamChange): UpstreamId {
  return change.kind === 'listed' ? change.upstream.id : change.id;
}

/** Whether a change says more than that an upstream is still there. */
function isNews(ctx: RoutingContext, change: UpstreamChange): boolean {
  if (change.kind !== 'listed') return change.kind === 'removed';
  const { upstream: listed } = change;
  const known = ctx.state.upstreams.byId.get(listed.id);
  if (known === undefined || known.missingSince !== undefined) return true;
  return (
    listed.startedAt !== known.listed.startedAt ||
    listed.phase !== known.listed.phase ||
    listed.slots !== known.listed.slots ||
    listed.version !== known.listed.version ||
    listed.domain !== known.listed.domain ||
    hasDifferentTarget(known, listed)
  );
}

function pollOf(ctx: RoutingContext): Poll {
  return {
    reads: 'upstreams',
    state: ctx.state.upstreams,
    timer: 'upstreamPoll',
    retryBackoff: RETRY_BACKOFF,
    start: startUpstreamPoll,
  };
}

/** Removes upstreams that were not listed again in time after a platform outage. */
export function removeMissing(ctx: RoutingContext): void {
  const { upstreams, settings } = ctx.state;
  upstreams.removed.forEach(({ at }, id) => {
    if (ctx.now - at > KEEP_REMOVED_MS) upstreams.removed.delete(id);
  });
  if (upstreams.failures > 0) return;
  const since = upstreams.platformRecoveredAt ?? -Infinity;
  if (ctx.now - since < settings.relistWithinMs) return;
  upstreams.byId.forEach((upstream, id) => {
    if (upstream.missingSince !== undefined)
      removeUpstream(ctx, id, 'not listed again after a platform outage');
  });
}

function applyChange(ctx: RoutingContext, change: UpstreamChange): void {
  switch (change.kind) {
    case 'listed':
      addOrUpdate(ctx, change.upstream);
      return;
    case 'removed':
      handleMissing(ctx, change.id);
      return;
    case 'unreadable':
      logWarning(ctx, 'entryUnreadable', { upstream: change.id, reason: change.reason });
      return;
    default:
      Debug.assertNever(change);
  }
}

function addOrUpdate(ctx: RoutingContext, listed: ListedUpstream): void {
  const { byId, removed } = ctx.state.upstreams;
  const known = byId.get(listed.id);
  if (known !== undefined && isStale(listed, known.listed)) return;
  if (known !== undefined && isFarAhead(listed, known.listed)) {
    const reason = 'the sequence number is far ahead';
    logWarning(ctx, 'entryUnreadable', { upstream: listed.id, reason });
    return;
  }
  removed.delete(listed.id);
  recordListedVersion(ctx, listed);
  if (
    known === undefined ||
    listed.startedAt > known.listed.startedAt ||
    hasDifferentTarget(known, listed)
  ) {
    if (known !== undefined) replaceUpstream(ctx, known);
    byId.set(listed.id, createUpstream(listed, ctx.now));
    const { id, pool, address, domain, phase, version } = listed;
    logInfo(ctx, 'upstreamListed', {
      upstream: id,
      pool,
      address,
      domain,
      phase,
      software: version,
    });
    return;
  }
  if (listed.phase === 'draining' && known.listed.phase === 'ready') {
    logInfo(ctx, 'upstreamDraining', { upstream: listed.id, running: known.own.running });
  }
  if (listed.version !== known.listed.version) recordFormerVersion(ctx, known.listed);
  known.listed = listed;
  known.hash = hashUpstream(listed);
  known.missingSince = undefined;
}

/** Removes an upstream that has started again or moved. Requests that it broke off may be the reason. */
function replaceUpstream(ctx: RoutingContext, known: Upstream): void {
  confirmCrash(ctx, known);
  removeUpstream(ctx, known.listed.id, 'restarted or moved');
}

/**
 * Returns whether an entry is of a previous start, or a previous entry of the same start. Reads may
 * deliver such an entry late.
 */
function isStale(listed: ListedUpstream, known: ListedUpstream): boolean {
  if (listed.startedAt !== known.startedAt) return listed.startedAt < known.startedAt;
  return listed.beat < known.beat;
}

/** Returns whether an entry cannot be a later one of the same start; it would make all true ones stale. */
function isFarAhead(listed: ListedUpstream, known: ListedUpstream): boolean {
  return listed.startedAt === known.startedAt && listed.beat - known.beat > MAX_BEAT_STEP;
}

/**
 * Returns whether an entry is of before its upstream left the list. A platform that has come back from
 * an earlier copy of itself lists such entries again.
 */
function isOfBefore(ctx: RoutingContext, change: UpstreamChange): boolean {
  if (change.kind !== 'listed') return false;
  const { upstream: listed } = change;
  const last = ctx.state.upstreams.removed.get(listed.id)?.listed;
  if (last === undefined) return false;
  if (listed.startedAt !== last.startedAt) return listed.startedAt < last.startedAt;
  return listed.beat <= last.beat;
}

function hasDifferentTarget(known: Upstream, listed: ListedUpstream): boolean {
  return known.listed.address !== listed.address || known.listed.pool !== listed.pool;
}

function handleMissing(ctx: RoutingContext, id: UpstreamId): void {
  const { upstreams, settings } = ctx.state;
  const upstream = upstreams.byId.get(id);
  if (upstream === undefined) return;
  const hasJustRecovered =
    upstreams.platformRecoveredAt !== undefined &&
    ctx.now - upstreams.platformRecoveredAt < settings.relistWithinMs;
  if (hasJustRecovered) upstream.missingSince ??= ctx.now;
  else removeUpstream(ctx, id, 'removed from the list');
}

function removeUpstream(ctx: RoutingContext, id: UpstreamId, reason: string): void {
  const { byId } = ctx.state.upstreams;
  const upstream = byId.get(id);
  if (upstream === undefined) return;
  confirmSilentCrash(ctx, upstream);
  byId.delete(id);
  recordFormerVersion(ctx, upstream.listed);
  ctx.state.upstreams.removed.set(id, { listed: upstream.listed, at: ctx.now });
  ctx.state.prefixes.removeUpstream(upstream.hash);
  const { startedAt: upstreamStartedAt } = upstream.listed;
  emit(ctx, { kind: 'forgetUpstream', upstream: id, upstreamStartedAt });
  logInfo(ctx, 'upstreamRemoved', { upstream: id, reason, running: upstream.own.running });
}
