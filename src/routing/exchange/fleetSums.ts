/**
 * Totals over the state reported by the other instances: open work at upstreams and customer rates.
 * Each placement needs them, so they are cached until something changes.
 */
import type { RoutingContext } from '../context.js';
import type { TokenRates } from '../shares/sharesState.js';
import type { OpenWork } from '../upstreams/upstreamsState.js';
import type { LoadSummary } from './exchangeState.js';
import { usesRelays, domainPeers } from './members.js';

const NO_WORK: OpenWork = { running: 0, pendingTokens: 0, heldTokens: 0 };

/** Returns the open work of the other instances at an upstream, as last reported. */
export function remoteWork(ctx: RoutingContext, upstreamHash: number): OpenWork {
  return computeRemoteTotals(ctx).work.get(upstreamHash) ?? NO_WORK;
}

/** Returns the customer rates at the other instances, keyed by the hash of the customer's name. */
export function remoteRates(ctx: RoutingContext): ReadonlyMap<number, TokenRates> {
  return computeRemoteTotals(ctx).rates;
}

/** Discards the cached totals; they are recomputed on next use. */
export function invalidateTotals(ctx: RoutingContext): void {
  ctx.state.exchange.remoteTotals = undefined;
  ctx.state.exchange.remoteLimitUses.clear();
}

/** Merges several summaries into one. */
export function mergeSummaries(summaries: readonly LoadSummary[]): LoadSummary {
  const work = new Map<number, OpenWork>();
  const rates = new Map<number, TokenRates>();
  let instances = 0;
  summaries.forEach((summary) => {
    summary.work.forEach((one, upstream) => work.set(upstream, addWork(work.get(upstream), one)));
    summary.rates.forEach((one, customer) =>
      rates.set(customer, addRates(rates.get(customer), one)),
    );
    instances += summary.instances;
  });
  return { work, rates, instances };
}

function computeRemoteTotals(ctx: RoutingContext): LoadSummary {
  const { exchange } = ctx.state;
  exchange.remoteTotals ??= mergeSummaries(currentSummaries(ctx));
  return exchange.remoteTotals;
}

/**
 * Returns the summaries to add up: those of all other instances or, if relays are used, those of
 * the other instances of this domain and of the other domains.
 */
function currentSummaries(ctx: RoutingContext): readonly LoadSummary[] {
  const { peers, domains } = ctx.state.exchange;
  const all = usesRelays(ctx) ? [...domainPeers(ctx), ...domains.values()] : [...peers.values()];
  return all.flatMap(({ summary }) => (summary === undefined ? [] : [summary]));
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
