/** Instances of this failure domain, and their roles in the message exchange. */
import type { RoutingContext } from '../context.js';
import type { PeerInstance } from './exchangeState.js';

/**
 * Returns whether instances message only their own failure domain and relays connect the domains.
 */
export function usesRelays({ state }: RoutingContext): boolean {
  return state.exchange.peers.size >= state.settings.meshInstances;
}

export function isSameDomain({ state }: RoutingContext, { domain }: PeerInstance): boolean {
  return domain === state.self.domain;
}

/** Returns the other instances of this failure domain. */
export function domainPeers(ctx: RoutingContext): readonly PeerInstance[] {
  return [...ctx.state.exchange.peers.values()].filter((peer) => isSameDomain(ctx, peer));
}

/** Returns whether another instance of this failure domain is heard from. */
export function hasLivePeer(ctx: RoutingContext): boolean {
  return domainPeers(ctx).some(({ isAlive }) => isAlive);
}

/** Returns whether this instance exchanges summaries with the other failure domains. */
export function isRelay(ctx: RoutingContext): boolean {
  const { phase } = ctx.state;
  return phase !== 'stopping' && phase !== 'stopped' && hasLowestId(ctx);
}

/** Returns whether no instance with a lower id is heard from in this failure domain. */
export function hasLowestId(ctx: RoutingContext): boolean {
  const { self } = ctx.state;
  return domainPeers(ctx).every(({ id, summary }) => summary === undefined || id > self.id);
}
