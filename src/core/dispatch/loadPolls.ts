/** Reads of the load and the cache events of owned upstreams. */
import type { CoreContext } from '../context.js';
import type { UpstreamConfig } from '../types.js';
import { cacheNext } from './cache.js';
import { slotsOf } from './slots.js';

/** Reads the load of an upstream. */
export function poll(ctx: CoreContext, upstream: UpstreamConfig): void {
  if (!upstream.reportsLoad) return;
  const slots = slotsOf(ctx.state, upstream);
  slots.isPolled = true;
  slots.inUseAtPoll = slots.inUse;
  const cacheAfter = cacheNext(ctx.state, upstream.id);
  ctx.emit({ kind: 'pollUpstream', upstream: upstream.id, url: upstream.url, cacheAfter });
}
