/**
 * Chooses the upstream of a request.
 *
 * Load pattern: long prompts begin with one of a few hundred shared parts, many instances place
 * requests concurrently, and rereading a shared part takes as long as reading the rest of the
 * prompt. A request goes to an upstream that has its shared part cached, and to another one only if
 * there is time to read the part again. A request whose shared part no upstream has cached goes to
 * the first or second home of the part. All instances compute the same homes (`prompt.ts`), so they
 * need not exchange messages to agree on them.
 *
 * The time to the first event is estimated from the prompt tokens that have to be read before it,
 * counting the requests of all instances, and from the free slots and the observed speed.
 */
import type { Millis } from '../../core/clock.js';
import type { RoutingContext } from '../context.js';
import { countInstances } from '../exchange/countedInstances.js';
import { remoteWork } from '../exchange/fleetSums.js';
import type { PoolId, RegionId, RequestFacts, Route, UpstreamId } from '../types.js';
import { isAtLimit } from '../rateLimits/rateLimits.js';
import { createPoolWait, SATURATED_WAIT_MS, type PoolWait } from './poolWait.js';
import {
  describePrompt,
  hashPart,
  homeRankOf,
  countUncachedTokens,
  type HomeRank,
  type Prompt,
} from './prompt.js';
import { unseenTokens } from './toldState.js';
import { availabilityOf, isUnwilling } from '../upstreams/availability.js';
import { withSettledVersion } from '../versions/settling.js';
import { fitsVersion } from '../versions/streams.js';
import type { VersionNeed } from '../versions/versionsState.js';
import { hasRampRoom } from '../upstreams/pauses.js';
import { createSpeed, type Speed } from '../upstreams/speed.js';
import type { OpenWork, Upstream } from '../upstreams/upstreamsState.js';

/** Time to the first event without any wait, until one has been observed. */
const DEFAULT_BASE_MS: Millis = 30;
/** Time per prompt token, until there are enough observations. */
const DEFAULT_PER_TOKEN_MS = 0.01;
/** Time for which a request occupies its upstream, until one has been observed. */
const DEFAULT_HOLD_MS: Millis = 100;
/** Weight of the time to reread a shared part, in addition to the delay of the request itself. */
const REREAD_PENALTY_FACTOR = 12;
/** Penalty of an upstream at which the request would be refused, as a multiple of the objective. */
const LATE_PENALTY_FACTOR = 10;
/** Penalty of an upstream in another failure domain or region, in addition to its round trip. */
const OTHER_DOMAIN_PENALTY_MS: Millis = 2;
const OTHER_REGION_PENALTY_MS: Millis = 30;
/** Penalty per unit of failure rate above the tolerated rate, as a multiple of the objective. */
const FAILURE_PENALTY_FACTOR = 4;
/** Failure rate up to which no penalty applies. */
const TOLERATED_FAILURE_RATE = 0.1;
/** Fraction of an upstream's memory that running requests may fill. */
const USABLE_MEMORY_FRACTION = 0.85;
/** Fraction of an upstream's connections that all instances together may use. */
const USABLE_CONNECTION_FRACTION = 0.9;

/** Estimates for a request at one upstream. */
export interface Placement {
  readonly upstream: Upstream;
  /** Expected time to the first event. */
  readonly firstEventMs: Millis;
  /** Expected time to the first event without any wait. */
  readonly unloadedMs: Millis;
  /** Part of `unloadedMs` in which the upstream reads the request's own prompt. */
  readonly promptReadMs: Millis;
  /**
   * Expected time that admission compares with the limit. It includes a surcharge for rereading a
   * shared part, which takes capacity from all requests.
   */
  readonly admissionMs: Millis;
  /** Prompt tokens that the upstream has to read for this request. */
  readonly uncachedTokens: number;
  /** Prompt tokens that it has to read for other requests first, those that nobody has told of included. */
  readonly tokensAhead: number;
  /** Part of `tokensAhead` that nobody has told of, and the time that the upstream takes to read it. */
  readonly unseenTokens: number;
  readonly unseenMs: Millis;
  /** Requests of all instances that run at the upstream. */
  readonly running: number;
  /**
   * Uncached tokens of shared parts that another upstream has cached, or that a home upstream
   * should read.
   */
  readonly rereadTokens: number;
  /** Whether the upstream is a home of the request's shared part. */
  readonly home: HomeRank;
  /** Expected time plus penalties; the lowest score wins. */
  readonly score: number;
}

export interface PlacementRequest {
  readonly facts: RequestFacts;
  readonly route: Route;
  readonly pool: PoolId;
  readonly excluded: readonly UpstreamId[];
  /** Software version that the upstream must have. */
  readonly versionNeed: VersionNeed;
  /** Maximum expected time to the first event with which the request would be admitted. */
  readonly withinMs: Millis;
  /** Surcharge for rereading a shared part, as a multiple of the time that the read takes. */
  readonly rereadFactor: number;
}

/** Upstreams that were not used for a request although they respond. */
export interface LeftOut {
  /** Better ones, which already get as many requests as they accept. */
  readonly passedOver: readonly Upstream[];
  /** Those that have said that they want no requests. */
  readonly unwilling: readonly Upstream[];
}

/** The upstreams that can take a request, best first. */
export interface Ranking {
  /** Takes the best upstream that was not taken yet. */
  readonly next: () => Placement | undefined;
  /** Upstreams that could take the request, but have said that they want none. */
  readonly unwilling: readonly Upstream[];
}

/** Ranks the upstreams that can take a request. */
export function rank(ctx: RoutingContext, request: PlacementRequest): Ranking {
  const { pool, excluded } = request;
  const all = [...ctx.state.upstreams.byId.values()].filter(({ listed }) => listed.pool === pool);
  const open = all.filter((upstream) => availabilityOf(ctx, upstream) === 'open');
  const fitting = open.filter((upstream) => fitsVersion(upstream, request.versionNeed));
  const members =
    request.route.mode === 'resumableStream'
      ? withSettledVersion(ctx, fitting, request.versionNeed)
      : fitting;
  const unwilling = all.filter((upstream) => isUnwilling(availabilityOf(ctx, upstream)));
  const limit = connectionLimit(ctx, pool);
  const prompt = describePrompt(ctx, request.facts, members);
  const unseen = unseenTokens(ctx, pool, members);
  const placements = members
    .filter(({ listed, own }) => !excluded.includes(listed.id) && own.running < limit)
    .filter((upstream) => hasRampRoom(ctx, upstream))
    .map((upstream) => scoreUpstream(ctx, request, upstream, prompt, unseen));
  if (open.length === 0 && unwilling.length > 0)
    poolWait(ctx, pool).record(SATURATED_WAIT_MS, ctx.now);
  else recordPoolWait(ctx, pool, placements);
  return createRanking(placements, unwilling);
}

function createRanking(placements: readonly Placement[], unwilling: readonly Upstream[]): Ranking {
  const left = new Set(placements);
  return {
    unwilling,
    next: () => {
      let best: Placement | undefined;
      left.forEach((placement) => {
        if (best === undefined || placement.score < best.score) best = placement;
      });
      if (best !== undefined) left.delete(best);
      return best;
    },
  };
}

/** Records the mean wait at the upstreams. One that gets as many requests as it accepts is busy. */
function recordPoolWait(ctx: RoutingContext, pool: PoolId, placements: readonly Placement[]): void {
  if (placements.length === 0) return;
  const waitMs = placements.reduce((sum, { upstream, firstEventMs, unloadedMs, unseenMs }) => {
    // What is only expected of other instances is no sign that upstreams are busy.
    const queuedMs = firstEventMs - unloadedMs - unseenMs;
    return sum + (isAtLimit(ctx, upstream) ? Math.max(queuedMs, SATURATED_WAIT_MS) : queuedMs);
  }, 0);
  poolWait(ctx, pool).record(waitMs / placements.length, ctx.now);
}

/** Returns the ids of upstreams, for log lines. */
export function listIds(upstreams: readonly Upstream[]): string {
  return upstreams.map(({ listed }) => listed.id).join(',');
}

/** Returns the moving average of the wait at a pool's upstreams. */
export function poolWait(ctx: RoutingContext, pool: PoolId): PoolWait {
  const { poolWaits } = ctx.state.upstreams;
  const wait = poolWaits.get(pool) ?? createPoolWait();
  poolWaits.set(pool, wait);
  return wait;
}

/** Returns how many connections this instance may open to one upstream of a pool. */
export function connectionLimit(ctx: RoutingContext, pool: PoolId): number {
  const all = ctx.state.freshness.configuration?.pools.get(pool)?.maxConnections ?? Infinity;
  return Math.max(1, Math.floor((all * USABLE_CONNECTION_FRACTION) / countInstances(ctx)));
}

/**
 * Records that an upstream reads the parts of a prompt, and announces it to the other instances.
 */
export function recordPrefix(ctx: RoutingContext, facts: RequestFacts, { hash }: Upstream): void {
  const last = facts.prefix.length - 1;
  facts.prefix.forEach(({ id }, i) => {
    // The last part is unique to the request or its session, which stays at one instance.
    const shouldAnnounce = i < last;
    const read = { part: hashPart(facts, id), upstream: hash };
    ctx.state.prefixes.recordSent(read, ctx.now, shouldAnnounce);
  });
}

/** Returns the combined speed estimate of a pool's upstreams. */
export function poolSpeed(ctx: RoutingContext, pool: PoolId): Speed {
  const { poolSpeeds } = ctx.state.upstreams;
  const speed = poolSpeeds.get(pool) ?? createSpeed();
  poolSpeeds.set(pool, speed);
  return speed;
}

/** Returns the open work of all instances at an upstream. */
function totalWork(ctx: RoutingContext, upstream: Upstream): OpenWork {
  const remote = remoteWork(ctx, upstream.hash);
  const { own } = upstream;
  return {
    running: own.running + remote.running,
    pendingTokens: own.pendingTokens + remote.pendingTokens,
    heldTokens: own.heldTokens + remote.heldTokens,
  };
}

function scoreUpstream(
  ctx: RoutingContext,
  request: PlacementRequest,
  upstream: Upstream,
  prompt: Prompt,
  unseen: number,
): Placement {
  const { route, pool } = request;
  const home = homeRankOf(upstream, prompt.homes);
  const speed = poolSpeed(ctx, pool);
  const slowness = upstream.speed.slowness(ctx.now);
  const perToken = (speed.perTokenMs() ?? DEFAULT_PER_TOKEN_MS) * slowness;
  const work = totalWork(ctx, upstream);
  const uncached = countUncachedTokens(prompt, upstream, home);
  const base = (speed.baseMs() ?? DEFAULT_BASE_MS) * slowness;
  const wait = expectedWait(ctx, request, upstream, work) * slowness;
  const promptReadMs = uncached.total * perToken;
  const unloadedMs = base + promptReadMs;
  const tokensAhead = work.pendingTokens + unseen;
  const firstEventMs = unloadedMs + wait + tokensAhead * perToken;
  const rereadMs = uncached.reread * perToken;
  const admissionMs = firstEventMs + rereadMs * request.rereadFactor;
  const score =
    firstEventMs +
    rereadMs * REREAD_PENALTY_FACTOR +
    distancePenalty(ctx, upstream) +
    latePenalty(admissionMs, request.withinMs, route.objectiveMs) +
    Math.max(0, upstream.failureRate - TOLERATED_FAILURE_RATE) *
      FAILURE_PENALTY_FACTOR *
      route.objectiveMs;
  return {
    upstream,
    firstEventMs,
    unloadedMs,
    promptReadMs,
    admissionMs,
    uncachedTokens: uncached.total,
    tokensAhead,
    unseenTokens: unseen,
    unseenMs: unseen * perToken,
    running: work.running,
    rereadTokens: uncached.reread,
    home,
    score,
  };
}

/**
 * Returns a penalty if the request would be refused; it ranks such an upstream below all others.
 */
function latePenalty(admissionMs: Millis, withinMs: Millis, objectiveMs: Millis): Millis {
  const excess = admissionMs - withinMs;
  return excess > 0 ? LATE_PENALTY_FACTOR * objectiveMs + excess : 0;
}

/** Estimates the wait for a free slot or for memory, whichever is longer. */
function expectedWait(
  ctx: RoutingContext,
  { facts, pool }: PlacementRequest,
  { listed }: Upstream,
  work: OpenWork,
): Millis {
  const hold = poolSpeed(ctx, pool).holdMs() ?? DEFAULT_HOLD_MS;
  const slots = Math.max(1, listed.slots);
  const excess = work.running + 1 - slots;
  const forSlot = excess > 0 ? (excess * hold) / slots : 0;
  const memory = ctx.state.freshness.configuration?.pools.get(pool)?.memoryTokens;
  if (memory === undefined) return forSlot;
  const needed = work.heldTokens + facts.promptTokens + facts.outputTokens;
  const excessTokens = needed - memory * USABLE_MEMORY_FRACTION;
  const perRequest = work.heldTokens / Math.max(1, work.running);
  const forMemory =
    excessTokens > 0 ? (hold * excessTokens) / Math.max(1, perRequest * work.running) : 0;
  return Math.max(forSlot, forMemory);
}

function distancePenalty(ctx: RoutingContext, { listed }: Upstream): Millis {
  const { self, regions } = ctx.state;
  if (listed.domain === self.domain) return 0;
  const region: RegionId | undefined = regions.get(listed.domain);
  return region === self.region ? OTHER_DOMAIN_PENALTY_MS : OTHER_REGION_PENALTY_MS;
}
