/** Connects the routing core of an instance to its hosts. */
import type { FailureDomainId, InstanceIdentity, PeerMessage, RegionId } from '../core/types.js';
import { Debug } from '../core/debug.js';
import type { SocketAddress } from '../hosts/address.js';
import { createFrontHost, type FrontHost } from '../hosts/routing/frontHost.js';
import { createGapClock } from '../hosts/routing/gapClock.js';
import { createLoadMeter, type LoadMeter, type MeasuredLoad } from '../hosts/routing/loadMeter.js';
import { createMetricsPage, type MetricsPage } from '../hosts/routing/metricsPage.js';
import { createRoutingLog, type RoutingLog } from '../hosts/routing/routingLog.js';
import type { GapClock, RequestProtocol, RoutingPlatform } from '../hosts/routing/types.js';
import { createUpstreamPools, type UpstreamPools } from '../hosts/routing/upstreamPools.js';
import { createMonitoringHost, type MonitoringHost } from '../hosts/routing/monitoringHost.js';
import type { LogThreshold } from '../hosts/logger.js';
import {
  createDatagramPeerHost,
  type DatagramPeerHost,
} from '../hosts/routing/datagramPeerHost.js';
import { createSystem } from '../hosts/system.js';
import type { System } from '../hosts/types.js';
import type { RoutingContext } from '../routing/context.js';
import { countInstances } from '../routing/exchange/countedInstances.js';
import { behindFor, confirmationAge } from '../routing/freshness/freshness.js';
import { ageOfRead } from '../routing/freshness/sharedRead.js';
import { createByteBudget, type ByteBudget } from '../routing/load/byteBudget.js';
import type { LoadReading } from '../routing/load/instanceLoad.js';
import { longestBase } from '../routing/placement/estimateLog.js';
import { createRouting, type Routing } from '../routing/routing.js';
import { listLimits } from '../routing/rateLimits/rateLimits.js';
import { DEFAULT_ROUTING_SETTINGS, type RoutingSettings } from '../routing/settings.js';
import { listBlockedCauses } from '../routing/suspects/suspects.js';
import type { RoutingEffect, RoutingEvent, RoutingTimer } from '../routing/types.js';
import { countUnwilling, listUpstreamStates } from '../routing/upstreams/overview.js';
import { listenWhenFree } from '../hosts/listenRetry.js';
import { createLoop, type Loop } from './loop.js';
import { createIncarnation } from './incarnation.js';

export interface RoutingInstanceOptions {
  readonly id: string;
  readonly domain: FailureDomainId;
  readonly region: RegionId;
  readonly regions: ReadonlyMap<FailureDomainId, RegionId>;
  readonly callers: SocketAddress;
  readonly peers: SocketAddress;
  readonly readiness: SocketAddress;
  readonly readinessPath: string;
  readonly operators: SocketAddress;
  readonly metricsPath: string;
  readonly protocol: RequestProtocol;
  readonly platform: RoutingPlatform;
  readonly settings?: Partial<RoutingSettings>;
  readonly log?: RoutingLog;
  readonly logThreshold?: LogThreshold;
  readonly clock?: GapClock;
  readonly seed?: number;
}

/** Paths at the operators' address: what is refused, the rate limits of upstreams, and their state. */
const REFUSED_PATH = '/refused';
const LIMITS_PATH = '/limits';
const UPSTREAMS_PATH = '/upstreams';

export interface RoutingAddresses {
  readonly callers: string;
  readonly peers: string;
  readonly readiness: string;
  readonly operators: string;
}

export interface RoutingInstance {
  /** Opens all ports and starts the core. Waits for a port that is in use; rejects if it stays so. */
  readonly start: () => Promise<RoutingAddresses>;
  /** Graceful shutdown: resolves once pending requests have ended or the grace period is over. */
  readonly stop: () => Promise<void>;
  /** Shuts down at once and closes all connections, as a crash would. */
  readonly kill: () => Promise<void>;
  /** Applies changed settings. */
  readonly reload: (settings: Partial<RoutingSettings>) => void;
  readonly isReady: () => boolean;
  readonly routing: () => Routing;
  readonly log: RoutingLog;
}

const SEED_RANGE = 2 ** 31;
/** Fraction of the memory that bytes of requests may take; the rest is for the program and for garbage. */
const BUFFERED_MEMORY_FRACTION = 0.2;

interface RoutingHosts {
  readonly front: FrontHost;
  readonly pools: UpstreamPools;
  readonly peers: DatagramPeerHost;
  readonly readiness: MonitoringHost;
  readonly operators: MonitoringHost;
  readonly metrics: MetricsPage;
  readonly meter: LoadMeter;
  readonly log: RoutingLog;
}

/** Creates an instance without starting to listen. */
export function createRoutingInstance(options: RoutingInstanceOptions): RoutingInstance {
  const clock = options.clock ?? createGapClock();
  const system: System = { ...createSystem(), now: clock.now };
  const incarnation = createIncarnation(system);
  let running: { readonly routing: Routing; readonly loop: Loop<RoutingEvent> } | undefined;
  let isReady = false;
  let resolveStopped: () => void = () => {};
  const stopped = new Promise<void>((resolve) => {
    resolveStopped = resolve;
  });
  const post = (event: RoutingEvent) => running?.loop.post(event);
  const routing = () => Debug.assertDefined(running, 'started instance').routing;
  const hosts = createHosts({ options, clock, incarnation, post, isReady: () => isReady, routing });

  async function start(): Promise<RoutingAddresses> {
    const open = async (port: string, { listen }: { readonly listen: () => Promise<string> }) =>
      listenWhenFree(listen, {
        onTaken: (reason) => hosts.log.write('warn', 'portTaken', { port, reason }),
      });
    const peers = await open('peers', hosts.peers);
    const { id, domain, region } = options;
    const self: InstanceIdentity = { id, incarnation, address: peers, domain, region };
    const routingCore = createRouting({
      self,
      regions: options.regions,
      seed: options.seed ?? Math.floor(Math.random() * SEED_RANGE),
      ...(options.settings === undefined ? {} : { settings: options.settings }),
    });
    const loop = createLoop<RoutingEvent, RoutingEffect, RoutingTimer>({
      core: routingCore,
      system,
      runEffect,
      onError: handleFailure,
      beforeTurn: detectClockGap,
    });
    running = { routing: routingCore, loop };
    const readiness = await open('readiness', hosts.readiness);
    const operators = await open('operators', hosts.operators);
    const callers = await open('callers', hosts.front);
    hosts.log.write('info', 'started', {
      id,
      domain,
      region,
      callers,
      peers,
      readiness,
      operators,
    });
    loop.post({ kind: 'start' });
    hosts.meter.start();
    return { callers, peers, readiness, operators };
  }

  function detectClockGap(): readonly RoutingEvent[] {
    const wasTrusted = clock.isBootTrusted();
    const gap = clock.takeGap();
    if (wasTrusted && !clock.isBootTrusted()) {
      hosts.log.write('warn', 'clockDistrusted', { clock: 'sinceBoot' });
    }
    return gap === undefined ? [] : [{ kind: 'clockGap', gapMs: gap.ms, clock: gap.clock }];
  }

  /** Logs a failure, and ends what the core takes for begun or its caller still waits for. */
  function handleFailure(err: unknown, event: RoutingEvent, effect?: RoutingEffect): void {
    const reason = describeFailure(err);
    hosts.log.write('error', 'eventFailed', { failed: event.kind, effect: effect?.kind, reason });
    if (effect?.kind === 'send') {
      const { attempt } = effect.plan;
      post({
        kind: 'attemptEnded',
        attempt,
        outcome: { kind: 'notSent', reason: 'internal error' },
      });
    }
    if (event.kind !== 'requestArrived' || effect !== undefined) return;
    const { request } = event.facts;
    hosts.front.sendLocalResponse({ request, status: 502, reason: 'internalError' });
  }

  function runEffect(effect: Exclude<RoutingEffect, { readonly kind: 'setTimer' }>): void {
    switch (effect.kind) {
      case 'send':
        hosts.front.send(effect.plan);
        return;
      case 'cancel':
        hosts.front.cancel(effect.attempt);
        return;
      case 'withdraw':
        hosts.front.cancelIfReplaceable(effect.attempt, effect.mayResume);
        return;
      case 'readBody':
        hosts.front.readBody(effect.request);
        return;
      case 'answer':
        hosts.front.sendLocalResponse(effect.answer);
        return;
      case 'passError':
        hosts.front.forwardErrorResponse(effect.request);
        return;
      case 'cutAnswer':
        hosts.front.abortResponse(effect.request);
        return;
      case 'limitCallers':
        hosts.front.setLimits(effect.limits);
        return;
      case 'closeCallers':
        hosts.front.drainConnections();
        return;
      case 'moveCallers':
        hosts.front.setCloseAfterResponse(effect.isMoving);
        return;
      case 'setReady':
        isReady = effect.isReady;
        return;
      case 'sendPeer':
        hosts.meter.count('messagesOut');
        hosts.peers.send(effect.address, effect.message);
        return;
      case 'forgetUpstream':
        hosts.pools.removePool(effect.upstream, effect.upstreamStartedAt);
        return;
      case 'probe':
        probe(effect);
        return;
      case 'pollConfiguration':
      case 'pollUpstreams':
      case 'pollInstances':
      case 'readListHistory':
      case 'announce':
        runPlatformCall(effect);
        return;
      case 'log':
        hosts.log.write(effect.level, effect.code, effect.fields);
        return;
      case 'count':
        hosts.metrics.count(effect.decision);
        return;
      case 'observe':
        hosts.metrics.observe(effect.metric, effect.valueMs);
        return;
      case 'stopped':
        resolveStopped();
        return;
      default:
        Debug.assertNever(effect);
    }
  }

  function probe({ upstream, upstreamStartedAt, address }: EffectOf<'probe'>): void {
    void hosts.pools.probe(address).then((isAlive) => {
      post({ kind: 'probed', upstream, upstreamStartedAt, isAlive });
    });
  }

  function runPlatformCall(
    effect: EffectOf<
      'pollConfiguration' | 'pollUpstreams' | 'pollInstances' | 'readListHistory' | 'announce'
    >,
  ): void {
    const { platform } = options;
    const askedAt = clock.now();
    switch (effect.kind) {
      case 'pollConfiguration':
        void platform.pollConfiguration(effect.cursor, effect.waitMs).then((result) => {
          post({ kind: 'configurationPolled', askedAt, ...result });
        });
        return;
      case 'pollUpstreams':
        void platform.pollUpstreams(effect.cursor).then((result) => {
          post({ kind: 'upstreamsPolled', askedAt, from: effect.cursor, ...result });
        });
        return;
      case 'pollInstances':
        void platform.pollInstances(effect.cursor, effect.waitMs).then((result) => {
          post({ kind: 'instancesPolled', askedAt, ...result });
        });
        return;
      case 'readListHistory':
        void platform.readUpstreamHistory(effect.beatMs).then((outcome) => {
          post({ kind: 'listHistoryRead', askedAt, outcome });
        });
        return;
      case 'announce':
        void platform.announce(effect.self).then((reason) => {
          post({ kind: 'announced', ...(reason === undefined ? {} : { reason }) });
        });
        return;
      default:
        Debug.assertNever(effect);
    }
  }

  async function kill(): Promise<void> {
    running?.loop.close();
    hosts.meter.stop();
    options.platform.close();
    hosts.readiness.close();
    hosts.operators.close();
    await Promise.all([hosts.front.kill(), hosts.pools.close(), hosts.peers.close()]);
    await hosts.log.flush();
  }

  return {
    start,
    stop: async () => {
      post({ kind: 'plannedStop' });
      await stopped;
      await hosts.front.flushQueued();
      await kill();
    },
    kill,
    reload: (settings) => post({ kind: 'settingsChanged', settings }),
    isReady: () => isReady,
    routing,
    log: hosts.log,
  };
}

function describeFailure(err: unknown): string {
  return err instanceof Error ? (err.stack ?? err.message) : String(err);
}

type EffectOf<K extends RoutingEffect['kind']> = Extract<RoutingEffect, { readonly kind: K }>;

interface HostContext {
  readonly options: RoutingInstanceOptions;
  readonly clock: GapClock;
  readonly incarnation: number;
  readonly post: (event: RoutingEvent) => void;
  readonly isReady: () => boolean;
  readonly routing: () => Routing;
}

function createHosts(context: HostContext): RoutingHosts {
  const { options, clock, incarnation, post, isReady } = context;
  const log =
    options.log ??
    createRoutingLog({
      instance: options.id,
      now: clock.now,
      timeOfDay: () => Date.now(),
      ...(options.logThreshold === undefined ? {} : { threshold: options.logThreshold }),
    });
  const metrics = createMetricsPage();
  const pools = createUpstreamPools({
    onListenerFailed: (event, err) =>
      log.write('error', 'connectionFailed', { failed: event, reason: describeFailure(err) }),
  });
  const { memoryBytes } = { ...DEFAULT_ROUTING_SETTINGS, ...options.settings };
  const buffers = createByteBudget(memoryBytes * BUFFERED_MEMORY_FRACTION);
  const meter = createLoadMeter({
    now: clock.now,
    onReading: (reading) => post({ kind: 'loadMeasured', reading: toLoadReading(reading) }),
  });
  return {
    log,
    metrics,
    meter,
    pools,
    front: createFrontHost({
      post,
      ...options.callers,
      protocol: options.protocol,
      pools,
      buffers,
      now: clock.now,
      meter,
      onMalformed: (status, reason, requestId) => {
        metrics.count('malformed');
        log.write('warn', 'malformed', { request: requestId, status, reason });
      },
      onResponseFailed: (request, err) => {
        log.write('error', 'responseFailed', { request, reason: describeFailure(err) });
      },
    }),
    peers: createDatagramPeerHost({
      self: { id: options.id, incarnation },
      ...options.peers,
      now: clock.now,
      onMessage: (from, senderIncarnation, message) => {
        meter.count('messagesIn');
        forwardRoutingMessage(from, senderIncarnation, message, post);
      },
      onMalformed: (source, reason) => log.write('warn', 'messageMalformed', { source, reason }),
      onSendFailed: (address, reason) => log.write('warn', 'messageNotSent', { address, reason }),
    }),
    readiness: createMonitoringHost({
      ...options.readiness,
      pages: new Map([
        [
          options.readinessPath,
          () => ({ status: isReady() ? 200 : 503, contentType: 'text/plain', text: '' }),
        ],
      ]),
    }),
    operators: createMonitoringHost({
      ...options.operators,
      pages: new Map([
        [options.metricsPath, async () => renderMetrics(context, { metrics, meter, log, buffers })],
        [REFUSED_PATH, async () => renderRefused(context)],
        [LIMITS_PATH, async () => renderLimits(context)],
        [UPSTREAMS_PATH, async () => renderUpstreams(context)],
      ]),
    }),
  };
}

/** Forwards routing messages; drops all others, which only the slot-granting core handles. */
function forwardRoutingMessage(
  from: string,
  incarnation: number,
  message: PeerMessage,
  post: (event: RoutingEvent) => void,
): void {
  if (message.$case !== 'routingNews') return;
  post({ kind: 'peerMessage', from, incarnation, message: message.value });
}

/** Converts a measurement to the core's format. */
function toLoadReading({ utilization, lagMs, ...counts }: MeasuredLoad): LoadReading {
  return { utilization, lagMs, counts: { ...counts, oldestMs: Math.round(counts.oldestMs) } };
}

/** Lists the requests and prompt parts that are refused, since upstreams crash on them. */
async function renderRefused(context: HostContext) {
  return renderJson(listBlockedCauses(context.routing().state, context.clock.now()));
}

/** Lists the rate limits of upstreams, and how they are used. */
async function renderLimits(context: HostContext) {
  return renderJson(listLimits(createReadContext(context)));
}

/** Lists the upstreams, and whether they may be sent requests. */
async function renderUpstreams(context: HostContext) {
  return renderJson(listUpstreamStates(createReadContext(context)));
}

/** Creates a context to read the state between two events. */
function createReadContext({ routing, clock }: HostContext): RoutingContext {
  return { state: routing().state, now: clock.now(), effects: [] };
}

function renderJson(value: unknown) {
  return { status: 200, contentType: 'application/json', text: `${JSON.stringify(value)}\n` };
}

/** Everything outside of the core that the metrics page tells of. */
interface MetricsSources {
  readonly metrics: MetricsPage;
  readonly meter: LoadMeter;
  readonly log: RoutingLog;
  readonly buffers: ByteBudget;
}

async function renderMetrics(
  context: HostContext,
  { metrics, meter, log, buffers }: MetricsSources,
) {
  const ctx = createReadContext(context);
  const { state } = ctx;
  const upstreams = [...state.upstreams.byId.values()];
  const text = await metrics.render({
    openRequests: state.requests.open.size,
    configurationVersion: state.freshness.configuration?.version ?? -1,
    configurationAgeMs: confirmationAge(ctx) ?? -1,
    configurationBehindMs: behindFor(ctx) ?? 0,
    listAgeMs: ageOfRead(ctx, ctx.state.upstreams) ?? -1,
    upstreams: upstreams.length,
    lostUpstreams: upstreams.filter(({ reachability }) => reachability.kind === 'lost').length,
    instances: countInstances(ctx),
    blockedCauses: state.suspects.blocked.size,
    limitedUpstreams: listLimits(ctx).length,
    unwillingUpstreams: countUnwilling(ctx),
    bufferedBytes: buffers.used(),
    bufferedBytesLimit: buffers.limitBytes,
    longestBaseMs: longestBase(ctx),
    linesOmitted: log.omitted(),
    loopUtilization: meter.lastReading().utilization,
    loopLagMs: meter.lastReading().lagMs,
  });
  return { status: 200, contentType: metrics.contentType, text };
}
