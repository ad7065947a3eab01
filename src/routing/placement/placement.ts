/**
 * Chooses the upstream of a request.
 *
 * Load pattern: long prompts share their first parts in some hundred groups, many instances place
 * requests at the same time, and reading a shared part again takes as long as reading the rest of
 * the prompt. All instances therefore agree, without a message, on a home upstream for each shared
 * part by rendezvous hashing. A request goes elsewhere once the wait at its home exceeds what
 * reading the shared part again costs, and then to the next one in the same order.
 *
 * The time to the first event is expected from the prompt tokens that are to be read before it, here
 * and by the requests of all instances, from the free slots and from the speed that was observed.
 */
import type { Millis } from '../../core/clock.js';
import { hash32, rendezvousScoreOfHashes } from '../../core/hash.js';
import type { RoutingContext } from '../context.js';
import { countInstances, peersWork } from '../exchange/exchange.js';
import type { PoolId, RegionId, RequestFacts, Route, UpstreamId } from '../types.js';
import { createSpeed, type Speed } from '../upstreams/speed.js';
import type { OpenWork, Upstream } from '../upstreams/upstreamsState.js';

/** Time to a first event without any wait, until one has been observed. */
const ASSUMED_BASE_MS: Millis = 30;
/** Time that a prompt token takes, until enough has been observed. */
const ASSUMED_PER_TOKEN_MS = 0.01;
/** Time for which a request occupies its upstream, until one has been observed. */
const ASSUMED_HOLD_MS: Millis = 100;
/** Time for which a part is believed to be kept after its last use. */
const PREFIX_KEPT_MS: Millis = 60_000;
/** Weight of reading a shared part once more, beyond the time that the request itself loses. */
const SHARED_READ_WEIGHT = 8;
/** Part of that weight at the upstream to which all instances turn next. */
const SECOND_HOME_PART = 0.5;
/** Disadvantage of an upstream where the objective would be missed, as a multiple of it. */
const LATE_OBJECTIVES = 10;
/** Disadvantage of an upstream in another failure domain or region, beside its round trip. */
const OTHER_DOMAIN_MS: Millis = 2;
const OTHER_REGION_MS: Millis = 30;
/** Disadvantage of failing requests, as a multiple of the objective. */
const FAILURE_WEIGHT = 4;
/** Failures that every upstream may have. */
const USUAL_FAILURE_RATE = 0.1;
/** Part of an upstream's memory that running requests may fill. */
const USABLE_MEMORY = 0.85;
/** Part of the connections of an upstream that the instances use together. */
const USABLE_CONNECTIONS = 0.9;

/** Whether all instances turn to an upstream first, or second, for a request's shared part. */
export type HomeRank = 'first' | 'second' | 'none';

/** What is expected of a request at one upstream. */
export interface Placement {
  readonly upstream: Upstream;
  /** Expected time to the first event. */
  readonly firstMs: Millis;
  /** Prompt tokens that the upstream has to read for the request. */
  readonly uncachedTokens: number;
  /** Prompt tokens that it has to read before those. */
  readonly tokensAhead: number;
  /** Requests that run there, of all instances. */
  readonly running: number;
  /** Tokens among the uncached ones of parts that other requests share. */
  readonly sharedTokens: number;
  readonly home: HomeRank;
  /** Lowest is best: expected time and disadvantages. */
  readonly score: number;
}

export interface PlacementRequest {
  readonly facts: RequestFacts;
  readonly route: Route;
  readonly pool: PoolId;
  readonly excluded: readonly UpstreamId[];
  /** Expected time to the first event up to which the request would be admitted. */
  readonly withinMs: Millis;
}

/** Returns the best upstream for a request, or `undefined` if none can take it. */
export function place(ctx: RoutingContext, request: PlacementRequest): Placement | undefined {
  const { pool, excluded } = request;
  const members = [...ctx.state.upstreams.byId.values()].filter(
    ({ listed, reachability }) =>
      listed.pool === pool && listed.phase === 'ready' && reachability.kind === 'reachable',
  );
  const limit = connectionLimit(ctx, pool);
  const homes = homesOf(request.facts, members);
  let best: Placement | undefined;
  members.forEach((upstream) => {
    if (excluded.includes(upstream.listed.id) || upstream.own.running >= limit) return;
    const placement = evaluate(ctx, request, upstream, homes);
    if (best === undefined || placement.score < best.score) best = placement;
  });
  return best;
}

/** Connections that this instance may have to one upstream of a pool. */
export function connectionLimit(ctx: RoutingContext, pool: PoolId): number {
  const all = ctx.state.freshness.configuration?.pools.get(pool)?.maxConnections ?? Infinity;
  return Math.max(1, Math.floor((all * USABLE_CONNECTIONS) / countInstances(ctx)));
}

/** Remembers that an upstream reads the parts of a prompt now. */
export function notePrefix(ctx: RoutingContext, facts: RequestFacts, upstream: UpstreamId): void {
  facts.prefix.forEach(({ id }) => {
    ctx.state.prefixes.note(partKey(facts, id), upstream, ctx.now);
  });
}

/** Speed of a pool's upstreams taken together. */
export function poolSpeed(ctx: RoutingContext, pool: PoolId): Speed {
  const { speeds } = ctx.state.upstreams;
  const speed = speeds.get(pool) ?? createSpeed();
  speeds.set(pool, speed);
  return speed;
}

/** Work of all instances at an upstream. */
export function workAt(ctx: RoutingContext, upstream: Upstream): OpenWork {
  const others = peersWork(ctx, upstream.hash);
  const { own } = upstream;
  return {
    running: own.running + others.running,
    pendingTokens: own.pendingTokens + others.pendingTokens,
    heldTokens: own.heldTokens + others.heldTokens,
  };
}

function evaluate(
  ctx: RoutingContext,
  request: PlacementRequest,
  upstream: Upstream,
  homes: Homes,
): Placement {
  const { facts, route, pool } = request;
  const home = rankOf(upstream, homes);
  const readWeight = SHARED_READ_WEIGHT * (home === 'second' ? SECOND_HOME_PART : 1);
  const speed = poolSpeed(ctx, pool);
  const slowness = upstream.speed.slowness();
  const perToken = (speed.perTokenMs() ?? ASSUMED_PER_TOKEN_MS) * slowness;
  const work = workAt(ctx, upstream);
  const uncached = uncachedParts(ctx, facts, upstream.listed.id, home === 'first');
  const base = (speed.baseMs() ?? ASSUMED_BASE_MS) * slowness;
  const wait = slotWait(ctx, request, upstream, work) * slowness;
  const firstMs = base + wait + (work.pendingTokens + uncached.tokens) * perToken;
  const score =
    firstMs +
    uncached.sharedTokens * perToken * readWeight +
    distance(ctx, upstream) +
    lateness(firstMs, request.withinMs, route.objectiveMs) +
    Math.max(0, upstream.failureRate - USUAL_FAILURE_RATE) * FAILURE_WEIGHT * route.objectiveMs;
  return {
    upstream,
    firstMs,
    uncachedTokens: uncached.tokens,
    tokensAhead: work.pendingTokens,
    running: work.running,
    sharedTokens: uncached.sharedTokens,
    home,
    score,
  };
}

/** Disadvantage of an upstream at which the request would be refused: any other one is better. */
function lateness(firstMs: Millis, withinMs: Millis, objectiveMs: Millis): Millis {
  const excess = firstMs - withinMs;
  return excess > 0 ? LATE_OBJECTIVES * objectiveMs + excess : 0;
}

/** Expected wait for a slot or for memory. */
function slotWait(
  ctx: RoutingContext,
  { facts, pool }: PlacementRequest,
  { listed }: Upstream,
  work: OpenWork,
): Millis {
  const hold = poolSpeed(ctx, pool).holdMs() ?? ASSUMED_HOLD_MS;
  const slots = Math.max(1, listed.slots);
  const excess = work.running + 1 - slots;
  const forSlot = excess > 0 ? (excess * hold) / slots : 0;
  const memory = ctx.state.freshness.configuration?.pools.get(pool)?.memoryTokens;
  if (memory === undefined) return forSlot;
  const needed = work.heldTokens + facts.promptTokens + facts.outputTokens;
  const excessTokens = needed - memory * USABLE_MEMORY;
  const perRequest = work.heldTokens / Math.max(1, work.running);
  const forMemory =
    excessTokens > 0 ? (hold * excessTokens) / Math.max(1, perRequest * work.running) : 0;
  return Math.max(forSlot, forMemory);
}

interface Uncached {
  readonly tokens: number;
  /** Those of parts that other requests share. */
  readonly sharedTokens: number;
}

/** Tokens that an upstream has to read: all from the first part on that it does not keep. */
function uncachedParts(
  ctx: RoutingContext,
  facts: RequestFacts,
  upstream: UpstreamId,
  isHome: boolean,
): Uncached {
  const { prefix, promptTokens } = facts;
  let kept = 0;
  let keptShared = 0;
  let shared = 0;
  let isChained = true;
  prefix.forEach(({ id, tokens }, i) => {
    const isShared = i < prefix.length - 1;
    if (isShared) shared += tokens;
    const lastUse = ctx.state.prefixes.lastUse(partKey(facts, id), upstream);
    const isRecent = lastUse !== undefined && ctx.now - lastUse < PREFIX_KEPT_MS;
    isChained &&= isRecent || (isHome && isShared);
    if (!isChained) return;
    kept += tokens;
    if (isShared) keptShared += tokens;
  });
  return { tokens: Math.max(0, promptTokens - kept), sharedTokens: shared - keptShared };
}

/** Upstreams on which all instances agree for the longest shared part of a prompt. */
interface Homes {
  readonly first: Upstream | undefined;
  /** Where requests go that the first one cannot take in time. */
  readonly second: Upstream | undefined;
}

function rankOf(upstream: Upstream, homes: Homes): HomeRank {
  if (upstream === homes.first) return 'first';
  return upstream === homes.second ? 'second' : 'none';
}

function homesOf(facts: RequestFacts, members: readonly Upstream[]): Homes {
  const part = facts.prefix.at(-2);
  if (part === undefined) return { first: undefined, second: undefined };
  const key = hash32(partKey(facts, part.id));
  let first: Upstream | undefined;
  let second: Upstream | undefined;
  let firstScore = -Infinity;
  let secondScore = -Infinity;
  members.forEach((upstream) => {
    const score = rendezvousScoreOfHashes(key, upstream.hash);
    if (score > firstScore) {
      [second, secondScore] = [first, firstScore];
      [first, firstScore] = [upstream, score];
    } else if (score > secondScore) {
      [second, secondScore] = [upstream, score];
    }
  });
  return { first, second };
}

function partKey(facts: RequestFacts, part: string): string {
  return `${facts.model} ${part}`;
}

function distance(ctx: RoutingContext, { listed }: Upstream): Millis {
  const { self, regions } = ctx.state;
  if (listed.domain === self.domain) return 0;
  const region: RegionId | undefined = regions.get(listed.domain);
  return region === self.region ? OTHER_DOMAIN_MS : OTHER_REGION_MS;
}
