/**
 * Exchange between instances: each announces itself once on the platform, finds the others there,
 * and then tells them directly, some times a second, of its open work at upstreams, of what
 * customers ask for and get, of parts of prompts that upstreams read, and of requests that crash
 * upstreams. News are whole states, or told twice, so that a lost or late message does no harm; an
 * instance that is not heard of no longer counts. In a large fleet the failure domains tell each
 * other sums (`domains.ts`).
 */
import type { Millis } from '../../core/clock.js';
import {
  emit,
  logInfo,
  logWarning,
  setRetryTimer,
  setTimer,
  type RetryDelay,
  type RoutingContext,
} from '../context.js';
import { controlIntervalFactor } from '../load/ownLoad.js';
import { settlePoll, type Poll } from '../polls.js';
import type { PartRead } from '../placement/prefixMemory.js';
import { recordReportedCrashes } from '../suspects/suspects.js';
import type { AnnouncedInstance, RoutingEvent } from '../types.js';
import { composeConfirmation, takeConfirmation } from './confirmations.js';
import {
  expireSums,
  noteDomainSums,
  notePartsToPassOn,
  noteSumsPassedOn,
  relaysToTell,
  takeSumsToPassOn,
} from './domains.js';
import type { News, PeerInstance } from './exchangeState.js';
import { dropSums, sumNews } from './fleetSums.js';
import { isFirst, isNear, isRelay, isRelayed, nearPeers } from './members.js';
import { composeMessage, ownNews, partsOf, readNews } from './news.js';

/** Delay before a failed announcement or read is tried again. */
const RETRY_DELAY: RetryDelay = { firstMs: 500, longestMs: 3_000 };
/** Of so many news, instances that were found lately and are not heard of yet are told one. */
const NEW_PEER_EVERY = 5;
/** Interval at which instances that are not heard of are still told news. */
const SILENT_PEER_INTERVAL_MS: Millis = 2_000;
/** Time after which an instance that was never heard of again is dropped. */
const DROP_AFTER_MS: Millis = 30_000;
/** Busy instances are heard of within this time, so that their neighbours follow them. */
const LONGEST_STRETCHED_MS: Millis = 700;
/** Time for which instances count that are not heard of, where connections are divided. */
const COUNTED_FOR_MS: Millis = 10_000;

type Polled = Extract<RoutingEvent, { readonly kind: 'instancesPolled' }>;

export function startExchange(ctx: RoutingContext): void {
  emit(ctx, { kind: 'announce', self: ctx.state.self });
  startInstancePoll(ctx);
  setTimer(ctx, 'exchange', ctx.state.settings.exchangeMs);
}

export function startInstancePoll(ctx: RoutingContext): void {
  const { exchange, settings } = ctx.state;
  const waitMs = exchange.cursor === undefined ? 0 : settings.instanceWaitMs;
  emit(ctx, { kind: 'pollInstances', cursor: exchange.cursor, waitMs });
}

export function onAnnounced(ctx: RoutingContext, reason: string | undefined): void {
  if (reason === undefined) {
    ctx.state.exchange.isAnnounced = true;
    return;
  }
  const { exchange } = ctx.state;
  logWarning(ctx, 'announceFailed', { reason });
  exchange.announceFailures += 1;
  setRetryTimer(ctx, 'announce', RETRY_DELAY, exchange.announceFailures);
}

export function onAnnounceTimer(ctx: RoutingContext): void {
  if (!ctx.state.exchange.isAnnounced) emit(ctx, { kind: 'announce', self: ctx.state.self });
}

export function onInstancesPolled(ctx: RoutingContext, { outcome }: Polled): void {
  const changes = settlePoll(ctx, pollOf(ctx), outcome);
  if (changes === undefined) return;
  changes.forEach((announced) => addPeer(ctx, announced));
  startInstancePoll(ctx);
}

function pollOf(ctx: RoutingContext): Poll {
  return {
    reads: 'instances',
    state: ctx.state.exchange,
    timer: 'instancePoll',
    retryDelay: RETRY_DELAY,
    start: startInstancePoll,
  };
}

export function onExchangeTimer(ctx: RoutingContext): void {
  const { exchange } = ctx.state;
  exchange.peers.forEach((peer) => checkPeer(ctx, peer));
  expireSums(ctx);
  dropSums(ctx);
  exchange.sequence += 1;
  const parts = ctx.state.prefixes.takePending();
  const told = isRelayed(ctx) ? tellDomain(ctx, parts) : tellAll(ctx, parts);
  setTimer(ctx, 'exchange', exchangeInterval(ctx, told));
}

/** Time to the next news: longer the more instances are told, and while the processor is busy. */
function exchangeInterval(ctx: RoutingContext, told: number): Millis {
  const { exchangeMs, exchangeInstances } = ctx.state.settings;
  const usualMs = exchangeMs * Math.max(1, told / exchangeInstances);
  return Math.max(usualMs, Math.min(usualMs * controlIntervalFactor(ctx), LONGEST_STRETCHED_MS));
}

export function onNews(ctx: RoutingContext, from: string, incarnation: number, value: News): void {
  const peer = ctx.state.exchange.peers.get(from);
  if (peer === undefined || incarnation < peer.incarnation) return;
  if (incarnation === peer.incarnation && value.sequence <= peer.sequence) return;
  peer.lastHeardAt = ctx.now;
  peer.sequence = value.sequence;
  dropSums(ctx);
  if (value.domain !== '') {
    noteDomainSums(ctx, peer, value);
    return;
  }
  if (!peer.isHeard) logInfo(ctx, 'peerFound', { peer: from, address: peer.address });
  peer.isHeard = true;
  peer.news = value.isLeaving ? undefined : readNews(value);
  value.suspects.forEach((fingerprint, i) => {
    recordReportedCrashes(ctx, from, fingerprint, value.crashes[i] ?? 0);
  });
  const parts = partsOf(value);
  parts.forEach((read) => ctx.state.prefixes.recordRemote(read, ctx.now));
  if (!isNear(ctx, peer)) return;
  takeConfirmation(ctx, value);
  notePartsToPassOn(ctx, parts);
  noteSumsPassedOn(ctx, value.others);
}

/** Instances that may open connections to upstreams, this one included. */
export function countInstances(ctx: RoutingContext): number {
  const { peers, domains } = ctx.state.exchange;
  const counted = isRelayed(ctx) ? nearPeers(ctx) : [...peers.values()];
  let count = 1;
  counted.forEach((peer) => {
    if (ctx.now - peer.lastHeardAt < COUNTED_FOR_MS) count += 1;
  });
  if (!isRelayed(ctx)) return count;
  domains.forEach(({ told, heardAt }) => {
    if (ctx.now - heardAt < COUNTED_FOR_MS) count += told.instances;
  });
  return count;
}

/** Tells the others at once that this instance leaves. */
export function announceLeaving(ctx: RoutingContext): void {
  const { exchange } = ctx.state;
  exchange.sequence += 1;
  const parts = ctx.state.prefixes.takePending();
  const message = composeOwn(ctx, parts);
  const near = nearPeers(ctx);
  const told = isRelayed(ctx) ? near : [...exchange.peers.values()];
  told.forEach((peer) => sendNews(ctx, peer, message));
  if (isRelayed(ctx) && isFirst(ctx)) tellRelays(ctx, near, parts);
}

/** Tells every other instance; returns their number. */
function tellAll(ctx: RoutingContext, parts: readonly PartRead[]): number {
  const { peers } = ctx.state.exchange;
  const message = composeOwn(ctx, parts);
  peers.forEach((peer) => {
    if (isTold(ctx, peer)) sendNews(ctx, peer, message);
  });
  return peers.size;
}

/**
 * Tells the instances of this failure domain, and the other domains if it is for this instance to do
 * so. Returns how many are told.
 */
function tellDomain(ctx: RoutingContext, parts: readonly PartRead[]): number {
  const near = nearPeers(ctx);
  const isForDomain = isRelay(ctx);
  const others = isForDomain ? takeSumsToPassOn(ctx) : [];
  const message = composeOwn(ctx, parts, others);
  near.forEach((peer) => {
    if (isTold(ctx, peer)) sendNews(ctx, peer, message);
  });
  if (!isForDomain) return near.length;
  return near.length + tellRelays(ctx, near, parts);
}

/** Tells the other domains the sums of this one; returns the number of domains. */
function tellRelays(
  ctx: RoutingContext,
  near: readonly PeerInstance[],
  parts: readonly PartRead[],
): number {
  const relays = relaysToTell(ctx);
  const sums = composeDomain(ctx, near, parts);
  relays.forEach((relay) => sendNews(ctx, relay, sums));
  return relays.length;
}

function composeOwn(
  ctx: RoutingContext,
  parts: readonly PartRead[],
  others: readonly News[] = [],
): News {
  const instances = new Set([ctx.state.self.id]);
  const confirmation = composeConfirmation(ctx);
  return composeMessage(ctx, { news: ownNews(ctx), parts, instances, others, confirmation });
}

/** The sums of this failure domain. */
function composeDomain(
  ctx: RoutingContext,
  near: readonly PeerInstance[],
  ownParts: readonly PartRead[],
): News {
  const { self, exchange } = ctx.state;
  const known = near.flatMap(({ news }) => (news === undefined ? [] : [news]));
  const parts = [...ownParts, ...exchange.passOn.near];
  exchange.passOn.near = [];
  return composeMessage(ctx, {
    news: sumNews([ownNews(ctx), ...known]),
    parts,
    instances: new Set([self.id, ...near.map(({ id }) => id)]),
    domain: self.domain,
  });
}

function sendNews(ctx: RoutingContext, { id, address }: PeerInstance, value: News): void {
  emit(ctx, { kind: 'sendPeer', to: id, address, message: { $case: 'routingNews', value } });
}

function addPeer(ctx: RoutingContext, announced: AnnouncedInstance): void {
  const { self, exchange } = ctx.state;
  if (announced.id === self.id) return;
  const known = exchange.peers.get(announced.id);
  if (known !== undefined && known.incarnation >= announced.incarnation) return;
  dropSums(ctx);
  const { id, incarnation, address, domain, region } = announced;
  exchange.peers.set(id, {
    id,
    incarnation,
    address,
    domain,
    region,
    news: undefined,
    lastHeardAt: ctx.now,
    isHeard: false,
    relayedAt: undefined,
    sequence: -1,
  });
}

function checkPeer(ctx: RoutingContext, peer: PeerInstance): void {
  // Nothing comes from most instances of other domains then.
  if (isRelayed(ctx) && !isNear(ctx, peer)) return;
  const silentForMs = ctx.now - peer.lastHeardAt;
  if (peer.isHeard && silentForMs > ctx.state.settings.peerTimeoutMs) {
    peer.isHeard = false;
    peer.news = undefined;
    logWarning(ctx, 'peerLost', { peer: peer.id, silentForMs });
  }
  if (silentForMs > DROP_AFTER_MS) {
    ctx.state.exchange.peers.delete(peer.id);
    emit(ctx, { kind: 'dropPeer', to: peer.id });
  }
}

/** Instances that are silent are told now and then only. */
function isTold(ctx: RoutingContext, peer: PeerInstance): boolean {
  if (peer.isHeard) return true;
  const { exchange, settings } = ctx.state;
  const everyNth = Math.max(1, Math.round(SILENT_PEER_INTERVAL_MS / settings.exchangeMs));
  const isNew = ctx.now - peer.lastHeardAt < settings.peerTimeoutMs;
  return exchange.sequence % (isNew ? NEW_PEER_EVERY : everyNth) === 0;
}
