/**
 * Divides the rate limits of upstreams among the instances of the fleet.
 *
 * Load pattern: an upstream in need states that it accepts a few requests per second from all
 * instances together, while some instances have many requests for it and others none. There is no
 * exchange for each request. Each instance tells the others with its messages how many requests it
 * would send without the limit and how many it has sent, and takes the part of the limit that its
 * own wish has in that of the fleet. Messages are late, so that the parts may add up to more than
 * the limit for a moment; the requests that the fleet has sent within the last seconds are counted
 * against the limit as well.
 */
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import type { RoutingContext } from '../context.js';
import { decayFactor } from '../decay.js';
import {
  countInstances,
  domainLimitUses,
  remoteLimitUses,
  type ReportedLimitUse,
} from '../exchange/countedInstances.js';
import { createSlidingCount, type SlidingCount } from '../slidingCount.js';
import type { UpstreamId } from '../types.js';
import type { Upstream } from '../upstreams/upstreamsState.js';
import type { Pace } from './pacer.js';
import { LIMIT_WINDOW_MS, type LimitedUpstream, type LimitUse } from './rateLimitsState.js';

/** Fraction of the limit that is given out; the rest absorbs the unevenness of the instances. */
const USABLE_LIMIT_FRACTION = 0.95;
/** Slices in which the requests of a window are counted. */
const SLICES_PER_WINDOW = 16;
/** Time constant of the rate of wanted requests. */
const WANTED_TIME_CONSTANT_MS: Millis = 2_000;
/** Time for which unused turns are kept, in mean times between two requests of the instance. */
const KEPT_INTERVALS = 2;
const MIN_KEEP_MS: Millis = 500;
const MAX_KEEP_MS: Millis = LIMIT_WINDOW_MS;
/** Requests that may ask for each turn, so that few turns are lost for want of a request. */
const ASKS_PER_TURN = 1.5;
/** Age of a statement from which requests are sent to learn whether it still holds. */
const STALE_STATEMENT_MS: Millis = 5_000;
/** Rate of those requests, if the limit is lower. */
const INQUIRIES_PER_SECOND = 0.2;

/** How the fleet uses a limited upstream, as far as this instance knows. */
interface FleetUse {
  /** Requests per second that this instance wants to send. */
  readonly own: number;
  /** Requests per second that all instances want to send. */
  readonly wanted: number;
  /** Requests that all instances have sent within the window. */
  readonly sent: number;
  readonly instances: number;
  /** Requests per second that all instances may send. */
  readonly limit: number;
}

/** Returns whether the upstream accepts fewer requests than the fleet wants to send. */
export function isAtLimit(ctx: RoutingContext, { hash }: Upstream): boolean {
  const limited = findLimited(ctx, hash);
  if (limited === undefined) return false;
  const { wanted, limit } = fleetUse(ctx, hash, limited);
  return wanted >= limit * USABLE_LIMIT_FRACTION;
}

/** What a request does about the limit of the best upstream for it. */
export type TurnChoice =
  /** The upstream has no limit. */
  | 'unlimited'
  /** The request takes a turn if there is one. */
  | 'ask'
  /** Another upstream should take the request, if one can begin in time. */
  | 'defer';

/**
 * Counts a request that would be sent to an upstream if there were no limit, and decides whether it
 * is worth a turn. The most valuable requests are, as many as there are turns, and others while turns
 * are left unused.
 *
 * @param value What the turn saves, compared with that of other requests.
 */
export function chooseTurn(ctx: RoutingContext, { hash }: Upstream, value: number): TurnChoice {
  const limited = findLimited(ctx, hash);
  if (limited === undefined) return 'unlimited';
  decayWanted(ctx, limited);
  limited.wanted.perSecond += MS_PER_SECOND / WANTED_TIME_CONSTANT_MS;
  const pace = paceOf(fleetUse(ctx, hash, limited));
  // Turns are collected now, as the next request that asks may come late.
  const hasSurplus = limited.pacer.collect(ctx.now, pace);
  const fraction = (ASKS_PER_TURN * pace.perSecond) / limited.wanted.perSecond;
  const isAmongHighest = limited.threshold.isAmongHighest(value, fraction);
  return isAmongHighest || hasSurplus ? 'ask' : 'defer';
}

/** Returns whether a request may be sent to an upstream now. */
export function hasTurn(ctx: RoutingContext, { hash }: Upstream): boolean {
  const limited = findLimited(ctx, hash);
  if (limited === undefined) return true;
  const use = fleetUse(ctx, hash, limited);
  if (!limited.pacer.hasTurn(ctx.now, paceOf(use))) return false;
  if (hasRoom(use)) return true;
  // The turn is lost, or all instances would use theirs as soon as there is room again.
  limited.pacer.take();
  return false;
}

/**
 * Returns whether a request that another upstream has failed may be sent to this one. It may use the
 * instance's next turn in advance.
 */
export function mayRetryAt(ctx: RoutingContext, { hash }: Upstream): boolean {
  const limited = findLimited(ctx, hash);
  if (limited === undefined) return true;
  const use = fleetUse(ctx, hash, limited);
  return limited.pacer.canBorrow(ctx.now, paceOf(use)) && hasRoom(use);
}

/** Counts a request that is sent to an upstream. */
export function recordSentRequest(ctx: RoutingContext, { hash }: Upstream): void {
  const { sent } = ctx.state.rateLimits;
  const count = sent.get(hash) ?? createSentCount();
  sent.set(hash, count);
  count.add(ctx.now);
  findLimited(ctx, hash)?.pacer.take();
}

/** Returns this instance's turns per second at an upstream. */
export function ownRate(ctx: RoutingContext, { hash }: Upstream): number {
  const limited = findLimited(ctx, hash);
  return limited === undefined ? Infinity : paceOf(fleetUse(ctx, hash, limited)).perSecond;
}

/** A rate limit that is in force, for operators. */
export interface ListedLimit {
  readonly upstream: UpstreamId;
  readonly perSecond: number;
  /** Time since the upstream stated the limit. */
  readonly ageMs: Millis;
  /** Requests per second that this instance and the fleet would send without the limit. */
  readonly wanted: number;
  readonly wantedByFleet: number;
  /** Requests per second that this instance may send. */
  readonly turnsPerSecond: number;
  /** Requests sent within the last four seconds. */
  readonly sent: number;
  readonly sentByFleet: number;
}

/** Lists the limits of the upstreams that are listed. */
export function listLimits(ctx: RoutingContext): readonly ListedLimit[] {
  return [...ctx.state.upstreams.byId.values()].flatMap(({ hash, listed }) => {
    const limited = findLimited(ctx, hash);
    if (limited?.limit.perSecond === undefined) return [];
    const use = fleetUse(ctx, hash, limited);
    return [
      {
        upstream: listed.id,
        perSecond: limited.limit.perSecond,
        ageMs: Math.round(ctx.now - limited.limit.statedAt),
        wanted: round(use.own),
        wantedByFleet: round(use.wanted),
        turnsPerSecond: round(paceOf(use).perSecond),
        sent: ownLimitUse(ctx, hash).sent,
        sentByFleet: round(use.sent),
      },
    ];
  });
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Returns how this instance uses a limited upstream. */
export function ownLimitUse(ctx: RoutingContext, hash: number): LimitUse {
  const limited = ctx.state.rateLimits.limited.get(hash);
  if (limited !== undefined) decayWanted(ctx, limited);
  return {
    wantedPerSecond: limited?.wanted.perSecond ?? 0,
    sent: ctx.state.rateLimits.sent.get(hash)?.count(ctx.now) ?? 0,
  };
}

/** Returns how the instances of this failure domain use a limited upstream. */
export function domainLimitUse(ctx: RoutingContext, hash: number): LimitUse {
  return domainLimitUses(ctx, hash).reduce<LimitUse>(
    (sum, use) => ({
      wantedPerSecond: sum.wantedPerSecond + use.wantedPerSecond,
      sent: sum.sent + use.sent,
    }),
    ownLimitUse(ctx, hash),
  );
}

/** Returns the rate at which requests were sent, for an upstream whose limit has just become known. */
export function sentRate(ctx: RoutingContext, hash: number): number {
  return (ownLimitUse(ctx, hash).sent * MS_PER_SECOND) / LIMIT_WINDOW_MS;
}

function findLimited(ctx: RoutingContext, hash: number): LimitedUpstream | undefined {
  const limited = ctx.state.rateLimits.limited.get(hash);
  return limited?.limit.perSecond === undefined ? undefined : limited;
}

function fleetUse(ctx: RoutingContext, hash: number, limited: LimitedUpstream): FleetUse {
  const own = ownLimitUse(ctx, hash);
  const reported = remoteLimitUses(ctx, hash);
  const instances = countInstances(ctx);
  const wanted = wantedByFleet(own, reported, instances);
  const limit = limitNow(ctx, limited);
  const servedFraction = wanted > 0 ? Math.min(1, (limit * USABLE_LIMIT_FRACTION) / wanted) : 1;
  const sent = reported.reduce((sum, use) => sum + projectSent(ctx, use, servedFraction), own.sent);
  return { own: own.wantedPerSecond, wanted, sent, instances, limit };
}

/** Returns the requests per second that all instances want to send. */
function wantedByFleet(
  own: LimitUse,
  reported: readonly ReportedLimitUse[],
  instances: number,
): number {
  let reporting = 1;
  let wanted = own.wantedPerSecond;
  reported.forEach((use) => {
    if (use.instances === 0) return;
    reporting += use.instances;
    wanted += use.wantedPerSecond;
  });
  // Instances that have not told what they want are assumed to want as much as this one.
  return wanted + own.wantedPerSecond * Math.max(0, instances - reporting);
}

/** Returns the requests per second that all instances may send. */
function limitNow({ now }: RoutingContext, { limit }: LimitedUpstream): number {
  const isStale = now - limit.statedAt > STALE_STATEMENT_MS;
  return Math.max(limit.perSecond ?? Infinity, isStale ? INQUIRIES_PER_SECOND : 0);
}

/** Estimates what instances have sent within the window, from what they last told. */
function projectSent(
  { now }: RoutingContext,
  { sent, wantedPerSecond, instances, heardAt }: ReportedLimitUse,
  servedFraction: number,
): number {
  const sinceMs = Math.min(now - heardAt, LIMIT_WINDOW_MS);
  const leftOfReported = sent * (1 - sinceMs / LIMIT_WINDOW_MS);
  // Processes that have been replaced send no more.
  if (instances === 0) return leftOfReported;
  return leftOfReported + (wantedPerSecond * servedFraction * sinceMs) / MS_PER_SECOND;
}

/**
 * Returns the part of the limit that this instance takes: in proportion to its wish if the limit is
 * short, and otherwise its wish and an equal part of what nobody wants.
 */
function paceOf({ own, wanted, instances, limit }: FleetUse): Pace {
  const usable = limit * USABLE_LIMIT_FRACTION;
  const perSecond =
    wanted >= usable ? (usable * own) / wanted : own + (usable - wanted) / instances;
  const keepMs = (KEPT_INTERVALS * MS_PER_SECOND) / own;
  return { perSecond, keepMs: Math.min(MAX_KEEP_MS, Math.max(MIN_KEEP_MS, keepMs)) };
}

/** Returns whether one more request keeps the fleet within the limit over the window. */
function hasRoom({ sent, limit }: FleetUse): boolean {
  return Math.round(sent) + 1 <= Math.max(1, (limit * LIMIT_WINDOW_MS) / MS_PER_SECOND);
}

function decayWanted({ now }: RoutingContext, { wanted }: LimitedUpstream): void {
  wanted.perSecond *= decayFactor(now - wanted.at, WANTED_TIME_CONSTANT_MS);
  wanted.at = now;
}

function createSentCount(): SlidingCount {
  return createSlidingCount({ windowMs: LIMIT_WINDOW_MS, slices: SLICES_PER_WINDOW });
}
