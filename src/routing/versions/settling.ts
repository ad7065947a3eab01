/**
 * Holds new streams back from a software version that has just joined.
 *
 * Load pattern: while a new version is brought into service, one instance stands still, or is cut off from
 * the others, and does not know the version yet. Streams that it began at other instances break and are
 * taken up there. An instance takes up a stream of which nobody has told only with a list that is younger
 * than a bound (`served.ts`); no instance begins streams at a version that it has known for less than a
 * longer time. So the list of the one that takes up has the version, without a message between the two.
 */
import type { Millis } from '../../core/clock.js';
import type { RoutingContext } from '../context.js';
import type { ListedUpstream } from '../types.js';
import type { Upstream } from '../upstreams/upstreamsState.js';
import { versionOf, type VersionNeed } from './versionsState.js';

/** Part of the interval after which an upstream writes its entry at the earliest. */
const MIN_BEAT_FRACTION = 0.9;
/** Maximum age of a list with which a stream is taken up, as a fraction of the time to settle. */
const MAX_LIST_AGE_FRACTION = 0.8;

/** Returns the time for which a version has to be known before streams begin at it. */
function settleTime({ state }: RoutingContext): Millis {
  return state.settings.drainMs;
}

/** Returns the age up to which a list has all versions at which streams can have begun. */
export function maxTakeUpListAge(ctx: RoutingContext): Millis {
  return settleTime(ctx) * MAX_LIST_AGE_FRACTION;
}

/** Notes since when a version is known, if this was not known. */
export function recordListedVersion(ctx: RoutingContext, listed: ListedUpstream): void {
  const { versions, upstreams, settings } = ctx.state;
  const version = versionOf(listed);
  if (version === undefined) return;
  // What stands in the first list that an instance reads has been there for a while, as its entries tell.
  const listedForMs = upstreams.isKnown
    ? 0
    : Math.max(0, listed.beat - 1) * settings.upstreamBeatMs * MIN_BEAT_FRACTION;
  const at = ctx.now - listedForMs;
  versions.listedSince.set(version, Math.min(versions.listedSince.get(version) ?? Infinity, at));
}

/** Forgets since when versions were known that are not listed any more. */
export function expireListedVersions({ state }: RoutingContext): void {
  const { versions, upstreams } = state;
  const listed = new Set(
    [...upstreams.byId.values()].map((upstream) => versionOf(upstream.listed)),
  );
  [...versions.listedSince.keys()]
    .filter((version) => !listed.has(version))
    .forEach((version) => versions.listedSince.delete(version));
}

/**
 * Returns the upstreams at which a new stream may begin: those whose version has settled, or all of them if
 * there is none.
 */
export function withSettledVersion(
  ctx: RoutingContext,
  upstreams: readonly Upstream[],
  need: VersionNeed,
): readonly Upstream[] {
  if (need.kind !== 'any') return upstreams;
  const settled = upstreams.filter((upstream) => isSettled(ctx, upstream));
  return settled.length === 0 ? upstreams : settled;
}

function isSettled(ctx: RoutingContext, { listed }: Upstream): boolean {
  const version = versionOf(listed);
  if (version === undefined) return true;
  const since = ctx.state.versions.listedSince.get(version) ?? ctx.now;
  return ctx.now - since >= settleTime(ctx);
}
