/**
 * Records what upstreams state about the rate of requests that they accept, in answers to this
 * instance or to others.
 *
 * Answers on different connections may arrive in another order than the upstream gave them. A limit
 * is taken from any answer, since a later one corrects it. It ends only with an answer to a request
 * that was sent after the limit had been stated.
 */
import { Debug } from '../../core/debug.js';
import type { Millis } from '../../core/clock.js';
import { logInfo, logWarning, type RoutingContext } from '../context.js';
import type { RateStatement } from '../types.js';
import type { Upstream } from '../upstreams/upstreamsState.js';
import { createPacer } from './pacer.js';
import { createValueThreshold } from './valueThreshold.js';
import { sentRate } from './rateLimits.js';
import type { LimitedUpstream, RateLimit } from './rateLimitsState.js';

/** Time for which the end of a limit is remembered, so that late news of the limit do not restore it. */
const KEEP_ENDED_MS: Millis = 30_000;
/** Time for which the limit of an upstream that is not listed is remembered. */
const KEEP_UNLISTED_MS: Millis = 30_000;
/**
 * Difference from which another instance's news of the same limit count as a later statement, rather
 * than as the same one with the delay of the message.
 */
const MIN_STATEMENT_INTERVAL_MS: Millis = 500;

/** Characters of an unreadable statement that are logged. */
const MAX_LOGGED_TEXT = 64;

/**
 * Records the statement of an answer; `undefined` if the answer could not tell.
 *
 * @param sentAt Time at which the request was sent.
 */
export function recordRate(
  ctx: RoutingContext,
  { hash, listed }: Upstream,
  rate: RateStatement | undefined,
  sentAt: Millis,
): void {
  if (rate === undefined) return;
  switch (rate.kind) {
    case 'limited':
      updateLimit(ctx, hash, { perSecond: rate.perSecond, statedAt: ctx.now });
      return;
    case 'unlimited': {
      const known = ctx.state.rateLimits.limited.get(hash);
      if (known === undefined || sentAt < known.limit.statedAt) return;
      updateLimit(ctx, hash, { perSecond: undefined, statedAt: ctx.now });
      return;
    }
    case 'unreadable':
      logWarning(ctx, 'limitUnreadable', {
        upstream: listed.id,
        text: rate.text.slice(0, MAX_LOGGED_TEXT),
      });
      return;
    default:
      Debug.assertNever(rate);
  }
}

/** Records a statement of which another instance has told. */
export function recordRemoteLimit(ctx: RoutingContext, hash: number, limit: RateLimit): void {
  const known = ctx.state.rateLimits.limited.get(hash)?.limit;
  if (known !== undefined) {
    const isSame = known.perSecond === limit.perSecond;
    const minIntervalMs = isSame ? MIN_STATEMENT_INTERVAL_MS : 0;
    if (limit.statedAt <= known.statedAt + minIntervalMs) return;
  }
  updateLimit(ctx, hash, limit);
}

/** Forgets limits that ended long ago, and upstreams that are gone. */
export function expireLimits(ctx: RoutingContext): void {
  const { limited, sent } = ctx.state.rateLimits;
  const listed = new Set([...ctx.state.upstreams.byId.values()].map(({ hash }) => hash));
  limited.forEach(({ limit }, hash) => {
    const ageMs = ctx.now - limit.statedAt;
    const hasEnded = limit.perSecond === undefined && ageMs > KEEP_ENDED_MS;
    if (hasEnded || (!listed.has(hash) && ageMs > KEEP_UNLISTED_MS)) limited.delete(hash);
  });
  sent.forEach((count, hash) => {
    if (!listed.has(hash) && count.count(ctx.now) === 0) sent.delete(hash);
  });
}

function updateLimit(ctx: RoutingContext, hash: number, limit: RateLimit): void {
  const { limited } = ctx.state.rateLimits;
  const known = limited.get(hash);
  const previous = known?.limit.perSecond;
  if (known === undefined && limit.perSecond === undefined) return;
  if (known !== undefined && previous !== undefined) known.limit = limit;
  else limited.set(hash, createLimited(ctx, hash, limit));
  if (previous !== limit.perSecond) logChange(ctx, hash, limit, previous);
}

/** Starts with the rate at which requests have been sent, as what this instance wants. */
function createLimited(ctx: RoutingContext, hash: number, limit: RateLimit): LimitedUpstream {
  const wanted = { perSecond: sentRate(ctx, hash), at: ctx.now };
  return {
    limit,
    pacer: createPacer(ctx.state.random, ctx.now),
    wanted,
    threshold: createValueThreshold(),
  };
}

function logChange(
  ctx: RoutingContext,
  hash: number,
  { perSecond, statedAt }: RateLimit,
  previous: number | undefined,
): void {
  const upstream = [...ctx.state.upstreams.byId.values()].find((listed) => listed.hash === hash);
  const ageMs = Math.round(ctx.now - statedAt);
  const fields = { upstream: upstream?.listed.id, previous, ageMs };
  if (perSecond === undefined) logInfo(ctx, 'limitEnded', fields);
  else logInfo(ctx, 'limitStated', { ...fields, perSecond });
}
