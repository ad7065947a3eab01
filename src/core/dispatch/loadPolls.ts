/** Reads of the load and the cache events of owned upstreams. */
import type { CoreContext } from '../context.js';
import type { UpstreamConfig } from '../types.js';
import { cacheNext } from './cache.js';
import { slotsOf } from './slots.js';

/** Upstreams that are read at each firing; an owner of more reads them in turn. */
const POLLS_PER_TURN = 10;

/** Reads the load of the owned upstreams, or of the part of them whose turn it is. */
export function pollInTurn(ctx: CoreContext, owned: readonly UpstreamConfig[]): void {
  const { dispatch } = ctx.state;
  const turns = Math.max(1, Math.ceil(owned.length / POLLS_PER_TURN));
  dispatch.pollTurn = (dispatch.pollTurn + 1) % turns;
  owned.forEach((upstream, i) => {
    if (i % turns === dispatch.pollTurn) poll(ctx, upstream);
  });
}

/** Reads the load of an upstream. */
export function poll(ctx: CoreContext, upstream: UpstreamConfig): void {
  if (!upstream.reportsLoad) return;
  const slots = slotsOf(ctx.state, upstream);
  slots.isPolled = true;
  slots.inUseAtPoll = slots.inUse;
  const cacheAfter = cacheNext(ctx.state, upstream.id);
  ctx.emit({ kind: 'pollUpstream', upstream: upstream.id, url: upstream.url, cacheAfter });
}
