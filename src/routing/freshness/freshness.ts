/**
 * Freshness of the configuration as a lease. A read that the platform answered soundly confirms the
 * configuration as of the time at which the read was *sent*; keyed requests are served only while
 * the last confirmation is young enough, so that a key that was taken away is refused in time even
 * by an instance that has lost the platform. A pending read confirms nothing.
 *
 * Within a failure domain the instance with the lowest id reads all the time; the others take its
 * confirmations (`exchange/confirmations.ts`) and read by themselves as these get old, or as a
 * neighbour has a newer version.
 */
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import {
  emit,
  logInfo,
  logWarning,
  setTimer,
  type RetryDelay,
  type RoutingContext,
} from '../context.js';
import { isFirst } from '../exchange/members.js';
import { settlePoll, type Poll } from '../polls.js';
import { createRouteTable } from '../routes/routeTable.js';
import type { RoutingState } from '../state.js';
import type { ConfigurationChange, RoutingConfiguration, RoutingEvent } from '../types.js';

/** Delay before a read that follows a failed one; keyed requests wait for it. */
const RETRY_DELAY: RetryDelay = { firstMs: 150, longestMs: 400 };
/** Part of the time to a key's refusal that is left for a request on its way to an upstream. */
const REVOKE_MARGIN_MS: Millis = 600;

/** Interval at which an instance looks whether its neighbours' reads are enough. */
const FOLLOW_CHECK_MS: Millis = 200;
/**
 * Part of the time to a configuration's being in force up to which a neighbour's confirmation may
 * age before an instance reads by itself; a new version is heard of by then at the latest.
 */
const FOLLOWED_PART = 0.6;
/** Silence of the neighbours after which an instance reads by itself. */
const FOLLOWED_SILENCE_MS: Millis = 1_000;

type Polled = Extract<RoutingEvent, { readonly kind: 'configurationPolled' }>;

export function startConfigurationPoll(ctx: RoutingContext): void {
  const { freshness, settings } = ctx.state;
  freshness.isReading = true;
  freshness.uncountedMs = 0;
  emit(ctx, {
    kind: 'pollConfiguration',
    cursor: freshness.cursor,
    // A whole read is answered at once; a stopping instance needs its answer soon, too.
    waitMs: freshness.cursor === undefined ? 0 : settings.configurationWaitMs,
  });
}

export function onConfigurationPolled(ctx: RoutingContext, event: Polled): void {
  const { freshness } = ctx.state;
  freshness.isReading = false;
  const changes = settlePoll(ctx, pollOf(ctx), event.outcome);
  if (changes === undefined) {
    updateFreshness(ctx);
    return;
  }
  changes.forEach((change) => takeChange(ctx, change));
  confirmAsOf(ctx, event.askedAt - freshness.uncountedMs);
  onConfigurationTimer(ctx);
}

/** Reads the configuration again, unless a neighbour's reads confirm it. */
export function onConfigurationTimer(ctx: RoutingContext): void {
  if (ctx.state.freshness.isReading) return;
  if (isFollowing(ctx)) setTimer(ctx, 'configurationPoll', FOLLOW_CHECK_MS);
  else startConfigurationPoll(ctx);
}

/** Notes that the configuration in force was the newest at a time. */
function confirmAsOf(ctx: RoutingContext, at: Millis): void {
  const { freshness } = ctx.state;
  freshness.confirmedAt = Math.max(freshness.confirmedAt ?? -Infinity, at);
  updateFreshness(ctx);
}

/** Notes that a neighbour told that the configuration in force was the newest at a time. */
export function followConfirmation(ctx: RoutingContext, at: Millis): void {
  ctx.state.freshness.followedAt = ctx.now;
  confirmAsOf(ctx, at);
}

/** Reads the configuration at once, as a neighbour has a newer version. */
export function readNewerVersion(ctx: RoutingContext, version: number): void {
  const { freshness } = ctx.state;
  if (freshness.isReading || freshness.failures > 0) return;
  logInfo(ctx, 'newerVersionHeard', { version, inForce: freshness.configuration?.version });
  startConfigurationPoll(ctx);
}

/** Whether another instance of the domain reads in place of this one, and tells of it in time. */
function isFollowing(ctx: RoutingContext): boolean {
  const { failures, followedAt } = ctx.state.freshness;
  if (failures > 0 || isFirst(ctx) || ctx.now - followedAt > FOLLOWED_SILENCE_MS) return false;
  const bound = Math.min(ctx.state.settings.applyMs, confirmationBound(ctx));
  return (confirmationAge(ctx) ?? Infinity) < bound * FOLLOWED_PART;
}

function pollOf(ctx: RoutingContext): Poll {
  return {
    reads: 'configuration',
    state: ctx.state.freshness,
    timer: 'configurationPoll',
    retryDelay: RETRY_DELAY,
    start: startConfigurationPoll,
  };
}

/** Drops the confirmation if time may have passed that the clock did not count. */
export function onClockGap(ctx: RoutingContext, gapMs: Millis, clock: string | undefined): void {
  const { freshness } = ctx.state;
  if (freshness.confirmedAt !== undefined) freshness.confirmedAt -= gapMs;
  freshness.uncountedMs += gapMs;
  logWarning(ctx, 'clockGap', { gapMs, clock, confirmationAgeMs: confirmationAge(ctx) });
  updateFreshness(ctx);
}

/** Age of the last confirmation, if there is one. */
export function confirmationAge(ctx: RoutingContext): Millis | undefined {
  const { confirmedAt } = ctx.state.freshness;
  return confirmedAt === undefined ? undefined : Math.max(0, ctx.now - confirmedAt);
}

/** Age of the confirmation from which keyed requests are no longer served. */
export function confirmationBound(ctx: RoutingContext): Millis {
  return ctx.state.settings.revokeMs - REVOKE_MARGIN_MS;
}

/** Whether keyed requests may be served at this moment. */
export function isConfirmed(ctx: RoutingContext): boolean {
  const age = confirmationAge(ctx);
  return age !== undefined && age < confirmationBound(ctx);
}

/** Notes and logs whether the configuration is confirmed. */
export function updateFreshness(ctx: RoutingContext): void {
  const { freshness } = ctx.state;
  const isFresh = freshness.configuration !== undefined && isConfirmed(ctx);
  if (isFresh === freshness.isFresh) return;
  freshness.isFresh = isFresh;
  const fields = {
    version: freshness.configuration?.version,
    ageMs: confirmationAge(ctx),
    boundMs: confirmationBound(ctx),
    failures: freshness.failures,
  };
  if (isFresh) logInfo(ctx, 'configurationFresh', fields);
  else logWarning(ctx, 'configurationStale', fields);
}

function takeChange(ctx: RoutingContext, change: ConfigurationChange): void {
  const inForce = ctx.state.freshness.configuration?.version;
  if (change.kind === 'unreadable') {
    const { reason } = change;
    logWarning(ctx, 'configurationIgnored', { reason, inForce });
    return;
  }
  const { configuration } = change;
  // The configuration never goes back within the life of a process.
  if (inForce !== undefined && configuration.version <= inForce) {
    if (configuration.version === inForce) return;
    const { version } = configuration;
    logWarning(ctx, 'configurationIgnored', { reason: 'older version', version, inForce });
    return;
  }
  putInForce(ctx, configuration);
}

function putInForce(ctx: RoutingContext, configuration: RoutingConfiguration): void {
  const { freshness } = ctx.state;
  const previous = freshness.configuration?.version;
  freshness.configuration = configuration;
  freshness.routeTable = createRouteTable(configuration.routes);
  emit(ctx, { kind: 'limitCallers', limits: configuration.callerLimits });
  logInfo(ctx, 'configurationInForce', {
    version: configuration.version,
    previous,
    routes: configuration.routes.length,
    pools: configuration.pools.size,
    keys: configuration.customersByKey.size,
  });
}

/** Time after which a caller that was refused for lack of a fresh configuration may return. */
export function staleRetryAfter(state: RoutingState): Millis {
  return MS_PER_SECOND * (0.5 + state.random.next());
}
