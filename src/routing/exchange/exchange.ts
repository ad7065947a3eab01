/**
 * Exchanges state between instances. Each instance announces itself once on the platform and finds
 * the others there. It then sends them several messages per second directly, with its open work at
 * upstreams, the requested and admitted rates of customers, the prompt parts that upstreams read,
 * and the requests that crash upstreams. Messages contain full state, or repeat changes in two
 * messages, so that a lost or delayed one does no harm. An instance that falls silent is no longer
 * counted. In a large fleet, failure domains exchange summaries (`domains.ts`).
 */
import type { Millis } from '../../core/clock.js';
import {
  emit,
  logInfo,
  logWarning,
  setRetryTimer,
  setTimer,
  type RetryBackoff,
  type RoutingContext,
} from '../context.js';
import { controlIntervalFactor } from '../load/instanceLoad.js';
import { handlePollOutcome, nextCursor, type Poll } from '../polls.js';
import type { PartRead } from '../placement/prefixCacheTable.js';
import { recordToldState } from '../placement/toldState.js';
import { applySuspectNews, takeSuspectNews } from '../suspects/suspectNews.js';
import { applyLimitNews, composeLimitNews } from '../rateLimits/limitNews.js';
import { expireLimits } from '../rateLimits/statements.js';
import { domainLimitUse, ownLimitUse } from '../rateLimits/rateLimits.js';
import { LIMIT_WINDOW_MS } from '../rateLimits/rateLimitsState.js';
import type { AnnouncedInstance, RoutingEvent } from '../types.js';
import { applyLeavingNews, expireLeaving } from '../upstreams/leaving.js';
import { expireFormerVersions } from '../versions/served.js';
import { applyStreamNews, takeStreamNews } from '../versions/streamNews.js';
import { tellAllStreams } from '../versions/streams.js';
import { applyConfirmation, composeConfirmation, noteNewerVersion } from './confirmations.js';
import {
  expireDomainSummaries,
  onDomainSummary,
  queuePartsToForward,
  onForwardedSummaries,
  selectRelays,
  takeSummariesToForward,
} from './domains.js';
import type { RoutingMessage, PeerInstance } from './exchangeState.js';
import { invalidateTotals, mergeSummaries } from './fleetSums.js';
import { hasLowestId, isSameDomain, isRelay, usesRelays, domainPeers } from './members.js';
import { composeMessage, localSummary, decodeParts, decodeSummary } from './routingMessage.js';

/** Backoff of failed announcements and reads. */
const RETRY_BACKOFF: RetryBackoff = { initialMs: 500, maxMs: 3_000 };
/**
 * A recently found peer that has not been heard from yet receives one message per this many
 * exchanges.
 */
const NEW_PEER_EXCHANGES = 5;
/** Interval of messages to other peers that are not heard from. */
const SILENT_PEER_INTERVAL_MS: Millis = 2_000;
/** Time without a message after which a peer is removed. */
const REMOVE_AFTER_MS: Millis = 30_000;
/** Time within which an instance announces itself again after the platform has lost its announcement. */
const ANNOUNCE_AGAIN_WITHIN_MS: Millis = 1_000;
/**
 * Upper bound of the interval on a busy instance, so that its peers can rely on its confirmations.
 */
const MAX_BUSY_INTERVAL_MS: Millis = 700;

type Polled = Extract<RoutingEvent, { readonly kind: 'instancesPolled' }>;

export function startExchange(ctx: RoutingContext): void {
  emit(ctx, { kind: 'announce', self: ctx.state.self });
  startInstancePoll(ctx);
  setTimer(ctx, 'exchange', ctx.state.settings.exchangeMs);
}

export function startInstancePoll(ctx: RoutingContext): void {
  const { exchange, settings } = ctx.state;
  const cursor = nextCursor(ctx, exchange);
  const waitMs = cursor === undefined ? 0 : settings.instanceWaitMs;
  emit(ctx, { kind: 'pollInstances', cursor, waitMs });
}

export function onAnnounced(ctx: RoutingContext, reason: string | undefined): void {
  if (reason === undefined) {
    ctx.state.exchange.announcedAt = ctx.now;
    return;
  }
  const { exchange } = ctx.state;
  logWarning(ctx, 'announceFailed', { reason });
  exchange.announceFailures += 1;
  setRetryTimer(ctx, 'announce', RETRY_BACKOFF, exchange.announceFailures);
}

export function onAnnounceTimer(ctx: RoutingContext): void {
  if (ctx.state.exchange.announcedAt === undefined)
    emit(ctx, { kind: 'announce', self: ctx.state.self });
}

export function onInstancesPolled(ctx: RoutingContext, event: Polled): void {
  const answer = handlePollOutcome(ctx, pollOf(ctx), event.outcome, event.isWhole);
  if (answer === undefined) return;
  answer.changes.forEach((announced) => addPeer(ctx, announced));
  if (event.isWhole) announceIfLost(ctx, answer.changes, event.askedAt);
  startInstancePoll(ctx);
}

/** Announces this instance again if the platform has lost its announcement. */
function announceIfLost(
  ctx: RoutingContext,
  announced: readonly AnnouncedInstance[],
  askedAt: Millis,
): void {
  const { self, exchange, random } = ctx.state;
  const isListed = announced.some(
    ({ id, incarnation }) => id === self.id && incarnation === self.incarnation,
  );
  if (isListed || exchange.announcedAt === undefined || exchange.announcedAt >= askedAt) return;
  exchange.announcedAt = undefined;
  // Not all instances write at the same moment.
  setTimer(ctx, 'announce', random.next() * ANNOUNCE_AGAIN_WITHIN_MS);
}

function pollOf(ctx: RoutingContext): Poll {
  return {
    reads: 'instances',
    state: ctx.state.exchange,
    timer: 'instancePoll',
    retryBackoff: RETRY_BACKOFF,
    start: startInstancePoll,
  };
}

export function onExchangeTimer(ctx: RoutingContext): void {
  const { exchange } = ctx.state;
  exchange.peers.forEach((peer) => expirePeer(ctx, peer));
  exchange.formerPeers = exchange.formerPeers.filter(
    ({ lastHeardAt }) => ctx.now - lastHeardAt < LIMIT_WINDOW_MS,
  );
  expireDomainSummaries(ctx);
  expireLimits(ctx);
  expireLeaving(ctx);
  expireFormerVersions(ctx);
  invalidateTotals(ctx);
  exchange.sequence += 1;
  exchange.exchangedAt = ctx.now;
  recordToldState(ctx);
  const news = takeNews(ctx);
  const recipientCount = usesRelays(ctx) ? sendToDomain(ctx, news) : sendToAll(ctx, news);
  setTimer(ctx, 'exchange', exchangeInterval(ctx, recipientCount));
}

/**
 * Returns the time to the next exchange; it grows with the number of recipients and the instance's
 * load.
 */
function exchangeInterval(ctx: RoutingContext, recipientCount: number): Millis {
  const { exchangeMs, exchangeInstances } = ctx.state.settings;
  const usualMs = exchangeMs * Math.max(1, recipientCount / exchangeInstances);
  return Math.max(usualMs, Math.min(usualMs * controlIntervalFactor(ctx), MAX_BUSY_INTERVAL_MS));
}

export function onRoutingMessage(
  ctx: RoutingContext,
  from: string,
  incarnation: number,
  message: RoutingMessage,
): void {
  const peer = ctx.state.exchange.peers.get(from);
  if (peer === undefined || incarnation < peer.incarnation) return;
  if (incarnation === peer.incarnation && message.sequence <= peer.sequence) return;
  peer.lastHeardAt = ctx.now;
  peer.sequence = message.sequence;
  invalidateTotals(ctx);
  if (message.domain !== '') {
    onDomainSummary(ctx, peer, message);
    return;
  }
  if (!peer.isAlive) {
    logInfo(ctx, 'peerFound', { peer: from, address: peer.address });
    tellAllStreams(ctx);
  }
  peer.isAlive = true;
  peer.summary = message.isLeaving ? undefined : decodeSummary(message);
  peer.limitUses = applyLimitNews(ctx, message.rateLimits);
  applyLeavingNews(ctx, from, message.leaving);
  applyStreamNews(ctx, message.streams, usesRelays(ctx) && isRelay(ctx));
  applySuspectNews(ctx, message.suspectNews, usesRelays(ctx) && isRelay(ctx));
  const parts = decodeParts(message);
  parts.forEach((read) => ctx.state.prefixes.recordRemote(read, ctx.now));
  noteNewerVersion(ctx, message);
  if (!isSameDomain(ctx, peer)) return;
  applyConfirmation(ctx, message);
  queuePartsToForward(ctx, parts);
  onForwardedSummaries(ctx, message.others);
}

/** Immediately notifies the other instances that this one leaves. */
export function announceLeaving(ctx: RoutingContext): void {
  const { exchange } = ctx.state;
  exchange.sequence += 1;
  const news = takeNews(ctx);
  const message = composeInstanceMessage(ctx, news);
  const peersInDomain = domainPeers(ctx);
  const recipients = usesRelays(ctx) ? peersInDomain : [...exchange.peers.values()];
  recipients.forEach((peer) => sendMessage(ctx, peer, message));
  if (usesRelays(ctx) && hasLowestId(ctx)) sendToRelays(ctx, peersInDomain, news);
}

/** What the next messages contain once or a few times. */
interface News {
  readonly parts: readonly PartRead[];
  readonly suspectNews: RoutingMessage['suspectNews'];
  readonly streams: RoutingMessage['streams'];
}

function takeNews(ctx: RoutingContext): News {
  return {
    parts: ctx.state.prefixes.takePending(),
    suspectNews: takeSuspectNews(ctx),
    streams: takeStreamNews(ctx),
  };
}

/** Sends a message to all other instances and returns their number. */
function sendToAll(ctx: RoutingContext, news: News): number {
  const { peers } = ctx.state.exchange;
  const message = composeInstanceMessage(ctx, news);
  peers.forEach((peer) => {
    if (shouldSend(ctx, peer)) sendMessage(ctx, peer, message);
  });
  return peers.size;
}

/**
 * Sends messages within this failure domain and, if this instance is the relay, to the other
 * domains. Returns the number of recipients.
 */
function sendToDomain(ctx: RoutingContext, news: News): number {
  const peersInDomain = domainPeers(ctx);
  const actsAsRelay = isRelay(ctx);
  const others = actsAsRelay ? takeSummariesToForward(ctx) : [];
  const message = composeInstanceMessage(ctx, news, others);
  peersInDomain.forEach((peer) => {
    if (shouldSend(ctx, peer)) sendMessage(ctx, peer, message);
  });
  if (!actsAsRelay) return peersInDomain.length;
  return peersInDomain.length + sendToRelays(ctx, peersInDomain, news);
}

/** Sends the summary of this domain to the other domains and returns their number. */
function sendToRelays(
  ctx: RoutingContext,
  peersInDomain: readonly PeerInstance[],
  news: News,
): number {
  const relays = selectRelays(ctx);
  const message = composeDomainMessage(ctx, peersInDomain, news);
  relays.forEach((relay) => sendMessage(ctx, relay, message));
  return relays.length;
}

function composeInstanceMessage(
  ctx: RoutingContext,
  { parts, suspectNews, streams }: News,
  others: readonly RoutingMessage[] = [],
): RoutingMessage {
  const confirmation = composeConfirmation(ctx);
  return composeMessage(ctx, {
    summary: localSummary(ctx),
    parts,
    suspectNews,
    streams,
    rateLimits: composeLimitNews(ctx, (upstream) => ownLimitUse(ctx, upstream)),
    others,
    confirmation,
  });
}

/** Composes the summary of this failure domain. */
function composeDomainMessage(
  ctx: RoutingContext,
  peersInDomain: readonly PeerInstance[],
  { parts: ownParts, suspectNews, streams }: News,
): RoutingMessage {
  const { self, exchange } = ctx.state;
  const known = peersInDomain.flatMap(({ summary }) => (summary === undefined ? [] : [summary]));
  const parts = [...ownParts, ...exchange.partsToForward.fromOwnDomain];
  exchange.partsToForward.fromOwnDomain = [];
  return composeMessage(ctx, {
    summary: mergeSummaries([localSummary(ctx), ...known]),
    parts,
    suspectNews,
    streams,
    rateLimits: composeLimitNews(ctx, (upstream) => domainLimitUse(ctx, upstream)),
    domain: self.domain,
  });
}

function sendMessage(
  ctx: RoutingContext,
  { id, address }: PeerInstance,
  value: RoutingMessage,
): void {
  emit(ctx, { kind: 'sendPeer', to: id, address, message: { $case: 'routingNews', value } });
}

function addPeer(ctx: RoutingContext, announced: AnnouncedInstance): void {
  const { self, exchange } = ctx.state;
  if (announced.id === self.id) return;
  const known = exchange.peers.get(announced.id);
  if (known !== undefined && known.incarnation >= announced.incarnation) return;
  invalidateTotals(ctx);
  if (known !== undefined) exchange.formerPeers = [...exchange.formerPeers, known];
  const { id, incarnation, address, domain, region } = announced;
  exchange.peers.set(id, {
    id,
    incarnation,
    address,
    domain,
    region,
    summary: undefined,
    limitUses: new Map(),
    lastHeardAt: ctx.now,
    isAlive: false,
    lastRelayedAt: undefined,
    sequence: -1,
  });
}

function expirePeer(ctx: RoutingContext, peer: PeerInstance): void {
  // Most instances of other domains send nothing to this one if relays are used.
  if (usesRelays(ctx) && !isSameDomain(ctx, peer)) return;
  const silentForMs = ctx.now - peer.lastHeardAt;
  if (peer.isAlive && silentForMs > ctx.state.settings.peerTimeoutMs) {
    peer.isAlive = false;
    peer.summary = undefined;
    logWarning(ctx, 'peerLost', { peer: peer.id, silentForMs });
  }
  if (silentForMs > REMOVE_AFTER_MS) {
    ctx.state.exchange.peers.delete(peer.id);
  }
}

/** Returns whether to send a message now; silent peers receive them less often. */
function shouldSend(ctx: RoutingContext, peer: PeerInstance): boolean {
  if (peer.isAlive) return true;
  const { exchange, settings } = ctx.state;
  const everyNth = Math.max(1, Math.round(SILENT_PEER_INTERVAL_MS / settings.exchangeMs));
  const isNew = ctx.now - peer.lastHeardAt < settings.peerTimeoutMs;
  return exchange.sequence % (isNew ? NEW_PEER_EXCHANGES : everyNth) === 0;
}
