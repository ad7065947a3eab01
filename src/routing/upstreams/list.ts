/**
 * Follows the platform's list of upstreams. An upstream whose entry is removed is dropped, except
 * after a platform outage: entries expire during the outage although their upstreams are alive, so
 * these are kept for a short time in which a live upstream registers itself again.
 */
import {
  emit,
  logInfo,
  logWarning,
  setTimer,
  type RetryBackoff,
  type RoutingContext,
} from '../context.js';
import { handlePollOutcome, type Poll } from '../polls.js';
import type { ListedUpstream, RoutingEvent, UpstreamChange, UpstreamId } from '../types.js';
import { createUpstream, hashUpstream, type Upstream } from './upstreamsState.js';

/** Backoff of failed reads. */
const RETRY_BACKOFF: RetryBackoff = { initialMs: 200, maxMs: 800 };

/**
 * Interval between two reads, as a fraction of the time within which a draining upstream has to be
 * noticed. The rest is for failed reads and for requests that are already on their way.
 */
const POLL_INTERVAL_FRACTION = 0.4;

type Polled = Extract<RoutingEvent, { readonly kind: 'upstreamsPolled' }>;

export function startUpstreamPoll(ctx: RoutingContext): void {
  emit(ctx, { kind: 'pollUpstreams', cursor: ctx.state.upstreams.cursor });
}

export function onUpstreamsPolled(ctx: RoutingContext, event: Polled): void {
  const { upstreams, settings } = ctx.state;
  const wasPlatformDown = upstreams.failures > 0;
  const changes = handlePollOutcome(ctx, pollOf(ctx), event.outcome);
  if (changes === undefined) return;
  if (wasPlatformDown) upstreams.platformRecoveredAt = ctx.now;
  applyChanges(ctx, changes, event.isWhole);
  upstreams.isKnown = true;
  upstreams.readAt = event.askedAt;
  removeMissing(ctx);
  const intervalMs = Math.max(settings.upstreamPollMs, settings.drainMs * POLL_INTERVAL_FRACTION);
  setTimer(ctx, 'upstreamPoll', intervalMs);
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
  if (upstreams.failures > 0) return;
  const since = upstreams.platformRecoveredAt ?? -Infinity;
  if (ctx.now - since < settings.relistWithinMs) return;
  upstreams.byId.forEach((upstream, id) => {
    if (upstream.missingSince !== undefined)
      removeUpstream(ctx, id, 'not listed again after a platform outage');
  });
}

function applyChanges(
  ctx: RoutingContext,
  changes: readonly UpstreamChange[],
  isWhole: boolean,
): void {
  const listedIds = new Set<UpstreamId>();
  changes.forEach((change) => {
    if (change.kind === 'listed') {
      listedIds.add(change.upstream.id);
      addOrUpdate(ctx, change.upstream);
    } else if (change.kind === 'removed') {
      handleMissing(ctx, change.id);
    } else {
      listedIds.add(change.id);
      logWarning(ctx, 'entryUnreadable', { upstream: change.id, reason: change.reason });
    }
  });
  if (!isWhole) return;
  [...ctx.state.upstreams.byId.keys()]
    .filter((id) => !listedIds.has(id))
    .forEach((id) => handleMissing(ctx, id));
}

function addOrUpdate(ctx: RoutingContext, listed: ListedUpstream): void {
  const { byId } = ctx.state.upstreams;
  const known = byId.get(listed.id);
  if (known !== undefined && isStale(listed, known.listed)) return;
  if (
    known === undefined ||
    listed.startedAt > known.listed.startedAt ||
    hasDifferentTarget(known, listed)
  ) {
    if (known !== undefined) removeUpstream(ctx, listed.id, 'restarted or moved');
    byId.set(listed.id, createUpstream(listed, ctx.now));
    const { id, pool, address, domain, phase } = listed;
    logInfo(ctx, 'upstreamListed', { upstream: id, pool, address, domain, phase });
    return;
  }
  if (listed.phase === 'draining' && known.listed.phase === 'ready') {
    logInfo(ctx, 'upstreamDraining', { upstream: listed.id, running: known.own.running });
  }
  known.listed = listed;
  known.hash = hashUpstream(listed);
  known.missingSince = undefined;
}

/**
 * Returns whether an entry is of a previous start, or a previous entry of the same start. Reads may
 * deliver such an entry late.
 */
function isStale(listed: ListedUpstream, known: ListedUpstream): boolean {
  if (listed.startedAt !== known.startedAt) return listed.startedAt < known.startedAt;
  return listed.beat < known.beat;
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
  byId.delete(id);
  ctx.state.prefixes.removeUpstream(upstream.hash);
  const { startedAt: upstreamStartedAt } = upstream.listed;
  emit(ctx, { kind: 'forgetUpstream', upstream: id, upstreamStartedAt });
  logInfo(ctx, 'upstreamRemoved', { upstream: id, reason, running: upstream.own.running });
}
