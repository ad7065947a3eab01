/**
 * Exchange between instances: each announces itself once on the platform, finds the others there,
 * and then tells them directly, some times a second, of its open work at upstreams, of what
 * customers ask for and get, of parts of prompts that upstreams read, and of requests that crash
 * upstreams. News are whole states, or told twice, so that a lost or late message does no harm; an
 * instance that is not heard of no longer counts.
 */
import type { Millis } from '../../core/clock.js';
import { hash32 } from '../../core/hash.js';
import type { PeerMessage, PeerMessageOf } from '../../core/types.js';
import {
  emit,
  logInfo,
  logWarning,
  setRetryTimer,
  setTimer,
  type RetryDelay,
  type RoutingContext,
} from '../context.js';
import { settlePoll, type Poll } from '../polls.js';
import { ownRates } from '../shares/tokenShares.js';
import { noteReportedCrashes, ownCrashes } from '../suspects/suspects.js';
import type { AnnouncedInstance, RoutingEvent } from '../types.js';
import type { OpenWork } from '../upstreams/upstreamsState.js';
import type { PeerInstance, PeerNews } from './exchangeState.js';

/** Delay before a failed announcement or read is tried again. */
const RETRY_DELAY: RetryDelay = { firstMs: 500, longestMs: 3_000 };
/** Of so many news, instances that were found lately and are not heard of yet are told one. */
const NEW_PEER_EVERY = 5;
/** Interval at which instances that are not heard of are still told news. */
const SILENT_PEER_INTERVAL_MS: Millis = 2_000;
/** Time after which an instance that was never heard of again is dropped. */
const DROP_AFTER_MS: Millis = 30_000;
/** Time for which instances count that are not heard of, where connections are divided. */
const COUNTED_FOR_MS: Millis = 10_000;

type News = PeerMessageOf<'routingNews'>;
type NewsMessage = Extract<PeerMessage, { readonly $case: 'routingNews' }>;
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
  const { exchange, settings } = ctx.state;
  const { peers } = exchange;
  peers.forEach((peer) => checkPeer(ctx, peer));
  const message = composeNews(ctx);
  peers.forEach((peer) => {
    if (!isTold(ctx, peer)) return;
    emit(ctx, { kind: 'sendPeer', to: peer.id, address: peer.address, message });
  });
  const factor = Math.max(1, peers.size / settings.exchangeInstances);
  setTimer(ctx, 'exchange', settings.exchangeMs * factor);
}

export function onNews(ctx: RoutingContext, from: string, incarnation: number, value: News): void {
  const peer = ctx.state.exchange.peers.get(from);
  if (peer === undefined || incarnation < peer.incarnation) return;
  if (incarnation === peer.incarnation && value.sequence <= peer.sequence) return;
  if (!peer.isHeard) logInfo(ctx, 'peerFound', { peer: from, address: peer.address });
  peer.isHeard = true;
  peer.lastHeardAt = ctx.now;
  peer.sequence = value.sequence;
  peer.news = value.isLeaving ? undefined : readNews(value);
  value.suspects.forEach((fingerprint, i) => {
    noteReportedCrashes(ctx, from, fingerprint, value.crashes[i] ?? 0);
  });
  value.readParts.forEach((part, i) => {
    const upstream = value.readAt[i];
    if (upstream !== undefined) ctx.state.prefixes.noteTold({ part, upstream }, ctx.now);
  });
}

/** Instances that may open connections to upstreams, this one included. */
export function countInstances(ctx: RoutingContext): number {
  let count = 1;
  ctx.state.exchange.peers.forEach((peer) => {
    if (ctx.now - peer.lastHeardAt < COUNTED_FOR_MS) count += 1;
  });
  return count;
}

/** Work of the other instances at an upstream, as they last told. */
export function peersWork(ctx: RoutingContext, upstreamHash: number): OpenWork {
  const sum = { running: 0, pendingTokens: 0, heldTokens: 0 };
  ctx.state.exchange.peers.forEach(({ news }) => {
    const work = news?.work.get(upstreamHash);
    if (work === undefined) return;
    sum.running += work.running;
    sum.pendingTokens += work.pendingTokens;
    sum.heldTokens += work.heldTokens;
  });
  return sum;
}

/** Tells the others at once that this instance leaves. */
export function announceLeaving(ctx: RoutingContext): void {
  const message = composeNews(ctx);
  ctx.state.exchange.peers.forEach((peer) => {
    emit(ctx, { kind: 'sendPeer', to: peer.id, address: peer.address, message });
  });
}

function addPeer(ctx: RoutingContext, announced: AnnouncedInstance): void {
  const { self, exchange } = ctx.state;
  if (announced.id === self.id) return;
  const known = exchange.peers.get(announced.id);
  if (known !== undefined && known.incarnation >= announced.incarnation) return;
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
    sequence: -1,
  });
}

function checkPeer(ctx: RoutingContext, peer: PeerInstance): void {
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

function composeNews(ctx: RoutingContext): NewsMessage {
  const { exchange, upstreams, phase } = ctx.state;
  exchange.sequence += 1;
  const busy = [...upstreams.byId.values()].filter(({ own }) => own.running > 0);
  const rates = [...ownRates(ctx)];
  const crashes = ownCrashes(ctx);
  const reads = ctx.state.prefixes.takeNews();
  return {
    $case: 'routingNews',
    value: {
      sequence: exchange.sequence,
      isLeaving: phase === 'stopping' || phase === 'stopped',
      upstreams: busy.map(({ hash }) => hash),
      running: busy.map(({ own }) => own.running),
      pendingTokens: busy.map(({ own }) => Math.max(0, Math.round(own.pendingTokens))),
      heldTokens: busy.map(({ own }) => Math.max(0, Math.round(own.heldTokens))),
      customers: rates.map(([customer]) => hash32(customer)),
      asked: rates.map(([, { asked }]) => Math.round(asked)),
      admitted: rates.map(([, { admitted }]) => Math.round(admitted)),
      suspects: crashes.map(({ fingerprint }) => fingerprint),
      crashes: crashes.map((entry) => entry.crashes),
      readParts: reads.map(({ part }) => part),
      readAt: reads.map(({ upstream }) => upstream),
    },
  };
}

function readNews(value: News): PeerNews {
  const work = new Map<number, OpenWork>();
  value.upstreams.forEach((hash, i) => {
    work.set(hash, {
      running: value.running[i] ?? 0,
      pendingTokens: value.pendingTokens[i] ?? 0,
      heldTokens: value.heldTokens[i] ?? 0,
    });
  });
  const rates = new Map(
    value.customers.map((hash, i) => [
      hash,
      { asked: value.asked[i] ?? 0, admitted: value.admitted[i] ?? 0 },
    ]),
  );
  return { work, rates };
}
