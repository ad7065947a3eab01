/**
 * Message exchange in a large fleet. The instances of a failure domain message each other; one of
 * them, the relay, exchanges summaries with the relays of the other domains and forwards theirs
 * within its own. Message sizes then grow with the failure domain rather than with the fleet, and
 * few messages cross regions.
 *
 * The relay is the instance with the lowest id that its domain hears from; there is no election.
 * While there are two relays, or none, summaries are sent twice or late; they are full states, so
 * nothing is counted twice. Messages to a silent domain go to each of its instances in turn until
 * its relay answers.
 */
import { logInfo, logWarning, type RoutingContext } from '../context.js';
import type { PartRead } from '../placement/prefixCacheTable.js';
import { applyLimitNews } from '../rateLimits/limitNews.js';
import { applySuspectNews } from '../suspects/suspectNews.js';
import type { FailureDomainId } from '../types.js';
import { tellAllStreams } from '../versions/streams.js';
import { applyStreamNews } from '../versions/streamNews.js';
import { applyLeavingNews } from '../upstreams/leaving.js';
import type { RoutingMessage, PeerInstance } from './exchangeState.js';
import { isSameDomain, isRelay, usesRelays } from './members.js';
import { decodeParts, decodeSummary } from './routingMessage.js';

/** Messages sent to an instance of a silent domain before the next instance is tried. */
const ATTEMPTS_PER_INSTANCE = 2;
/** Maximum number of parts queued for one forwarded message. */
const MAX_FORWARDED_PARTS = 800;

/** Handles a summary received directly from the relay of another domain. */
export function onDomainSummary(
  ctx: RoutingContext,
  from: PeerInstance,
  message: RoutingMessage,
): void {
  const relay = from;
  relay.lastRelayedAt = message.isLeaving ? undefined : ctx.now;
  if (message.isLeaving) return;
  ctx.state.exchange.relayAttempts.delete(message.domain);
  applyDomainSummary(ctx, message);
  if (!isRelay(ctx)) return;
  const { fromOtherDomains } = ctx.state.exchange.partsToForward;
  fromOtherDomains.set(
    message.domain,
    appendBounded(fromOtherDomains.get(message.domain) ?? [], decodeParts(message)),
  );
}

/** Handles summaries of other domains that the relay of this one forwards. */
export function onForwardedSummaries(ctx: RoutingContext, others: readonly RoutingMessage[]): void {
  // The relay receives them directly.
  if (others.length === 0 || isRelay(ctx)) return;
  others.forEach((message) => applyDomainSummary(ctx, message));
}

/**
 * Queues parts reported within this domain for the other domains, if this instance is the relay.
 */
export function queuePartsToForward(ctx: RoutingContext, parts: readonly PartRead[]): void {
  const { partsToForward } = ctx.state.exchange;
  if (usesRelays(ctx) && isRelay(ctx))
    partsToForward.fromOwnDomain = appendBounded(partsToForward.fromOwnDomain, parts);
}

/**
 * Returns the summaries of other domains, with the parts read there, for the instances of this one.
 */
export function takeSummariesToForward(ctx: RoutingContext): readonly RoutingMessage[] {
  const { domains, partsToForward } = ctx.state.exchange;
  const summaries = [...domains].flatMap(([domain, known]) => {
    // Forward each summary only once, or old summaries would be taken for new ones.
    if (!known.isForwardPending) return [];
    domains.set(domain, { ...known, isForwardPending: false });
    const { message } = known;
    const parts = partsToForward.fromOtherDomains.get(domain) ?? [];
    const readParts = parts.map(({ part }) => part);
    const readAt = parts.map(({ upstream }) => upstream);
    return [{ ...message, readParts, readAt }];
  });
  partsToForward.fromOtherDomains.clear();
  return summaries;
}

/** Selects the instance of each other domain that receives this domain's summary. */
export function selectRelays(ctx: RoutingContext): readonly PeerInstance[] {
  const byDomain = new Map<FailureDomainId, PeerInstance[]>();
  ctx.state.exchange.peers.forEach((peer) => {
    if (isSameDomain(ctx, peer)) return;
    const members = byDomain.get(peer.domain) ?? [];
    byDomain.set(peer.domain, members);
    members.push(peer);
  });
  return [...byDomain].map(([domain, members]) => selectRelay(ctx, domain, members));
}

/** Discards summaries that are too old. */
export function expireDomainSummaries(ctx: RoutingContext): void {
  const { domains } = ctx.state.exchange;
  domains.forEach((known, domain) => {
    const silentForMs = ctx.now - known.heardAt;
    if (known.summary === undefined || silentForMs <= ctx.state.settings.peerTimeoutMs) return;
    domains.set(domain, { ...known, summary: undefined, isForwardPending: false });
    logWarning(ctx, 'domainLost', { domain, silentForMs, instances: known.message.instances });
  });
}

function applyDomainSummary(ctx: RoutingContext, message: RoutingMessage): void {
  const { domain } = message;
  const { domains } = ctx.state.exchange;
  if (domain === ctx.state.self.domain) return;
  if (domains.get(domain)?.summary === undefined) {
    logInfo(ctx, 'domainFound', { domain, instances: message.instances });
    if (isRelay(ctx)) tellAllStreams(ctx);
  }
  domains.set(domain, {
    message,
    summary: decodeSummary(message),
    limitUses: applyLimitNews(ctx, message.rateLimits),
    isForwardPending: true,
    heardAt: ctx.now,
  });
  applySuspectNews(ctx, message.suspectNews, isRelay(ctx));
  applyLeavingNews(ctx, domain, message.leaving);
  applyStreamNews(ctx, message.streams, isRelay(ctx));
  decodeParts(message).forEach((read) => ctx.state.prefixes.recordRemote(read, ctx.now));
}

/** Returns the relay if it was heard from recently, or else the next instance of the domain. */
function selectRelay(
  ctx: RoutingContext,
  domain: FailureDomainId,
  members: readonly PeerInstance[],
): PeerInstance {
  const { relayAttempts } = ctx.state.exchange;
  const sorted = [...members].sort((a, b) => (a.id < b.id ? -1 : 1));
  const activeSince = ctx.now - ctx.state.settings.peerTimeoutMs;
  const relay = sorted.find(({ lastRelayedAt = -Infinity }) => lastRelayedAt > activeSince);
  if (relay !== undefined) return relay;
  const attempts = relayAttempts.get(domain) ?? 0;
  relayAttempts.set(domain, attempts + 1);
  return sorted[Math.floor(attempts / ATTEMPTS_PER_INSTANCE) % sorted.length] as PeerInstance;
}

function appendBounded(queue: readonly PartRead[], parts: readonly PartRead[]): PartRead[] {
  return [...queue, ...parts].slice(-MAX_FORWARDED_PARTS);
}
