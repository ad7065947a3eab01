/**
 * Tells the other instances which software version began which streams, while several versions can have
 * begun streams of a pool whose streams may be taken up. While there is one, nothing is told, and what
 * began lately is told as soon as a second one is listed. A stream is part of several messages, so that a
 * lost one does no harm. Every message then names the versions of these pools that its sender lists, with
 * or without streams.
 */
import type { PeerMessageOf } from '../../core/types.js';
import type { RoutingContext } from '../context.js';
import type { PoolId } from '../types.js';
import { possibleVersions, recordToldVersion } from './served.js';
import { expireStreams, recordToldStream, tellStream } from './streams.js';
import { versionOf, type StreamHash, type VersionHash } from './versionsState.js';

export type StreamNews = PeerMessageOf<'routingNews'>['streams'];

/** Maximum number of streams in one message; the others follow in the next ones. */
const MAX_TOLD = 600;

/** Takes the streams for the next message. */
export function takeStreamNews(ctx: RoutingContext): StreamNews {
  expireStreams(ctx);
  const { untold } = ctx.state.versions;
  const pools = streamPools(ctx);
  ctx.state.versions.areSeveral = [...pools].some((pool) => possibleVersions(ctx, pool).size > 1);
  if (!ctx.state.versions.areSeveral) return [];
  const byVersion = new Map<VersionHash, StreamHash[]>();
  listedVersionsOf(ctx, pools).forEach((version) => byVersion.set(version, []));
  [...untold].slice(0, MAX_TOLD).forEach(([hash, { version, sendsLeft }]) => {
    byVersion.set(version, [...(byVersion.get(version) ?? []), hash]);
    // Those that are told again come after the others.
    untold.delete(hash);
    if (sendsLeft > 1) untold.set(hash, { version, sendsLeft: sendsLeft - 1 });
  });
  return [...byVersion].map(([version, streams]) => ({ version, streams }));
}

/**
 * Applies what another instance tells.
 *
 * @param shouldPassOn Whether this instance tells others what is new, as the relay of its domain.
 */
export function applyStreamNews(
  ctx: RoutingContext,
  news: StreamNews,
  shouldPassOn: boolean,
): void {
  news.forEach(({ version, streams }) => {
    recordToldVersion(ctx, version);
    streams.forEach((hash) => {
      const isNew = recordToldStream(ctx, hash, version);
      if (isNew && shouldPassOn) tellStream(ctx, hash, version);
    });
  });
}

/** Returns the pools whose streams may be taken up. */
function streamPools({ state }: RoutingContext): ReadonlySet<PoolId> {
  const routes = state.freshness.configuration?.routes ?? [];
  return new Set(
    routes.flatMap(({ mode, targets }) =>
      mode === 'resumableStream' ? targets.map(({ pool }) => pool) : [],
    ),
  );
}

/** Returns the versions in the list at which such streams may begin. */
function listedVersionsOf({ state }: RoutingContext, pools: ReadonlySet<PoolId>): Set<VersionHash> {
  const versions = [...state.upstreams.byId.values()].flatMap(({ listed }) =>
    pools.has(listed.pool) ? [versionOf(listed)] : [],
  );
  return new Set(versions.filter((version) => version !== undefined));
}
