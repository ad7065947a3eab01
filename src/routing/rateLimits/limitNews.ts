/**
 * Exchanges what the instances know of the rate limits of upstreams, and how they use them. Each
 * message contains all limits, so that a lost one does no harm and an instance that has just started
 * learns them with the first one. Times are sent as ages, since clocks are not compared.
 */
import type { PeerMessageOf } from '../../core/types.js';
import type { RoutingContext } from '../context.js';
import { recordRemoteLimit } from './statements.js';
import type { LimitUse } from './rateLimitsState.js';

export type LimitNews = PeerMessageOf<'routingNews'>['rateLimits'];
/** How instances use limited upstreams, by the hash of an upstream's id and start time. */
export type LimitUses = ReadonlyMap<number, LimitUse>;

/**
 * Composes what this instance knows.
 *
 * @param useOf Use by the instances that the message covers.
 */
export function composeLimitNews(
  ctx: RoutingContext,
  useOf: (upstream: number) => LimitUse,
): LimitNews {
  return [...ctx.state.rateLimits.limited].map(([upstream, { limit }]) => ({
    upstream,
    perSecond: limit.perSecond ?? 0,
    isEnded: limit.perSecond === undefined,
    ageMs: Math.max(0, Math.round(ctx.now - limit.statedAt)),
    ...useOf(upstream),
  }));
}

/** Applies the statements of another instance's message, and returns the use that it tells of. */
export function applyLimitNews(ctx: RoutingContext, news: LimitNews): LimitUses {
  const uses = new Map<number, LimitUse>();
  news.filter(isSound).forEach(({ upstream, perSecond, isEnded, ageMs, ...use }) => {
    recordRemoteLimit(ctx, upstream, {
      perSecond: isEnded ? undefined : perSecond,
      statedAt: ctx.now - ageMs,
    });
    uses.set(upstream, use);
  });
  return uses;
}

/** Whether the numbers of an entry are possible. */
function isSound({ perSecond, wantedPerSecond }: LimitNews[number]): boolean {
  return [perSecond, wantedPerSecond].every((rate) => Number.isFinite(rate) && rate >= 0);
}
