/**
 * Which software versions of a pool's upstreams serve, or have served within the life of a stream. A
 * stream of which nothing else is known can only have been begun by one of these.
 *
 * The list tells the versions of now. What has left it is remembered by this process, and for the time
 * before its start the history of the list is read, once.
 */
import type { Millis } from '../../core/clock.js';
import { emit, logInfo, logWarning, type RoutingContext } from '../context.js';
import { domainPeers, usesRelays } from '../exchange/members.js';
import { ageOfRead } from '../freshness/sharedRead.js';
import type { ListedUpstream, PoolId, RoutingEvent } from '../types.js';
import { expireListedVersions, maxTakeUpListAge } from './settling.js';
import { hashVersion, versionOf, type VersionHash } from './versionsState.js';

type HistoryRead = Extract<RoutingEvent, { readonly kind: 'listHistoryRead' }>;

/** Bound of the deadlines of callers that count for the life of a stream. */
const MAX_DEADLINE_MS: Millis = 60_000;
/** Time within which a process that stood still has read the messages that came meanwhile. */
const OLD_NEWS_MS: Millis = 300;

/** Returns the time for which a stream may go on after its first event. */
export function streamLife({ state }: RoutingContext): Millis {
  const routes = state.freshness.configuration?.routes ?? [];
  const timeouts = routes.flatMap(({ mode, timeoutMs }) =>
    mode === 'resumableStream' ? [timeoutMs] : [],
  );
  return Math.max(0, state.versions.longestDeadlineMs, ...timeouts);
}

/** Notes the deadline of a resumable stream. */
export function recordDeadline({ state }: RoutingContext, deadlineMs: Millis): void {
  const { versions } = state;
  versions.longestDeadlineMs = Math.min(
    MAX_DEADLINE_MS,
    Math.max(versions.longestDeadlineMs, deadlineMs),
  );
}

/**
 * Returns the time for which a version counts after its last upstream has left the list: other
 * instances may go on to send to it for a while.
 */
function horizon(ctx: RoutingContext): Millis {
  return streamLife(ctx) + ctx.state.settings.drainMs;
}

/** Returns whether all versions are known that can have begun a stream which still goes on. */
export function areVersionsKnown(ctx: RoutingContext): boolean {
  const { upstreams, versions } = ctx.state;
  if (ctx.now - versions.knownSince < horizon(ctx)) return false;
  const isListFresh = (ageOfRead(ctx, upstreams) ?? Infinity) <= maxTakeUpListAge(ctx);
  return isListFresh || hearsAllNow(ctx);
}

/**
 * Returns whether all other instances have told within the last moments which versions they list, so that
 * this one knows the versions at which they may begin streams. What waited for this process while it
 * stood still does not count.
 */
function hearsAllNow(ctx: RoutingContext): boolean {
  const { exchange } = ctx.state;
  const earliest = ctx.now - maxTakeUpListAge(ctx);
  if (usesRelays(ctx)) return exchange.resumedAt < earliest && hearsAllInstances(ctx);
  const since = Math.max(earliest, exchange.resumedAt + OLD_NEWS_MS);
  return [...exchange.peers.values()].every(
    ({ isAlive, lastHeardAt }) => isAlive && lastHeardAt >= since,
  );
}

/**
 * Returns whether all other instances are heard of. One with a newer list would have told of the streams
 * that a version began which is not in the list of this one.
 */
function hearsAllInstances(ctx: RoutingContext): boolean {
  const { peers, domains } = ctx.state.exchange;
  if (!usesRelays(ctx)) return [...peers.values()].every(({ isAlive }) => isAlive);
  const areDomainsHeard = [...domains.values()].every(({ summary }) => summary !== undefined);
  return areDomainsHeard && domainPeers(ctx).every(({ isAlive }) => isAlive);
}

/** Returns the versions that can have begun a stream in a pool; undefined stands for one that is not told. */
export function possibleVersions(
  ctx: RoutingContext,
  pool: PoolId,
): ReadonlySet<VersionHash | undefined> {
  const found = new Set<VersionHash | undefined>();
  ctx.state.upstreams.byId.forEach(({ listed }) => {
    if (listed.pool === pool) found.add(versionOf(listed));
  });
  const since = ctx.now - horizon(ctx);
  ctx.state.versions.former.forEach((former) => {
    const isOfPool = former.pool === pool || former.pool === undefined;
    if (isOfPool && former.at >= since) found.add(former.version);
  });
  return found;
}

/** Returns the versions of the upstreams in the list, as operators know them. */
export function listedVersions({ state }: RoutingContext, pool: PoolId): readonly string[] {
  const versions = [...state.upstreams.byId.values()].flatMap(({ listed }) =>
    listed.pool === pool ? [listed.version] : [],
  );
  return [...new Set(versions)].sort((a, b) => (a < b ? -1 : 1));
}

/** Remembers the version of an upstream that leaves the list, or has another version from now on. */
export function recordFormerVersion(
  ctx: RoutingContext,
  listed: Pick<ListedUpstream, 'pool' | 'version'>,
  at: Millis = ctx.now,
): void {
  const { pool, version } = listed;
  const { former } = ctx.state.versions;
  const key = `${pool}\n${version}`;
  if ((former.get(key)?.at ?? -Infinity) >= at) return;
  const hash = version === '' ? undefined : hashVersion(pool, version);
  former.set(key, { pool, version: hash, at });
}

/** Remembers a version of which another instance has told, if no upstream of it is listed here. */
export function recordToldVersion(ctx: RoutingContext, version: VersionHash): void {
  const { upstreams, versions } = ctx.state;
  if ([...upstreams.byId.values()].some(({ listed }) => versionOf(listed) === version)) return;
  versions.former.set(`#${version}`, { pool: undefined, version, at: ctx.now });
}

/** Forgets the versions that no stream can go on at any more. */
export function expireFormerVersions(ctx: RoutingContext): void {
  expireListedVersions(ctx);
  const since = ctx.now - horizon(ctx);
  ctx.state.versions.former.forEach(({ at }, key) => {
    if (at < since) ctx.state.versions.former.delete(key);
  });
}

/**
 * Notes that the list has been read. From the first read on all versions are known; the history tells
 * of those before it.
 *
 * @param missedMs Time before the read of whose changes it does not tell. No upstream comes and goes within the
 *   time for which it drains, and the others tell of the streams that it began.
 */
export function onListRead(ctx: RoutingContext, askedAt: Millis, missedMs: Millis): void {
  const { versions, settings } = ctx.state;
  const hasMissed = missedMs > settings.drainMs && !hearsAllInstances(ctx);
  if (hasMissed && versions.history === 'read') {
    versions.history = 'unread';
    versions.knownSince = askedAt;
  }
  versions.knownSince = Math.min(versions.knownSince, askedAt);
  if (versions.history !== 'unread') return;
  versions.history = 'pending';
  emit(ctx, { kind: 'readListHistory', beatMs: settings.upstreamBeatMs });
}

export function onListHistoryRead(ctx: RoutingContext, { askedAt, outcome }: HistoryRead): void {
  const { versions } = ctx.state;
  if (outcome.kind === 'failed') {
    versions.history = 'unread';
    logWarning(ctx, 'platformLost', { reads: 'listHistory', reason: outcome.reason });
    return;
  }
  versions.history = 'read';
  versions.knownSince = Math.min(versions.knownSince, askedAt - outcome.coversMs);
  outcome.mentions.forEach(({ pool, version, ageMs }) =>
    recordFormerVersion(ctx, { pool, version }, askedAt - ageMs),
  );
  logInfo(ctx, 'listHistoryRead', {
    coversMs: Number.isFinite(outcome.coversMs) ? Math.round(outcome.coversMs) : 'all',
    versions: outcome.mentions.map(({ pool, version }) => `${pool}/${version}`).join(','),
  });
}
