/**
 * Treats the freshness of the configuration as a lease. A successful read confirms the
 * configuration as of the time at which the read was *sent*; keyed requests are served only while
 * the last confirmation is recent enough. A revoked key is therefore refused in time even by an
 * instance that cannot reach the platform. A pending read confirms nothing.
 *
 * An instance that knows of a newer version, and cannot read it for a while, serves nothing: what it
 * would serve, it would serve by an older version than others do.
 *
 * Within a failure domain, the instance with the lowest id polls continuously; the others use its
 * confirmations (`exchange/confirmations.ts`) and poll only when these get old or a peer has a
 * newer version.
 */
import { Debug } from '../../core/debug.js';
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';
import {
  emit,
  logInfo,
  logWarning,
  setTimer,
  type RetryBackoff,
  type RoutingContext,
} from '../context.js';
import { handlePollOutcome, nextCursor, type Poll } from '../polls.js';
import { createRouteTable } from '../routes/routeTable.js';
import type { RoutingState } from '../state.js';
import type { ConfigurationChange, RoutingConfiguration, RoutingEvent } from '../types.js';
import {
  ageByClockGap,
  ageOfRead,
  beginRead,
  confirmByPeer,
  confirmRead,
  giveUp,
  giveUpOverdue,
  isConfirmedByReader,
  isGivenUp,
} from './sharedRead.js';

/** Backoff of failed reads. Short, since keyed requests need a confirmation. */
const RETRY_BACKOFF: RetryBackoff = { initialMs: 150, maxMs: 400 };
/** Margin within the revocation time for requests that are on their way to an upstream. */
const REVOCATION_MARGIN_MS: Millis = 600;

/**
 * Time for which a platform that lacks a version is taken for one that has come back from a copy. Operators
 * write again what was lost long before.
 */
const MAX_DOUBT_MS: Millis = 30_000;

/** Interval at which an instance checks whether the confirmations of its peers suffice. */
const PEER_CHECK_INTERVAL_MS: Millis = 200;
/**
 * Maximum age of a peer's confirmation, as a fraction of the time in which a new configuration has
 * to take effect; after it an instance polls by itself. It also bounds the delay until a new
 * version is noticed.
 */
const MAX_PEER_AGE_FRACTION = 0.6;

/**
 * Time for which a read stays pending after a peer has told of a newer version, before it is begun anew.
 * The platform ends a pending read when there is one.
 */
const MAX_PENDING_MS: Millis = 300;
/**
 * Time for which an instance that knows of a newer version serves by its own, as a fraction of the time in
 * which a new configuration has to take effect. The rest is for the peer that told of it.
 */
const MAX_BEHIND_FRACTION = 0.8;

type Polled = Extract<RoutingEvent, { readonly kind: 'configurationPolled' }>;

export function startConfigurationPoll(ctx: RoutingContext): void {
  const { freshness, settings } = ctx.state;
  beginRead(ctx, freshness);
  const cursor = nextCursor(ctx, freshness);
  // A full read is answered immediately. A stopping instance also needs the answer soon.
  const waitMs = cursor === undefined ? 0 : settings.configurationWaitMs;
  emit(ctx, { kind: 'pollConfiguration', cursor, waitMs });
}

export function onConfigurationPolled(ctx: RoutingContext, event: Polled): void {
  const { freshness } = ctx.state;
  if (isGivenUp(freshness, event.askedAt)) return;
  freshness.isPolling = false;
  const answer = handlePollOutcome(ctx, pollOf(ctx), event.outcome, event.isWhole);
  if (answer === undefined) {
    updateFreshness(ctx);
    return;
  }
  if (answer.isRestored) freshness.restoredAt = ctx.now;
  if (event.isWhole) freshness.storedVersion = undefined;
  answer.changes.forEach((change) => applyChange(ctx, change));
  applyFinding(ctx, event.askedAt);
  updateFreshness(ctx);
  onConfigurationTimer(ctx);
}

/** Polls the configuration again, unless the confirmations of a peer suffice. */
export function onConfigurationTimer(ctx: RoutingContext): void {
  if (ctx.state.freshness.isPolling) return;
  if (isConfirmedByPeers(ctx)) setTimer(ctx, 'configurationPoll', PEER_CHECK_INTERVAL_MS);
  else startConfigurationPoll(ctx);
}

/** Reads the configuration anew if a read of it never ended. */
export function replaceOverdueRead(ctx: RoutingContext): void {
  const { freshness, settings } = ctx.state;
  const isOverdue = giveUpOverdue(ctx, 'configuration', freshness, settings.configurationWaitMs);
  if (isOverdue) startConfigurationPoll(ctx);
}

/** Records a peer's confirmation that the active configuration was the newest at the given time. */
export function onPeerConfirmation(ctx: RoutingContext, at: Millis): void {
  confirmByPeer(ctx, ctx.state.freshness, at);
  updateFreshness(ctx);
}

/** Reads the configuration immediately, because a peer has a newer version. */
export function pollNewerVersion(ctx: RoutingContext, version: number): void {
  const { freshness } = ctx.state;
  if (version > (freshness.heardVersion?.version ?? 0)) {
    freshness.heardVersion = { version, at: ctx.now };
    freshness.behindSince ??= ctx.now;
  }
  const mustWait = freshness.isPolling ? !giveUpUnanswered(ctx) : freshness.failures > 0;
  if (mustWait) return;
  logInfo(ctx, 'newerVersionHeard', { version, inForce: freshness.configuration?.version });
  startConfigurationPoll(ctx);
}

/** Gives up a read that the platform would have answered with the newer version. Returns whether it did. */
function giveUpUnanswered(ctx: RoutingContext): boolean {
  const { freshness } = ctx.state;
  const { behindSince, begunAt } = freshness;
  if (behindSince === undefined || begunAt > behindSince) return false;
  return ctx.now - behindSince >= MAX_PENDING_MS && giveUp(ctx, 'configuration', freshness);
}

/** Returns for how long this instance has known of a newer version; `undefined` if it knows of none. */
export function behindFor({ state, now }: RoutingContext): Millis | undefined {
  const { behindSince } = state.freshness;
  return behindSince === undefined ? undefined : now - behindSince;
}

/** Returns whether a newer version has been in force elsewhere for too long to serve by this one. */
export function isOutdated(ctx: RoutingContext): boolean {
  return (behindFor(ctx) ?? 0) >= ctx.state.settings.applyMs * MAX_BEHIND_FRACTION;
}

/** What a read says of the configuration in force. */
type Finding =
  /** It was the newest when the read was sent. */
  | 'newest'
  /** Nothing, as the platform may lack versions that it has acknowledged. */
  | 'unknown'
  /** A peer has a newer one, which the platform lacks. */
  | 'outdated';

/**
 * Judges the configuration in force by a read. A platform that lacks a version that this instance or a
 * peer has, has come back from an earlier copy of itself, and may lack later ones as well, such as one
 * that took a key away. It counts again when operators have had the time to write again what was lost.
 *
 * @param askedAt Time at which the read was sent.
 */
function judgeRead(ctx: RoutingContext, askedAt: Millis): Finding {
  const { storedVersion, configuration, restoredAt, heardVersion } = ctx.state.freshness;
  if (configuration === undefined || storedVersion === undefined) return 'newest';
  const isWithin = (since: Millis | undefined, ms: Millis) =>
    since !== undefined && askedAt >= since && askedAt - since < ms;
  const newest = heardVersion?.version ?? 0;
  const mayTrustPeer = isWithin(heardVersion?.at, MAX_DOUBT_MS);
  if (mayTrustPeer && newest > Math.max(storedVersion, configuration.version)) return 'outdated';
  if (storedVersion < configuration.version && isWithin(restoredAt, MAX_DOUBT_MS)) return 'unknown';
  return isWithin(restoredAt, ctx.state.settings.relistWithinMs) ? 'unknown' : 'newest';
}

/** Applies what a read says of the configuration in force. */
function applyFinding(ctx: RoutingContext, askedAt: Millis): void {
  const { freshness } = ctx.state;
  const finding = judgeRead(ctx, askedAt);
  switch (finding) {
    case 'newest':
      if (askedAt >= (freshness.behindSince ?? Infinity)) freshness.behindSince = undefined;
      confirmRead(freshness, askedAt - freshness.clockGapMs);
      return;
    case 'unknown':
      return;
    case 'outdated':
      freshness.confirmedAt = undefined;
      return;
    default:
      Debug.assertNever(finding);
  }
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
  const isFresh = freshness.configuration !== undefined && isConfirmed(ctx) && !isOutdated(ctx);
  if (isFresh === freshness.isFresh) return;
  freshness.isFresh = isFresh;
  const fields = {
    version: freshness.configuration?.version,
    ageMs: confirmationAge(ctx),
    boundMs: maxConfirmationAge(ctx),
    failures: freshness.failures,
    behindMs: behindFor(ctx),
    heard: freshness.heardVersion?.version,
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
  ctx.state.freshness.storedVersion = configuration.version;
  // The configuration version never decreases during the lifetime of a process.
  if (inForce !== undefined && configuration.version <= inForce && !isReused(ctx, configuration)) {
    if (configuration.version === inForce) return;
    const { version } = configuration;
    logWarning(ctx, 'configurationIgnored', { reason: 'older version', version, inForce });
    return;
  }
  activate(ctx, configuration);
}

/**
 * Returns whether operators have given the number of the version in force, which the platform had lost,
 * to another configuration.
 */
function isReused(ctx: RoutingContext, configuration: RoutingConfiguration): boolean {
  const { freshness } = ctx.state;
  const known = freshness.configuration;
  return (
    known?.version === configuration.version &&
    freshness.activatedIn !== freshness.era &&
    toText(known) !== toText(configuration)
  );
}

/** Returns a text that is the same for equal configurations. */
function toText({ pools, customersByKey, ...others }: RoutingConfiguration): string {
  return JSON.stringify([[...pools], [...customersByKey], others]);
}

function activate(ctx: RoutingContext, configuration: RoutingConfiguration): void {
  const { freshness } = ctx.state;
  const previous = freshness.configuration?.version;
  const behindMs = behindFor(ctx);
  freshness.configuration = configuration;
  freshness.activatedIn = freshness.era;
  if (configuration.version >= (freshness.heardVersion?.version ?? 0))
    freshness.behindSince = undefined;
  freshness.routeTable = createRouteTable(configuration.routes);
  emit(ctx, { kind: 'limitCallers', limits: configuration.callerLimits });
  logInfo(ctx, 'configurationInForce', {
    version: configuration.version,
    previous,
    routes: configuration.routes.length,
    pools: configuration.pools.size,
    keys: configuration.customersByKey.size,
    readMs: Math.round(ctx.now - freshness.begunAt),
    behindMs: behindMs === undefined ? undefined : Math.round(behindMs),
  });
}

/** Returns the retry delay for a caller that was refused for lack of a fresh configuration. */
export function staleRetryAfter(state: RoutingState): Millis {
  return MS_PER_SECOND * (0.5 + state.random.next());
}
