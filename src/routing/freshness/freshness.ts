/**
 * Treats the freshness of the configuration as a lease. A successful read confirms the
 * configuration as of the time at which the read was *sent*; keyed requests are served only while
 * the last confirmation is recent enough. A revoked key is therefore refused in time even by an
 * instance that cannot reach the platform. A pending read confirms nothing.
 *
 * Within a failure domain, the instance with the lowest id polls continuously; the others use its
 * confirmations (`exchange/confirmations.ts`) and poll only when these get old or a peer has a
 * newer version.
 */
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import {
  emit,
  logInfo,
  logWarning,
  setTimer,
  type RetryBackoff,
  type RoutingContext,
} from '../context.js';
import { handlePollOutcome, type Poll } from '../polls.js';
import { createRouteTable } from '../routes/routeTable.js';
import type { RoutingState } from '../state.js';
import type { ConfigurationChange, RoutingConfiguration, RoutingEvent } from '../types.js';
import {
  ageByClockGap,
  ageOfRead,
  beginRead,
  confirmByPeer,
  confirmRead,
  isConfirmedByReader,
} from './sharedRead.js';

/** Backoff of failed reads. Short, since keyed requests need a confirmation. */
const RETRY_BACKOFF: RetryBackoff = { initialMs: 150, maxMs: 400 };
/** Margin within the revocation time for requests that are on their way to an upstream. */
const REVOCATION_MARGIN_MS: Millis = 600;

/** Interval at which an instance checks whether the confirmations of its peers suffice. */
const PEER_CHECK_INTERVAL_MS: Millis = 200;
/**
 * Maximum age of a peer's confirmation, as a fraction of the time in which a new configuration has
 * to take effect; after it an instance polls by itself. It also bounds the delay until a new
 * version is noticed.
 */
const MAX_PEER_AGE_FRACTION = 0.6;

type Polled = Extract<RoutingEvent, { readonly kind: 'configurationPolled' }>;

export function startConfigurationPoll(ctx: RoutingContext): void {
  const { freshness, settings } = ctx.state;
  beginRead(freshness);
  emit(ctx, {
    kind: 'pollConfiguration',
    cursor: freshness.cursor,
    // A full read is answered immediately. A stopping instance also needs the answer soon.
    waitMs: freshness.cursor === undefined ? 0 : settings.configurationWaitMs,
  });
}

export function onConfigurationPolled(ctx: RoutingContext, event: Polled): void {
  const { freshness } = ctx.state;
  freshness.isPolling = false;
  const changes = handlePollOutcome(ctx, pollOf(ctx), event.outcome);
  if (changes === undefined) {
    updateFreshness(ctx);
    return;
  }
  changes.forEach((change) => applyChange(ctx, change));
  confirmRead(freshness, event.askedAt - freshness.clockGapMs);
  updateFreshness(ctx);
  onConfigurationTimer(ctx);
}

/** Polls the configuration again, unless the confirmations of a peer suffice. */
export function onConfigurationTimer(ctx: RoutingContext): void {
  if (ctx.state.freshness.isPolling) return;
  if (isConfirmedByPeers(ctx)) setTimer(ctx, 'configurationPoll', PEER_CHECK_INTERVAL_MS);
  else startConfigurationPoll(ctx);
}

/** Records a peer's confirmation that the active configuration was the newest at the given time. */
export function onPeerConfirmation(ctx: RoutingContext, at: Millis): void {
  confirmByPeer(ctx, ctx.state.freshness, at);
  updateFreshness(ctx);
}

/** Polls the configuration immediately, because a peer has a newer version. */
export function pollNewerVersion(ctx: RoutingContext, version: number): void {
  const { freshness } = ctx.state;
  if (freshness.isPolling || freshness.failures > 0) return;
  logInfo(ctx, 'newerVersionHeard', { version, inForce: freshness.configuration?.version });
  startConfigurationPoll(ctx);
}

/** Returns whether the confirmations of a peer suffice. */
function isConfirmedByPeers(ctx: RoutingContext): boolean {
  const boundMs = Math.min(ctx.state.settings.applyMs, maxConfirmationAge(ctx));
  return isConfirmedByReader(ctx, ctx.state.freshness, boundMs * MAX_PEER_AGE_FRACTION);
}

function pollOf(ctx: RoutingContext): Poll {
  return {
    reads: 'configuration',
    state: ctx.state.freshness,
    timer: 'configurationPoll',
    retryBackoff: RETRY_BACKOFF,
    start: startConfigurationPoll,
  };
}

/** Ages all confirmations by a clock gap: time that has passed without the clock counting it. */
export function onClockGap(ctx: RoutingContext, gapMs: Millis, clock: string | undefined): void {
  ageByClockGap(ctx.state.freshness, gapMs);
  ageByClockGap(ctx.state.upstreams, gapMs);
  logWarning(ctx, 'clockGap', { gapMs, clock, confirmationAgeMs: confirmationAge(ctx) });
  updateFreshness(ctx);
}

/** Returns the age of the last confirmation, if there is one. */
export function confirmationAge(ctx: RoutingContext): Millis | undefined {
  return ageOfRead(ctx, ctx.state.freshness);
}

/** Returns the age of the confirmation at which keyed requests are no longer served. */
export function maxConfirmationAge(ctx: RoutingContext): Millis {
  return ctx.state.settings.revokeMs - REVOCATION_MARGIN_MS;
}

/** Returns whether keyed requests may be served now. */
export function isConfirmed(ctx: RoutingContext): boolean {
  const age = confirmationAge(ctx);
  return age !== undefined && age < maxConfirmationAge(ctx);
}

/** Updates whether the configuration is fresh and logs a change. */
export function updateFreshness(ctx: RoutingContext): void {
  const { freshness } = ctx.state;
  const isFresh = freshness.configuration !== undefined && isConfirmed(ctx);
  if (isFresh === freshness.isFresh) return;
  freshness.isFresh = isFresh;
  const fields = {
    version: freshness.configuration?.version,
    ageMs: confirmationAge(ctx),
    boundMs: maxConfirmationAge(ctx),
    failures: freshness.failures,
  };
  if (isFresh) logInfo(ctx, 'configurationFresh', fields);
  else logWarning(ctx, 'configurationStale', fields);
}

function applyChange(ctx: RoutingContext, change: ConfigurationChange): void {
  const inForce = ctx.state.freshness.configuration?.version;
  if (change.kind === 'unreadable') {
    const { reason } = change;
    logWarning(ctx, 'configurationIgnored', { reason, inForce });
    return;
  }
  const { configuration } = change;
  // The configuration version never decreases during the lifetime of a process.
  if (inForce !== undefined && configuration.version <= inForce) {
    if (configuration.version === inForce) return;
    const { version } = configuration;
    logWarning(ctx, 'configurationIgnored', { reason: 'older version', version, inForce });
    return;
  }
  activate(ctx, configuration);
}

function activate(ctx: RoutingContext, configuration: RoutingConfiguration): void {
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

/** Returns the retry delay for a caller that was refused for lack of a fresh configuration. */
export function staleRetryAfter(state: RoutingState): Millis {
  return MS_PER_SECOND * (0.5 + state.random.next());
}
