/**
 * The routing core. It forwards callers' requests to the upstreams that the platform lists, along
 * the routes that operators configure there. A single reducer handles all events and returns
 * effects as data.
 */
import { Debug } from '../core/debug.js';
import type { Millis } from '../core/clock.js';
import type { InstanceIdentity } from '../core/types.js';
import { onHeadArrived, onRequestArrived } from './attempts/arrival.js';
import {
  onAttemptAnswered,
  onAttemptEnded,
  onAttemptProgress,
  onCallerGone,
} from './attempts/attempts.js';
import { onHealthTimer } from './attempts/healthCheck.js';
import type { RoutingContext } from './context.js';
import { onPlannedStop, onStopTimer, updateReadiness } from './drain/stop.js';
import { clearSendTimes } from './exchange/confirmations.js';
import {
  onAnnounced,
  onAnnounceTimer,
  onExchangeTimer,
  onInstancesPolled,
  onRoutingMessage,
  startExchange,
  startInstancePoll,
} from './exchange/exchange.js';
import {
  onClockGap,
  onConfigurationPolled,
  onConfigurationTimer,
  startConfigurationPoll,
} from './freshness/freshness.js';
import { noteEvent } from './exchange/members.js';
import { onLoadMeasured } from './load/instanceLoad.js';
import { logEstimates } from './placement/estimateLog.js';
import { DEFAULT_ROUTING_SETTINGS, type RoutingSettings } from './settings.js';
import { createRoutingState, type RoutingState } from './state.js';
import type {
  FailureDomainId,
  RegionId,
  RoutingEffect,
  RoutingEvent,
  RoutingTimer,
} from './types.js';
import { confirmCrash } from './upstreams/crashes.js';
import { markReachable, markLost } from './upstreams/health.js';
import { onListHistoryRead } from './versions/served.js';
import { agePauses } from './upstreams/pauses.js';
import { onUpstreamsPolled, onUpstreamTimer, startUpstreamPoll } from './upstreams/list.js';

export interface RoutingOptions {
  readonly self: InstanceIdentity;
  readonly settings?: Partial<RoutingSettings>;
  /** Region of each failure domain. */
  readonly regions?: ReadonlyMap<FailureDomainId, RegionId>;
  readonly seed: number;
}

export interface Routing {
  readonly state: RoutingState;
  /** Processes one event and returns the effects that the host has to run. */
  readonly reduce: (event: RoutingEvent, now: Millis) => readonly RoutingEffect[];
}

/** Creates a routing core, which is idle until its `start` event. */
export function createRouting(options: RoutingOptions): Routing {
  const state = createRoutingState({
    self: options.self,
    settings: { ...DEFAULT_ROUTING_SETTINGS, ...options.settings },
    regions: options.regions ?? new Map(),
    seed: options.seed,
  });
  return {
    state,
    reduce: (event, now) => {
      const ctx: RoutingContext = { state, now, effects: [] };
      noteEvent(ctx, event);
      reduceEvent(ctx, event);
      updateReadiness(ctx);
      return ctx.effects;
    },
  };
}

function reduceEvent(ctx: RoutingContext, event: RoutingEvent): void {
  switch (event.kind) {
    case 'start':
      startConfigurationPoll(ctx);
      startUpstreamPoll(ctx);
      startExchange(ctx);
      onHealthTimer(ctx);
      return;
    case 'timer':
      reduceTimer(ctx, event.timer);
      return;
    case 'clockGap':
      clearSendTimes(ctx);
      agePauses(ctx, event.gapMs, event.clock);
      onClockGap(ctx, event.gapMs, event.clock);
      return;
    case 'configurationPolled':
      onConfigurationPolled(ctx, event);
      return;
    case 'upstreamsPolled':
      onUpstreamsPolled(ctx, event);
      return;
    case 'listHistoryRead':
      onListHistoryRead(ctx, event);
      return;
    case 'instancesPolled':
      onInstancesPolled(ctx, event);
      return;
    case 'announced':
      onAnnounced(ctx, event.reason);
      return;
    case 'requestArrived':
      onRequestArrived(ctx, event.facts);
      return;
    case 'headArrived':
      onHeadArrived(ctx, event.facts, event.room);
      return;
    case 'callerGone':
      onCallerGone(ctx, event.request);
      return;
    case 'attemptAnswered':
      onAttemptAnswered(ctx, event);
      return;
    case 'attemptProgress':
      onAttemptProgress(ctx, event.attempt);
      return;
    case 'attemptEnded':
      onAttemptEnded(ctx, event.attempt, event.outcome);
      return;
    case 'peerMessage':
      onRoutingMessage(ctx, event.from, event.incarnation, event.message);
      return;
    case 'probed':
      onProbed(ctx, event);
      return;
    case 'loadMeasured':
      onLoadMeasured(ctx, event.reading);
      logEstimates(ctx);
      return;
    case 'settingsChanged':
      ctx.state.settings = { ...DEFAULT_ROUTING_SETTINGS, ...event.settings };
      return;
    case 'plannedStop':
      onPlannedStop(ctx);
      return;
    default:
      Debug.assertNever(event);
  }
}

function reduceTimer(ctx: RoutingContext, timer: RoutingTimer): void {
  switch (timer) {
    case 'configurationPoll':
      onConfigurationTimer(ctx);
      return;
    case 'upstreamPoll':
      onUpstreamTimer(ctx);
      return;
    case 'instancePoll':
      startInstancePoll(ctx);
      return;
    case 'announce':
      onAnnounceTimer(ctx);
      return;
    case 'exchange':
      onExchangeTimer(ctx);
      return;
    case 'health':
      onHealthTimer(ctx);
      return;
    case 'stop':
      onStopTimer(ctx);
      return;
    default:
      Debug.assertNever(timer);
  }
}

function onProbed(
  ctx: RoutingContext,
  event: Extract<RoutingEvent, { readonly kind: 'probed' }>,
): void {
  const upstream = ctx.state.upstreams.byId.get(event.upstream);
  if (upstream?.listed.startedAt !== event.upstreamStartedAt) return;
  if (event.isAlive) {
    markReachable(ctx, upstream);
    return;
  }
  markLost(ctx, upstream, 'probe failed');
  confirmCrash(ctx, upstream);
}
