/**
 * The instances that count when something is divided among all: those that are heard from, and those
 * that fell silent a short time ago. A silent instance may be cut off and go on to use its part.
 */
import type { Millis } from '../../core/clock.js';
import type { RoutingContext } from '../context.js';
import type { LimitUses } from '../rateLimits/limitNews.js';
import type { LimitUse } from '../rateLimits/rateLimitsState.js';
import type { PeerInstance } from './exchangeState.js';
import { domainPeers, isSameDomain, usesRelays } from './members.js';

/** Time for which a silent instance still counts. */
const COUNTED_SILENCE_MS: Millis = 10_000;

/** One other instance, or those of another failure domain. */
interface CountedInstances {
  readonly instances: number;
  readonly limitUses: LimitUses;
  readonly heardAt: Millis;
}

/** How other instances used a limited upstream when they last told of it. */
export interface ReportedLimitUse extends LimitUse {
  /** Number of instances that use it; none if they have been replaced. */
  readonly instances: number;
  readonly heardAt: Millis;
}

/** Returns the number of instances that may send requests to upstreams, including this one. */
export function countInstances(ctx: RoutingContext): number {
  const { peers, domains } = ctx.state.exchange;
  const arePeersRelayed = usesRelays(ctx);
  let count = 1;
  peers.forEach((peer) => {
    if (arePeersRelayed && !isSameDomain(ctx, peer)) return;
    if (isCounted(ctx, peer.lastHeardAt)) count += 1;
  });
  if (!arePeersRelayed) return count;
  domains.forEach(({ message, heardAt }) => {
    if (isCounted(ctx, heardAt)) count += message.instances;
  });
  return count;
}

/** Returns how the other instances use a limited upstream, as far as they have told. */
export function remoteLimitUses(
  ctx: RoutingContext,
  upstream: number,
): readonly ReportedLimitUse[] {
  const { remoteLimitUses: cached } = ctx.state.exchange;
  const uses =
    cached.get(upstream) ?? findUses([...countedInstances(ctx), ...formerInstances(ctx)], upstream);
  cached.set(upstream, uses);
  return uses;
}

/** Returns how the other instances of this failure domain use a limited upstream. */
export function domainLimitUses(
  ctx: RoutingContext,
  upstream: number,
): readonly ReportedLimitUse[] {
  return findUses(countPeers(ctx, domainPeers(ctx)), upstream);
}

function findUses(
  counted: readonly CountedInstances[],
  upstream: number,
): readonly ReportedLimitUse[] {
  return counted.flatMap(({ instances, limitUses, heardAt }) => {
    const use = limitUses.get(upstream);
    return use === undefined ? [] : [{ ...use, instances, heardAt }];
  });
}

function countedInstances(ctx: RoutingContext): readonly CountedInstances[] {
  const { peers, domains } = ctx.state.exchange;
  if (!usesRelays(ctx)) return countPeers(ctx, [...peers.values()]);
  const counted = [...domains.values()].filter(({ heardAt }) => isCounted(ctx, heardAt));
  return [
    ...countPeers(ctx, domainPeers(ctx)),
    ...counted.map(({ message, limitUses, heardAt }) => ({
      instances: message.instances,
      limitUses,
      heardAt,
    })),
  ];
}

/** Processes that have been replaced; what they have sent still counts. */
function formerInstances(ctx: RoutingContext): readonly CountedInstances[] {
  return ctx.state.exchange.formerPeers.map(({ limitUses, lastHeardAt }) => ({
    instances: 0,
    limitUses,
    heardAt: lastHeardAt,
  }));
}

function countPeers(
  ctx: RoutingContext,
  peers: readonly PeerInstance[],
): readonly CountedInstances[] {
  return peers
    .filter(({ lastHeardAt }) => isCounted(ctx, lastHeardAt))
    .map(({ limitUses, lastHeardAt }) => ({ instances: 1, limitUses, heardAt: lastHeardAt }));
}

function isCounted({ now }: RoutingContext, lastHeardAt: Millis): boolean {
  return now - lastHeardAt < COUNTED_SILENCE_MS;
}
