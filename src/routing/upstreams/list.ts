/**
 * Follows the platform's list of upstreams. An entry that is removed names no upstream any more,
 * except where the platform was away: entries lapse meanwhile although their upstreams live, and
 * those are kept for a short time in which a living upstream lists itself again.
 */
import {
  emit,
  logInfo,
  logWarning,
  setTimer,
  type RetryDelay,
  type RoutingContext,
} from '../context.js';
import { settlePoll, type Poll } from '../polls.js';
import type { ListedUpstream, RoutingEvent, UpstreamChange, UpstreamId } from '../types.js';
import { createUpstream, hashOf, type Upstream } from './upstreamsState.js';

/** Delay before a read that follows a failed one. */
const RETRY_DELAY: RetryDelay = { firstMs: 200, longestMs: 800 };

/**
 * Part of the time in which an upstream's leaving has to be known that passes between two reads; the
 * rest is for reads that fail and for requests on their way.
 */
const POLLED_PART = 0.4;

type Polled = Extract<RoutingEvent, { readonly kind: 'upstreamsPolled' }>;

export function startUpstreamPoll(ctx: RoutingContext): void {
  emit(ctx, { kind: 'pollUpstreams', cursor: ctx.state.upstreams.cursor });
}

export function onUpstreamsPolled(ctx: RoutingContext, event: Polled): void {
  const { upstreams, settings } = ctx.state;
  const wasAway = upstreams.failures > 0;
  const changes = settlePoll(ctx, pollOf(ctx), event.outcome);
  if (changes === undefined) return;
  if (wasAway) upstreams.regainedAt = ctx.now;
  takeChanges(ctx, changes, event.isWhole);
  upstreams.isKnown = true;
  upstreams.readAt = event.askedAt;
  dropMissing(ctx);
  const intervalMs = Math.max(settings.upstreamPollMs, settings.drainMs * POLLED_PART);
  setTimer(ctx, 'upstreamPoll', intervalMs);
}

function pollOf(ctx: RoutingContext): Poll {
  return {
    reads: 'upstreams',
    state: ctx.state.upstreams,
    timer: 'upstreamPoll',
    retryDelay: RETRY_DELAY,
    start: startUpstreamPoll,
  };
}

/** Drops upstreams that did not come back into the list in time. */
export function dropMissing(ctx: RoutingContext): void {
  const { upstreams, settings } = ctx.state;
  if (upstreams.failures > 0) return;
  const since = upstreams.regainedAt ?? -Infinity;
  if (ctx.now - since < settings.relistWithinMs) return;
  upstreams.byId.forEach((upstream, id) => {
    if (upstream.missingSince !== undefined) remove(ctx, id, 'not listed again');
  });
}

function takeChanges(
  ctx: RoutingContext,
  changes: readonly UpstreamChange[],
  isWhole: boolean,
): void {
  const named = new Set<UpstreamId>();
  changes.forEach((change) => {
    if (change.kind === 'listed') {
      named.add(change.upstream.id);
      list(ctx, change.upstream);
    } else if (change.kind === 'removed') {
      miss(ctx, change.id);
    } else {
      named.add(change.id);
      logWarning(ctx, 'entryUnreadable', { upstream: change.id, reason: change.reason });
    }
  });
  if (!isWhole) return;
  [...ctx.state.upstreams.byId.keys()]
    .filter((id) => !named.has(id))
    .forEach((id) => miss(ctx, id));
}

function list(ctx: RoutingContext, listed: ListedUpstream): void {
  const { byId } = ctx.state.upstreams;
  const known = byId.get(listed.id);
  if (known !== undefined && isOlder(listed, known.listed)) return;
  if (known === undefined || listed.bornAt > known.listed.bornAt || hasMoved(known, listed)) {
    if (known !== undefined) remove(ctx, listed.id, 'started again');
    byId.set(listed.id, createUpstream(listed, ctx.now));
    const { id, pool, address, domain, phase } = listed;
    logInfo(ctx, 'upstreamListed', { upstream: id, pool, address, domain, phase });
    return;
  }
  if (listed.phase === 'draining' && known.listed.phase === 'ready') {
    logInfo(ctx, 'upstreamDraining', { upstream: listed.id, running: known.own.running });
  }
  known.listed = listed;
  known.hash = hashOf(listed);
  known.missingSince = undefined;
}

/** An entry of an earlier start, or an earlier entry of the same one, may be read late. */
function isOlder(listed: ListedUpstream, known: ListedUpstream): boolean {
  if (listed.bornAt !== known.bornAt) return listed.bornAt < known.bornAt;
  return listed.beat < known.beat;
}

function hasMoved(known: Upstream, listed: ListedUpstream): boolean {
  return known.listed.address !== listed.address || known.listed.pool !== listed.pool;
}

function miss(ctx: RoutingContext, id: UpstreamId): void {
  const { upstreams, settings } = ctx.state;
  const upstream = upstreams.byId.get(id);
  if (upstream === undefined) return;
  const wasAway =
    upstreams.regainedAt !== undefined && ctx.now - upstreams.regainedAt < settings.relistWithinMs;
  if (wasAway) upstream.missingSince ??= ctx.now;
  else remove(ctx, id, 'left the list');
}

function remove(ctx: RoutingContext, id: UpstreamId, reason: string): void {
  const { byId } = ctx.state.upstreams;
  const upstream = byId.get(id);
  if (upstream === undefined) return;
  byId.delete(id);
  ctx.state.prefixes.removeUpstream(upstream.hash);
  const { bornAt } = upstream.listed;
  emit(ctx, { kind: 'forgetUpstream', upstream: id, bornAt });
  logInfo(ctx, 'upstreamRemoved', { upstream: id, reason, running: upstream.own.running });
}
