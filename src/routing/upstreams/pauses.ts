/**
 * Pauses that upstreams ask for: an upstream that refuses a request may name a time for which it wants
 * no request of this instance. It asks the instance that it refused, so that the others are not told.
 *
 * Load pattern: an overloaded upstream refuses many requests at about the same time, with different
 * times. The pause that ends last holds. No request is sent meanwhile, so that a pause grows only by
 * answers to requests that were on their way when it began. Callers that were refused come back at its end; the
 * requests sent then rise from one to the instance's part of the slots, so that the upstream is not
 * overloaded at once again.
 */
import type { Millis } from '../../core/clock.js';
import { Debug } from '../../core/debug.js';
import { logInfo, logWarning, type RoutingContext } from '../context.js';
import { countInstances } from '../exchange/countedInstances.js';
import type { PauseStatement, PoolId } from '../types.js';
import type { Upstream } from './upstreamsState.js';

/** Time after a pause over which the requests that may be sent rise. */
const RAMP_MS: Millis = 1_000;
/** Extensions of a pause that are shorter are not logged. */
const MIN_LOGGED_EXTENSION_MS: Millis = 500;
/** Maximum time after the end of a pause by which callers are told to come back later. */
const RETURN_SPREAD_MS: Millis = 300;
/** Characters of an unreadable statement that are logged. */
const MAX_LOGGED_TEXT = 64;

/** Records the statement of a refusal. */
export function recordPause(
  ctx: RoutingContext,
  upstream: Upstream,
  statement: PauseStatement,
  requestId: string | undefined,
): void {
  switch (statement.kind) {
    case 'for':
      if (statement.ms > 0) extendPause(ctx, upstream, statement.ms, requestId);
      return;
    case 'unreadable':
      logWarning(ctx, 'pauseUnreadable', {
        upstream: upstream.listed.id,
        text: statement.text.slice(0, MAX_LOGGED_TEXT),
        request: requestId,
      });
      return;
    default:
      Debug.assertNever(statement);
  }
}

function extendPause(
  ctx: RoutingContext,
  { hash, listed }: Upstream,
  forMs: Millis,
  requestId: string | undefined,
): void {
  const { pauses } = ctx.state.upstreams;
  const known = pauses.get(hash);
  const until = ctx.now + forMs;
  const knownUntil = known === undefined || known.hasEnded ? -Infinity : known.until;
  if (until <= knownUntil) return;
  pauses.set(hash, { until, hasEnded: false, sentSince: 0 });
  if (until - Math.max(knownUntil, ctx.now) < MIN_LOGGED_EXTENSION_MS && knownUntil > ctx.now)
    return;
  const { id } = listed;
  logInfo(ctx, 'pauseRequested', { upstream: id, forMs: Math.round(forMs), request: requestId });
}

/** Returns how long an upstream still wants no request of this instance; 0 if it may get one. */
export function remainingPause({ state, now }: RoutingContext, { hash }: Upstream): Millis {
  const pause = state.upstreams.pauses.get(hash);
  return pause === undefined ? 0 : Math.max(0, pause.until - now);
}

/** Returns whether an upstream may get a further request in the time after its pause. */
export function hasRampRoom(ctx: RoutingContext, { hash, listed }: Upstream): boolean {
  const pause = ctx.state.upstreams.pauses.get(hash);
  if (pause === undefined) return true;
  const rampedFraction = (ctx.now - pause.until) / RAMP_MS;
  if (rampedFraction >= 1) return true;
  return pause.sentSince < 1 + (rampedFraction * listed.slots) / countInstances(ctx);
}

/** Counts a request that is sent to an upstream. */
export function recordSentAfterPause({ state }: RoutingContext, { hash }: Upstream): void {
  const pause = state.upstreams.pauses.get(hash);
  if (pause !== undefined) pause.sentSince += 1;
}

/**
 * Returns the time after which callers should come back that no upstream of a pool can serve, if the
 * end of a pause decides it; 0 if no upstream of the pool pauses.
 */
export function returnAfterPause(ctx: RoutingContext, pool: PoolId): Millis {
  const remaining = [...ctx.state.upstreams.byId.values()]
    .filter((upstream) => upstream.listed.pool === pool)
    .map((upstream) => remainingPause(ctx, upstream))
    .filter((ms) => ms > 0);
  if (remaining.length === 0) return 0;
  return Math.min(...remaining) + RETURN_SPREAD_MS * ctx.state.random.next();
}

/** Logs the pauses that have ended, and forgets them once the requests have risen again. */
export function endPauses(ctx: RoutingContext): void {
  const { pauses, byId } = ctx.state.upstreams;
  if (pauses.size === 0) return;
  const listed = new Map([...byId.values()].map((upstream) => [upstream.hash, upstream]));
  pauses.forEach((pause, hash) => {
    if (ctx.now < pause.until) return;
    if (ctx.now - pause.until > RAMP_MS) pauses.delete(hash);
    if (pause.hasEnded) return;
    const ended = pause;
    ended.hasEnded = true;
    logInfo(ctx, 'pauseEnded', { upstream: listed.get(hash)?.listed.id });
  });
}

/**
 * Shortens the pauses by time for which the process was suspended. A change of the time of day may be
 * a clock that was set, which must not end a pause early.
 */
export function agePauses({ state }: RoutingContext, gapMs: Millis, clock?: string): void {
  if (clock !== 'sinceBoot') return;
  state.upstreams.pauses.forEach((pause) => {
    const aged = pause;
    aged.until -= gapMs;
  });
}
