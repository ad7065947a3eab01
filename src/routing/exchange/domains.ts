/**
 * Exchange in a large fleet: the instances of a failure domain tell each other, and one of them, the
 * relay, exchanges the sums of its domain with the relays of the other domains and passes theirs on.
 * The messages of an instance grow with its domain then, and not with the fleet, and few of them
 * cross regions.
 *
 * The relay is the instance with the lowest id that its domain hears of; nobody is asked. While two
 * take themselves for it, or none, sums are told twice or come late; they are whole states, so that
 * nothing is counted twice. A domain from which nothing comes is told through one of its instances
 * after the other until its relay answers.
 */
import { logInfo, logWarning, type RoutingContext } from '../context.js';
import type { PartRead } from '../placement/prefixMemory.js';
import { recordReportedCrashes } from '../suspects/suspects.js';
import type { FailureDomainId } from '../types.js';
import type { News, PeerInstance } from './exchangeState.js';
import { isNear, isRelay, isRelayed } from './members.js';
import { partsOf, readNews } from './news.js';

/** Messages that an instance of a silent domain is sent before the next one is tried. */
const TRIES_EACH = 2;
/** Parts that are kept to be passed on with one message. */
const MAX_PASSED_ON = 800;

/** Takes the sums of another domain, from its relay itself. */
export function noteDomainSums(ctx: RoutingContext, from: PeerInstance, told: News): void {
  const relay = from;
  relay.relayedAt = told.isLeaving ? undefined : ctx.now;
  if (told.isLeaving) return;
  ctx.state.exchange.tries.delete(told.domain);
  takeSums(ctx, told);
  if (!isRelay(ctx)) return;
  const { far } = ctx.state.exchange.passOn;
  far.set(told.domain, queued(far.get(told.domain) ?? [], partsOf(told)));
}

/** Takes the sums of the other domains that the relay of this one passes on. */
export function noteSumsPassedOn(ctx: RoutingContext, others: readonly News[]): void {
  // The relay has them at first hand.
  if (others.length === 0 || isRelay(ctx)) return;
  others.forEach((told) => takeSums(ctx, told));
}

/** Keeps what an instance of this domain told of parts that upstreams read, if it is to be passed on. */
export function notePartsToPassOn(ctx: RoutingContext, parts: readonly PartRead[]): void {
  const { passOn } = ctx.state.exchange;
  if (isRelayed(ctx) && isRelay(ctx)) passOn.near = queued(passOn.near, parts);
}

/** The sums of the other domains for the instances of this one, with the parts read there. */
export function takeSumsToPassOn(ctx: RoutingContext): readonly News[] {
  const { domains, passOn } = ctx.state.exchange;
  const sums = [...domains].flatMap(([domain, known]) => {
    // Once only, or old sums would pass for new ones.
    if (!known.isToPassOn) return [];
    domains.set(domain, { ...known, isToPassOn: false });
    const { told } = known;
    const parts = passOn.far.get(domain) ?? [];
    const readParts = parts.map(({ part }) => part);
    const readAt = parts.map(({ upstream }) => upstream);
    return [{ ...told, readParts, readAt }];
  });
  passOn.far.clear();
  return sums;
}

/** The instance of each other domain that is to be told of this one. */
export function relaysToTell(ctx: RoutingContext): readonly PeerInstance[] {
  const byDomain = new Map<FailureDomainId, PeerInstance[]>();
  ctx.state.exchange.peers.forEach((peer) => {
    if (isNear(ctx, peer)) return;
    const members = byDomain.get(peer.domain) ?? [];
    byDomain.set(peer.domain, members);
    members.push(peer);
  });
  return [...byDomain].map(([domain, members]) => relayToTell(ctx, domain, members));
}

/** Drops sums that are too old to count. */
export function expireSums(ctx: RoutingContext): void {
  const { domains } = ctx.state.exchange;
  domains.forEach((sums, domain) => {
    const silentForMs = ctx.now - sums.heardAt;
    if (sums.news === undefined || silentForMs <= ctx.state.settings.peerTimeoutMs) return;
    domains.set(domain, { ...sums, news: undefined, isToPassOn: false });
    logWarning(ctx, 'domainLost', { domain, silentForMs, instances: sums.told.instances });
  });
}

function takeSums(ctx: RoutingContext, told: News): void {
  const { domain } = told;
  const { domains } = ctx.state.exchange;
  if (domain === ctx.state.self.domain) return;
  if (domains.get(domain)?.news === undefined) {
    logInfo(ctx, 'domainFound', { domain, instances: told.instances });
  }
  domains.set(domain, { told, news: readNews(told), isToPassOn: true, heardAt: ctx.now });
  told.suspects.forEach((fingerprint, i) => {
    recordReportedCrashes(ctx, `domain ${domain}`, fingerprint, told.crashes[i] ?? 0);
  });
  partsOf(told).forEach((read) => ctx.state.prefixes.recordRemote(read, ctx.now));
}

/** The relay that was heard of, or else the instances of the domain in turn. */
function relayToTell(
  ctx: RoutingContext,
  domain: FailureDomainId,
  members: readonly PeerInstance[],
): PeerInstance {
  const { tries } = ctx.state.exchange;
  const inOrder = [...members].sort((a, b) => (a.id < b.id ? -1 : 1));
  const heardSince = ctx.now - ctx.state.settings.peerTimeoutMs;
  const relay = inOrder.find(({ relayedAt = -Infinity }) => relayedAt > heardSince);
  if (relay !== undefined) return relay;
  const tried = tries.get(domain) ?? 0;
  tries.set(domain, tried + 1);
  return inOrder[Math.floor(tried / TRIES_EACH) % inOrder.length] as PeerInstance;
}

function queued(queue: readonly PartRead[], parts: readonly PartRead[]): PartRead[] {
  return [...queue, ...parts].slice(-MAX_PASSED_ON);
}
