/** Instances of this failure domain, and their roles in the message exchange. */
import type { Millis } from '../../core/clock.js';
import type { RoutingContext } from '../context.js';
import type { RoutingEvent } from '../types.js';
import type { PeerInstance } from './exchangeState.js';

/**
 * Returns whether instances message only their own failure domain and relays connect the domains.
 */
export function usesRelays({ state }: RoutingContext): boolean {
  return state.exchange.peers.size >= state.settings.meshInstances;
}

/** Messages that news of another instance take: to this one, or by way of two relays. */
const HOPS = 1;
const RELAYED_HOPS = 2;

/** Returns the usual time from a change at another instance until this one knows of it. */
export function newsDelay(ctx: RoutingContext): Millis {
  return ctx.state.settings.exchangeMs * (usesRelays(ctx) ? RELAYED_HOPS : HOPS);
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

/**
 * Longest time without an event while a process runs, as its health check is one. Beyond it, what others
 * have sent meanwhile may be old.
 */
const MAX_QUIET_MS: Millis = 500;

/** Notes an event, and whether this process stood still before it. */
export function noteEvent({ state, now }: RoutingContext, { kind }: RoutingEvent): void {
  const { exchange } = state;
  const quietMs = now - (exchange.lastEventAt ?? now);
  if (quietMs > MAX_QUIET_MS || kind === 'clockGap') exchange.resumedAt = now;
  exchange.lastEventAt = now;
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
