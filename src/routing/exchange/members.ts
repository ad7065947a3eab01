/** The instances of this failure domain, and how the instances of the fleet tell each other. */
import type { RoutingContext } from '../context.js';
import type { PeerInstance } from './exchangeState.js';

/** Whether instances tell those of their own failure domain only. */
export function isRelayed({ state }: RoutingContext): boolean {
  return state.exchange.peers.size >= state.settings.meshInstances;
}

export function isNear({ state }: RoutingContext, { domain }: PeerInstance): boolean {
  return domain === state.self.domain;
}

/** The other instances of this failure domain. */
export function nearPeers(ctx: RoutingContext): readonly PeerInstance[] {
  return [...ctx.state.exchange.peers.values()].filter((peer) => isNear(ctx, peer));
}

/** Whether this instance exchanges the sums of its failure domain with the other domains. */
export function isRelay(ctx: RoutingContext): boolean {
  const { phase } = ctx.state;
  return phase !== 'stopping' && phase !== 'stopped' && isFirst(ctx);
}

/** Whether no instance with a lower id is heard of in this failure domain. */
export function isFirst(ctx: RoutingContext): boolean {
  const { self } = ctx.state;
  return nearPeers(ctx).every(({ id, news }) => news === undefined || id > self.id);
}
