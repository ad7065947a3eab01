/**
 * Keeps what this instance has told the others of its own requests, to estimate what they have not told
 * of theirs yet (`unseenWork.ts`).
 */
import type { RoutingContext } from '../context.js';
import { countInstances } from '../exchange/countedInstances.js';
import { remoteRates } from '../exchange/fleetSums.js';
import { newsDelay } from '../exchange/members.js';
import type { TokenRates } from '../shares/sharesState.js';
import { localRates } from '../shares/tokenShares.js';
import type { PoolId } from '../types.js';
import type { Upstream } from '../upstreams/upstreamsState.js';
import {
  createToldHistory,
  estimateUnseenTokens,
  type ToldHistory,
  type UnreadWork,
} from './unseenWork.js';

/**
 * Returns the tokens that each upstream of a pool probably has to read for requests that nobody has told of.
 *
 * @param members The upstreams of the pool that may be used.
 */
export function unseenTokens(
  ctx: RoutingContext,
  pool: PoolId,
  members: readonly Upstream[],
): number {
  const unread = sumUnread(members);
  const told = toldHistory(ctx, pool);
  const delayMs = newsDelay(ctx);
  const { unread: toldUnread } = told.at(ctx.now - delayMs);
  if (unread.tokens <= toldUnread.tokens) return 0;
  return estimateUnseenTokens({
    unread,
    toldUnread,
    othersAsked: sumAsked(remoteRates(ctx)),
    // News are half as old as the oldest on average.
    ownAsked: told.at(ctx.now - delayMs / 2).asked,
    otherInstances: countInstances(ctx) - 1,
    upstreams: members.length,
  });
}

/** Remembers what the message of this moment tells. */
export function recordToldState(ctx: RoutingContext): void {
  const asked = sumAsked(localRates(ctx));
  const byPool = new Map<PoolId, Upstream[]>();
  ctx.state.upstreams.byId.forEach((upstream) => {
    const members = byPool.get(upstream.listed.pool) ?? [];
    byPool.set(upstream.listed.pool, members);
    members.push(upstream);
  });
  byPool.forEach((members, pool) =>
    toldHistory(ctx, pool).record({ unread: sumUnread(members), asked }, ctx.now),
  );
}

function toldHistory(ctx: RoutingContext, pool: PoolId): ToldHistory {
  const { toldHistory: byPool } = ctx.state.upstreams;
  const told = byPool.get(pool) ?? createToldHistory();
  byPool.set(pool, told);
  return told;
}

function sumUnread(upstreams: readonly Upstream[]): UnreadWork {
  return upstreams.reduce(
    (sum, { own, unreadRequests }) => ({
      requests: sum.requests + unreadRequests,
      tokens: sum.tokens + own.pendingTokens,
    }),
    { requests: 0, tokens: 0 },
  );
}

function sumAsked(rates: ReadonlyMap<unknown, TokenRates>): number {
  return [...rates.values()].reduce((sum, { asked }) => sum + asked, 0);
}
