/**
 * Chooses the upstream of a request.
 *
 * Load pattern: long prompts share their first parts in some hundred groups, many instances place
 * requests at the same time, and reading a shared part again takes as long as reading the rest of
 * the prompt. A request goes to an upstream that keeps its shared part, and elsewhere only where
 * time remains for reading the part again. A part that no upstream keeps goes to its first or second
 * home, on which all instances agree without a message.
 *
 * The time to the first event is expected from the prompt tokens that are to be read before it, here
 * and by the requests of all instances, from the free slots and from the speed that was observed.
 */
import type { Millis } from '../../core/clock.js';
import type { RoutingContext } from '../context.js';
import { countInstances } from '../exchange/exchange.js';
import { peersWork } from '../exchange/fleetSums.js';
import type { PoolId, RegionId, RequestFacts, Route, UpstreamId } from '../types.js';
import { createPoolWait, type PoolWait } from './poolWait.js';
import {
  describePrompt,
  partHash,
  rankOf,
  uncachedParts,
  type HomeRank,
  type Prompt,
} from './prompt.js';
import { createSpeed, type Speed } from '../upstreams/speed.js';
import type { OpenWork, Upstream } from '../upstreams/upstreamsState.js';

/** Time to a first event without any wait, until one has been observed. */
const ASSUMED_BASE_MS: Millis = 30;
/** Time that a prompt token takes, until enough has been observed. */
const ASSUMED_PER_TOKEN_MS = 0.01;
/** Time for which a request occupies its upstream, until one has been observed. */
const ASSUMED_HOLD_MS: Millis = 100;
/** Weight of reading a shared part once more, beyond the time that the request itself loses. */
const SHARED_READ_WEIGHT = 12;
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

/** What is expected of a request at one upstream. */
export interface Placement {
  readonly upstream: Upstream;
  /** Expected time to the first event. */
  readonly firstMs: Millis;
  /** What it would be without any wait. */
  readonly ownMs: Millis;
  /** Part of that in which the upstream reads the request's own prompt. */
  readonly readMs: Millis;
  /**
   * Expected time by which admission goes: reading a shared part again takes capacity from all, so
   * that it has to leave more time to spare.
   */
  readonly reckonedMs: Millis;
  /** Prompt tokens that the upstream has to read for the request. */
  readonly uncachedTokens: number;
  /** Prompt tokens that it has to read before those. */
  readonly tokensAhead: number;
  /** Requests that run there, of all instances. */
  readonly running: number;
  /** Uncached tokens of shared parts that another upstream keeps, or that belong at a home. */
  readonly readAgainTokens: number;
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
  /** How many times as long as reading a shared part again the request has to have to spare. */
  readonly spareReads: number;
}

/** Returns the best upstream for a request, or `undefined` if none can take it. */
export function place(ctx: RoutingContext, request: PlacementRequest): Placement | undefined {
  const { pool, excluded } = request;
  const members = [...ctx.state.upstreams.byId.values()].filter(
    ({ listed, reachability }) =>
      listed.pool === pool && listed.phase === 'ready' && reachability.kind === 'reachable',
  );
  const limit = connectionLimit(ctx, pool);
  const prompt = describePrompt(ctx, request.facts, members);
  let best: Placement | undefined;
  let waitMs = 0;
  let usable = 0;
  members.forEach((upstream) => {
    if (excluded.includes(upstream.listed.id) || upstream.own.running >= limit) return;
    const placement = evaluate(ctx, request, upstream, prompt);
    waitMs += placement.firstMs - placement.ownMs;
    usable += 1;
    if (best === undefined || placement.score < best.score) best = placement;
  });
  if (usable > 0) poolWait(ctx, pool).note(waitMs / usable, ctx.now);
  return best;
}

/** How long requests wait at a pool's upstreams. */
export function poolWait(ctx: RoutingContext, pool: PoolId): PoolWait {
  const { waits } = ctx.state.upstreams;
  const wait = waits.get(pool) ?? createPoolWait();
  waits.set(pool, wait);
  return wait;
}

/** Connections that this instance may have to one upstream of a pool. */
export function connectionLimit(ctx: RoutingContext, pool: PoolId): number {
  const all = ctx.state.freshness.configuration?.pools.get(pool)?.maxConnections ?? Infinity;
  return Math.max(1, Math.floor((all * USABLE_CONNECTIONS) / countInstances(ctx)));
}

/** Remembers, and tells the other instances, that an upstream reads the parts of a prompt now. */
export function notePrefix(ctx: RoutingContext, facts: RequestFacts, { hash }: Upstream): void {
  const last = facts.prefix.length - 1;
  facts.prefix.forEach(({ id }, i) => {
    // The last part belongs to the request itself or to its session, which stays at one instance.
    const isTold = i < last;
    const read = { part: partHash(facts, id), upstream: hash };
    ctx.state.prefixes.noteSent(read, ctx.now, isTold);
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
function workAt(ctx: RoutingContext, upstream: Upstream): OpenWork {
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
  prompt: Prompt,
): Placement {
  const { route, pool } = request;
  const home = rankOf(upstream, prompt.homes);
  const speed = poolSpeed(ctx, pool);
  const slowness = upstream.speed.slowness(ctx.now);
  const perToken = (speed.perTokenMs() ?? ASSUMED_PER_TOKEN_MS) * slowness;
  const work = workAt(ctx, upstream);
  const uncached = uncachedParts(prompt, upstream, home);
  const base = (speed.baseMs() ?? ASSUMED_BASE_MS) * slowness;
  const wait = slotWait(ctx, request, upstream, work) * slowness;
  const readMs = uncached.tokens * perToken;
  const ownMs = base + readMs;
  const firstMs = ownMs + wait + work.pendingTokens * perToken;
  const againMs = uncached.readAgain * perToken;
  const reckonedMs = firstMs + againMs * request.spareReads;
  const score =
    firstMs +
    againMs * SHARED_READ_WEIGHT +
    distance(ctx, upstream) +
    lateness(reckonedMs, request.withinMs, route.objectiveMs) +
    Math.max(0, upstream.failureRate - USUAL_FAILURE_RATE) * FAILURE_WEIGHT * route.objectiveMs;
  return {
    upstream,
    firstMs,
    ownMs,
    readMs,
    reckonedMs,
    uncachedTokens: uncached.tokens,
    tokensAhead: work.pendingTokens,
    running: work.running,
    readAgainTokens: uncached.readAgain,
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

function distance(ctx: RoutingContext, { listed }: Upstream): Millis {
  const { self, regions } = ctx.state;
  if (listed.domain === self.domain) return 0;
  const region: RegionId | undefined = regions.get(listed.domain);
  return region === self.region ? OTHER_DOMAIN_MS : OTHER_REGION_MS;
}
