/**
 * Freshness of the configuration as a lease. A read that the platform answered soundly confirms the
 * configuration as of the time at which the read was *sent*; keyed requests are served only while
 * the last confirmation is young enough, so that a key that was taken away is refused in time even
 * by an instance that has lost the platform. A pending read confirms nothing.
 */
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import { emit, logInfo, logWarning, type RetryDelay, type RoutingContext } from '../context.js';
import { settlePoll, type Poll } from '../polls.js';
import { createRouteTable } from '../routes/routeTable.js';
import type { RoutingState } from '../state.js';
import type { ConfigurationChange, RoutingConfiguration, RoutingEvent } from '../types.js';

/** Delay before a read that follows a failed one; keyed requests wait for it. */
const RETRY_DELAY: RetryDelay = { firstMs: 150, longestMs: 400 };
/** Part of the time to a key's refusal that is left for a request on its way to an upstream. */
const REVOKE_MARGIN_MS: Millis = 600;

type Polled = Extract<RoutingEvent, { readonly kind: 'configurationPolled' }>;

export function startConfigurationPoll(ctx: RoutingContext): void {
  const { freshness, settings } = ctx.state;
  emit(ctx, {
    kind: 'pollConfiguration',
    cursor: freshness.cursor,
    // A whole read is answered at once; a stopping instance needs its answer soon, too.
    waitMs: freshness.cursor === undefined ? 0 : settings.configurationWaitMs,
  });
}

export function onConfigurationPolled(ctx: RoutingContext, event: Polled): void {
  const { freshness } = ctx.state;
  const changes = settlePoll(ctx, pollOf(ctx), event.outcome);
  if (changes === undefined) {
    updateFreshness(ctx);
    return;
  }
  changes.forEach((change) => takeChange(ctx, change));
  freshness.confirmedAt = Math.max(freshness.confirmedAt ?? -Infinity, event.askedAt);
  updateFreshness(ctx);
  startConfigurationPoll(ctx);
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
export function onClockGap(ctx: RoutingContext, gapMs: Millis): void {
  const { freshness } = ctx.state;
  if (freshness.confirmedAt !== undefined) freshness.confirmedAt -= gapMs;
  logWarning(ctx, 'clockGap', { gapMs, confirmationAgeMs: confirmationAge(ctx) });
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
