/**
 * Keeps streams at the software version that began them. What upstreams of two versions write does not
 * fit together, and upstreams do not check it.
 *
 * Load pattern: while a new version is brought into service, an instance is lost or its connections
 * break, and its callers take up hundreds of streams at the other instances within a second. Each
 * take-up names the request that began its stream, which any instance may have answered. While several
 * versions can have begun streams, instances tell each other which one began which (`streamNews.ts`).
 * What nobody has told goes on only if a single version can have begun it.
 */
import type { Millis } from '../../core/clock.js';
import type { RoutingContext } from '../context.js';
import { hastenExchange } from '../exchange/hasten.js';
import { usesRelays } from '../exchange/members.js';
import type { PoolId, RequestFacts, Route } from '../types.js';
import type { Upstream } from '../upstreams/upstreamsState.js';
import { areVersionsKnown, possibleVersions, recordDeadline, streamLife } from './served.js';
import { hashStream, versionOf, type VersionHash, type VersionNeed } from './versionsState.js';

/** Number of messages that tell of a stream. */
const TELLS = 2;
/** Minimum interval between two messages that tell of streams at once. */
const MIN_STREAM_INTERVAL_MS: Millis = 80;
/** Maximum number of streams that are remembered; older ones are forgotten. */
const MAX_STREAMS = 50_000;

/** What is known of the stream that a request takes up. */
export type StreamStart =
  /** The request begins a new stream, or is none that may be resumed. */
  | { readonly kind: 'new' }
  | {
      readonly kind: 'known';
      readonly pool: PoolId;
      readonly version: VersionHash;
      readonly by: 'id' | 'onlyVersion';
    }
  /** Nobody knows which version began it. */
  | { readonly kind: 'unknown'; readonly possible: number; readonly isComplete: boolean }
  /** No upstream of its version is listed any more, or its version was never told. */
  | { readonly kind: 'gone' };

/** Finds the version that began the stream which a request takes up. */
export function findStreamStart(
  ctx: RoutingContext,
  facts: RequestFacts,
  route: Route,
): StreamStart {
  if (route.mode !== 'resumableStream') return { kind: 'new' };
  recordDeadline(ctx, facts.deadlineMs ?? 0);
  if (facts.takesUp === undefined) return { kind: 'new' };
  const { beganAs } = facts.takesUp;
  const origin =
    beganAs === undefined ? undefined : ctx.state.versions.streams.get(hashStream(beganAs));
  if (origin !== undefined) return locate(ctx, route, origin.version, 'id');
  const pools = route.targets.map(({ pool }) => pool);
  const possible = new Set(pools.flatMap((pool) => [...possibleVersions(ctx, pool)]));
  const isComplete = areVersionsKnown(ctx);
  const [only] = possible;
  if (!isComplete || possible.size !== 1 || only === undefined)
    return { kind: 'unknown', possible: possible.size, isComplete };
  return locate(ctx, route, only, 'onlyVersion');
}

/** Finds the pool of a route whose upstreams have a version. */
function locate(
  { state }: RoutingContext,
  { targets }: Route,
  version: VersionHash | undefined,
  by: 'id' | 'onlyVersion',
): StreamStart {
  if (version === undefined) return { kind: 'gone' };
  const pools = new Set(targets.map(({ pool }) => pool));
  const upstream = [...state.upstreams.byId.values()].find(
    ({ listed }) => pools.has(listed.pool) && versionOf(listed) === version,
  );
  if (upstream === undefined) return { kind: 'gone' };
  return { kind: 'known', pool: upstream.listed.pool, version, by };
}

/** Returns whether an upstream may go on with a stream. */
export function fitsVersion({ listed }: Upstream, need: VersionNeed): boolean {
  if (need.kind === 'any') return true;
  return need.kind === 'only' && versionOf(listed) === need.version;
}

/** Records that an upstream has begun to answer a request with a stream that may be taken up. */
export function recordStream(
  ctx: RoutingContext,
  requestId: string,
  version: VersionHash | undefined,
): void {
  const hash = hashStream(requestId);
  addStream(ctx, hash, version);
  if (version === undefined) return;
  ctx.state.versions.untold.set(hash, { version, sendsLeft: TELLS });
  // With relays, a message goes to too many instances for each to be sent at once.
  if (ctx.state.versions.areSeveral && !usesRelays(ctx))
    hastenExchange(ctx, MIN_STREAM_INTERVAL_MS);
}

/** Records a stream that another instance tells of. Returns whether it was not known. */
export function recordToldStream(ctx: RoutingContext, hash: number, version: VersionHash): boolean {
  if (ctx.state.versions.streams.has(hash)) return false;
  addStream(ctx, hash, version);
  return true;
}

/** Has the next messages tell of a stream. */
export function tellStream({ state }: RoutingContext, hash: number, version: VersionHash): void {
  state.versions.untold.set(hash, { version, sendsLeft: TELLS });
}

/** Has the next messages tell of all streams, as an instance is heard of that may know none. */
export function tellAllStreams(ctx: RoutingContext): void {
  ctx.state.versions.streams.forEach(({ version }, hash) => {
    if (version !== undefined) tellStream(ctx, hash, version);
  });
}

/** Forgets the streams that have ended by now. */
export function expireStreams(ctx: RoutingContext): void {
  const { streams, untold } = ctx.state.versions;
  const since = ctx.now - streamLife(ctx);
  for (const [hash, { at }] of streams) {
    if (at >= since && streams.size <= MAX_STREAMS) return;
    streams.delete(hash);
    untold.delete(hash);
  }
}

function addStream(
  { state, now }: RoutingContext,
  hash: number,
  version: VersionHash | undefined,
): void {
  const { streams } = state.versions;
  // Deleted first, as the order of the entries is that of their times.
  streams.delete(hash);
  streams.set(hash, { version, at: now });
}
