/** Polls the load and the cache events of owned upstreams. */
import type { CoreContext } from '../context.js';
import type { UpstreamConfig } from '../types.js';
import { nextCacheSequence } from './cache.js';
import { slotsOf } from './slots.js';

/** Maximum number of upstreams polled per timer event; an owner of more polls them in rotation. */
const POLLS_PER_TURN = 10;

/** Polls the load of the next group of owned upstreams. */
export function pollRoundRobin(ctx: CoreContext, owned: readonly UpstreamConfig[]): void {
  const { dispatch } = ctx.state;
  const turns = Math.max(1, Math.ceil(owned.length / POLLS_PER_TURN));
  dispatch.pollTurn = (dispatch.pollTurn + 1) % turns;
  owned.forEach((upstream, i) => {
    if (i % turns === dispatch.pollTurn) pollLoad(ctx, upstream);
  });
}

/** Polls the load and the cache events of an upstream. */
export function pollLoad(ctx: CoreContext, upstream: UpstreamConfig): void {
  if (!upstream.reportsLoad) return;
  const slots = slotsOf(ctx.state, upstream);
  slots.isPolled = true;
  slots.inUseAtPoll = slots.inUse;
  const cacheAfter = nextCacheSequence(ctx.state, upstream.id);
  ctx.emit({ kind: 'pollUpstream', upstream: upstream.id, url: upstream.url, cacheAfter });
}
