/**
 * Upstreams that have said in an answer that they leave. An upstream that leaves takes no new request of
 * any instance, whatever the platform's list says of it: the list may be late or unreachable, and may
 * repeat an older entry. What it said holds until a later start of it is listed, which has another hash.
 *
 * An answer reaches one instance. Each message to the others contains all recent statements, so that a
 * lost one does no harm; times are sent as ages, since clocks are not compared.
 */
import type { Millis } from '../../core/clock.js';
import type { PeerMessageOf } from '../../core/types.js';
import { logInfo, type RoutingContext } from '../context.js';
import type { UpstreamId } from '../types.js';
import { hashUpstreamStart, type LeavingStatement, type Upstream } from './upstreamsState.js';

export type LeavingNews = PeerMessageOf<'routingNews'>['leaving'];

/** Time for which messages contain a statement on an upstream that the list does not call ready. */
const TELL_MS: Millis = 10_000;
/** Time for which a statement is kept after its upstream has left the list. */
const KEEP_UNLISTED_MS: Millis = 600_000;

/** Returns whether an upstream has said that it leaves. */
export function isLeaving({ state }: RoutingContext, { hash }: Upstream): boolean {
  return state.upstreams.leaving.has(hash);
}

/** Records that an upstream says so in an answer to a request of this instance. */
export function recordLeaving(
  ctx: RoutingContext,
  id: UpstreamId,
  startedAt: Millis,
  requestId: string | undefined,
): void {
  const hash = hashUpstreamStart(id, startedAt);
  if (!addStatement(ctx, hash, { saidAt: ctx.now, source: 'answer' })) return;
  logInfo(ctx, 'upstreamLeaving', { upstream: id, source: 'answer', request: requestId });
}

/** Composes what this instance knows, for the others. */
export function composeLeavingNews({ state, now }: RoutingContext): LeavingNews {
  const { leaving, byId } = state.upstreams;
  if (leaving.size === 0) return [];
  const listedAsReady = new Set(
    [...byId.values()].flatMap(({ hash, listed }) => (listed.phase === 'ready' ? [hash] : [])),
  );
  return [...leaving].flatMap(([upstream, { saidAt }]) => {
    const ageMs = Math.max(0, Math.round(now - saidAt));
    return ageMs < TELL_MS || listedAsReady.has(upstream) ? [{ upstream, ageMs }] : [];
  });
}

/** Applies what another instance knows. */
export function applyLeavingNews(ctx: RoutingContext, from: string, news: LeavingNews): void {
  news.forEach(({ upstream: hash, ageMs }) => {
    const saidAt = ctx.now - ageMs;
    if (!addStatement(ctx, hash, { saidAt, source: 'instance' })) return;
    const upstream = [...ctx.state.upstreams.byId.values()].find((known) => known.hash === hash);
    logInfo(ctx, 'upstreamLeaving', {
      upstream: upstream?.listed.id,
      source: 'instance',
      peer: from,
      ageMs,
    });
  });
}

/** Forgets statements on upstreams that have long left the list. */
export function expireLeaving({ state, now }: RoutingContext): void {
  const { leaving, byId } = state.upstreams;
  if (leaving.size === 0) return;
  const listed = new Set([...byId.values()].map(({ hash }) => hash));
  leaving.forEach(({ saidAt }, hash) => {
    if (!listed.has(hash) && now - saidAt > KEEP_UNLISTED_MS) leaving.delete(hash);
  });
}

/** Returns whether the statement is new. */
function addStatement(
  { state, now }: RoutingContext,
  hash: number,
  statement: LeavingStatement,
): boolean {
  const { leaving } = state.upstreams;
  if (leaving.has(hash) || now - statement.saidAt > KEEP_UNLISTED_MS) return false;
  leaving.set(hash, statement);
  return true;
}
