/**
 * Sums over what the other instances told: their open work at upstreams and the rates of customers.
 * They are worked out anew after a change only, since each placement asks for them.
 */
import type { RoutingContext } from '../context.js';
import type { TokenRates } from '../shares/sharesState.js';
import type { OpenWork } from '../upstreams/upstreamsState.js';
import type { PeerNews } from './exchangeState.js';
import { isRelayed, nearPeers } from './members.js';

const NO_WORK: OpenWork = { running: 0, pendingTokens: 0, heldTokens: 0 };

/** Work of the other instances at an upstream, as they last told. */
export function peersWork(ctx: RoutingContext, upstreamHash: number): OpenWork {
  return othersSums(ctx).work.get(upstreamHash) ?? NO_WORK;
}

/** Rates of customers at the other instances, by the hash of the customer's name. */
export function peersRates(ctx: RoutingContext): ReadonlyMap<number, TokenRates> {
  return othersSums(ctx).rates;
}

/** Has the sums worked out anew when they are next asked for. */
export function dropSums(ctx: RoutingContext): void {
  ctx.state.exchange.sums = undefined;
}

/** Sums of several news. */
export function sumNews(parts: readonly PeerNews[]): PeerNews {
  const work = new Map<number, OpenWork>();
  const rates = new Map<number, TokenRates>();
  let instances = 0;
  parts.forEach((part) => {
    part.work.forEach((one, upstream) => work.set(upstream, addWork(work.get(upstream), one)));
    part.rates.forEach((one, customer) => rates.set(customer, addRates(rates.get(customer), one)));
    instances += part.instances;
  });
  return { work, rates, instances };
}

function othersSums(ctx: RoutingContext): PeerNews {
  const { exchange } = ctx.state;
  exchange.sums ??= sumNews(newsThatCount(ctx));
  return exchange.sums;
}

/** News of the other instances: of each, or of those near and the sums of the other domains. */
function newsThatCount(ctx: RoutingContext): readonly PeerNews[] {
  const { peers, domains } = ctx.state.exchange;
  const all = isRelayed(ctx) ? [...nearPeers(ctx), ...domains.values()] : [...peers.values()];
  return all.flatMap(({ news }) => (news === undefined ? [] : [news]));
}

function addWork(sum: OpenWork | undefined, one: OpenWork): OpenWork {
  if (sum === undefined) return one;
  return {
    running: sum.running + one.running,
    pendingTokens: sum.pendingTokens + one.pendingTokens,
    heldTokens: sum.heldTokens + one.heldTokens,
  };
}

function addRates(sum: TokenRates | undefined, one: TokenRates): TokenRates {
  if (sum === undefined) return one;
  return { asked: sum.asked + one.asked, admitted: sum.admitted + one.admitted };
}
