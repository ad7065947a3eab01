/** Connects the core of an instance to its hosts. */
import { createCore, type Core } from '../core/core.js';
import type { CoreSettings } from '../core/settings.js';
import type {
  ConfigurationView,
  CoreEvent,
  Effect,
  FailureDomainId,
  InstanceId,
  InstanceIdentity,
  RegionId,
  TimerName,
} from '../core/types.js';
import type { SocketAddress } from '../hosts/address.js';
import { createCallerHost } from '../hosts/callerHost.js';
import type { CertificateSource } from '../hosts/certificates.js';
import type { HttpLimits } from '../hosts/httpServer.js';
import { createLogger, type LogFormat, type LogThreshold } from '../hosts/logger.js';
import { createMetrics } from '../hosts/metrics.js';
import { createOperatorHost } from '../hosts/operatorHost.js';
import { createPeerHost, type LinkClass } from '../hosts/peerHost.js';
import { createPlatformHost } from '../hosts/platformHost.js';
import { createSystem } from '../hosts/system.js';
import type { ControlBytes, System } from '../hosts/types.js';
import { createUpstreamHost } from '../hosts/upstreamHost.js';
import { createIncarnation } from './incarnation.js';
import { toStatusJson } from './statusJson.js';
import { createEffectRunner, type Hosts } from './effects.js';
import { createLoop, type Loop } from './loop.js';

/** Options of an instance. A server without an address listens on an ephemeral loopback port. */
export interface InstanceOptions {
  readonly id: InstanceId;
  readonly domain: FailureDomainId;
  readonly region: RegionId;
  readonly callers?: SocketAddress;
  readonly peers?: SocketAddress;
  readonly operators?: SocketAddress;
  /** Address at which peers reach the peer port, if it differs from the bound one. */
  readonly advertisedAddress?: string | undefined;
  /** Base URL of the platform, `http://ip:port`. */
  readonly platformUrl?: string | undefined;
  readonly maxBodyBytes?: number;
  readonly limits?: Partial<HttpLimits>;
  readonly callerCertificates?: CertificateSource | undefined;
  readonly peerCertificates?: CertificateSource | undefined;
  readonly log?: {
    readonly threshold?: LogThreshold;
    readonly format?: LogFormat;
    readonly writeLine?: (line: string) => void;
  };
  /** Address of the metrics receiver, `ip:port`. */
  readonly metricsAddress?: string | undefined;
  readonly settings?: Partial<CoreSettings>;
  readonly initialConfiguration?: ConfigurationView | undefined;
  /** Number of this start; derived from the start time and random bits by default. */
  readonly incarnation?: number;
  readonly seed?: number;
  readonly system?: System;
}

/** Bound addresses of a started instance, as `ip:port`. */
export interface InstanceAddresses {
  readonly callers: string;
  readonly peers: string;
  readonly operators: string;
}

export interface Instance {
  /** Opens all ports and starts the core. Rejects if a port is in use. */
  readonly start: () => Promise<InstanceAddresses>;
  /** Graceful shutdown: completes accepted requests, leaves the fleet, then resolves. */
  readonly stop: () => Promise<void>;
  /** Shuts down at once and closes all connections, as a crash would. */
  readonly kill: () => Promise<void>;
  readonly isReady: () => boolean;
  /** Returns the core; throws if the instance has not been started. */
  readonly core: () => Core;
  readonly controlBytes: () => ControlBytes;
  readonly post: (event: CoreEvent) => void;
}

const LOOPBACK: SocketAddress = { host: '127.0.0.1', port: 0 };
const SEED_RANGE = 2 ** 31;

/** Creates an instance without starting to listen. */
export function createInstance(options: InstanceOptions): Instance {
  const system = options.system ?? createSystem();
  const incarnation = options.incarnation ?? createIncarnation(system);
  const self = { id: options.id, incarnation };
  let running: { readonly core: Core; readonly loop: Loop<CoreEvent> } | undefined;
  let pendingEvents: CoreEvent[] = [];
  let resolveStopped: () => void = () => {};
  const stopped = new Promise<void>((resolve) => {
    resolveStopped = resolve;
  });

  /** Posts an event, or queues it while the ports are being opened and there is no core yet. */
  function post(event: CoreEvent): void {
    if (running === undefined) pendingEvents.push(event);
    else running.loop.post(event);
  }

  function classifyLink(to: InstanceId): LinkClass {
    const member = running?.core.state.membership.members.get(to);
    if (member === undefined) return 'crossRegion';
    if (member.domain === options.domain) return 'sameDomain';
    return member.region === options.region ? 'sameRegion' : 'crossRegion';
  }

  const describeState = () => toStatusJson(running?.core.state);
  const hosts = createHosts({ options, system, self, post, classifyLink, describeState });

  async function start(): Promise<InstanceAddresses> {
    const peers = await hosts.peers.listen();
    const operators = await hosts.operators.listen();
    const identity: InstanceIdentity = {
      ...self,
      address: options.advertisedAddress ?? peers,
      domain: options.domain,
      region: options.region,
    };
    const core = createCore({
      self: identity,
      seed: options.seed ?? Math.floor(Math.random() * SEED_RANGE),
      ...(options.settings === undefined ? {} : { settings: options.settings }),
      ...(options.initialConfiguration === undefined
        ? {}
        : { initialConfiguration: options.initialConfiguration }),
    });
    const runEffect = createEffectRunner({ hosts, post, onStopped: resolveStopped });
    const loop = createLoop<CoreEvent, Effect, TimerName>({
      core,
      system,
      runEffect,
      onError: handleFailure,
    });
    running = { core, loop };
    loop.post({ kind: 'start' });
    pendingEvents.forEach(loop.post);
    pendingEvents = [];
    const callers = await hosts.callers.listen();
    hosts.logger.write('info', 'daemon', 'started', { id: options.id, callers, peers, operators });
    return { callers, peers, operators };
  }

  function handleFailure(err: unknown, event: CoreEvent): void {
    const reason = err instanceof Error ? (err.stack ?? err.message) : String(err);
    hosts.logger.write('error', 'daemon', 'eventFailed', { event: event.kind, reason });
    if (event.kind !== 'callerRequest') return;
    hosts.callers.fail(event.requestId, {
      code: 'internalError',
      status: 500,
      executed: 'unknown',
      step: 'receive',
      peer: { kind: 'self' },
    });
  }

  async function closeHosts(): Promise<void> {
    running?.loop.close();
    await Promise.all([
      hosts.upstreams.close(),
      hosts.peers.close(),
      hosts.platform.close(),
      hosts.operators.close(),
      hosts.metrics.close(),
    ]);
  }

  async function stop(): Promise<void> {
    post({ kind: 'plannedStop' });
    await stopped;
    await hosts.callers.close();
    await closeHosts();
    hosts.logger.write('info', 'daemon', 'stopped', { id: options.id });
  }

  async function kill(): Promise<void> {
    await closeHosts();
    await hosts.callers.kill();
  }

  return {
    start,
    stop,
    kill,
    post,
    isReady: hosts.callers.isReady,
    core: () => {
      if (running === undefined) throw new Error('The instance has not been started.');
      return running.core;
    },
    controlBytes: hosts.peers.controlBytes,
  };
}

interface HostContext {
  readonly options: InstanceOptions;
  readonly system: System;
  readonly self: Pick<InstanceIdentity, 'id' | 'incarnation'>;
  readonly post: (event: CoreEvent) => void;
  readonly classifyLink: (to: InstanceId) => LinkClass;
  readonly describeState: () => unknown;
}

function createHosts(context: HostContext): Hosts {
  const { options, system, self, post, classifyLink, describeState } = context;
  const logger = createLogger({ instance: options.id, clock: system, ...options.log });
  const callers = createCallerHost({
    self,
    post,
    ...(options.callers ?? LOOPBACK),
    ...(options.maxBodyBytes === undefined ? {} : { maxBodyBytes: options.maxBodyBytes }),
    ...(options.limits === undefined ? {} : { limits: options.limits }),
    certificates: options.callerCertificates,
  });
  const peers = createPeerHost({
    self,
    post,
    ...(options.peers ?? LOOPBACK),
    classifyLink,
    onLost: (to, reason) => logger.write('info', 'peers', 'peerLost', { id: to, reason }),
    certificates: options.peerCertificates,
  });
  const operators = createOperatorHost({
    post,
    ...(options.operators ?? LOOPBACK),
    isReady: callers.isReady,
    status: () => ({
      id: options.id,
      incarnation: self.incarnation,
      domain: options.domain,
      region: options.region,
      controlBytes: peers.controlBytes(),
      memory: memoryUsage(),
      state: describeState(),
    }),
  });
  return {
    logger,
    callers,
    peers,
    operators,
    upstreams: createUpstreamHost({ post }),
    platform: createPlatformHost({ post, url: options.platformUrl }),
    metrics: createMetrics({
      address: options.metricsAddress,
      tags: { instance: options.id, domain: options.domain, region: options.region },
    }),
  };
}

/** Memory usage of the process in bytes. */
function memoryUsage(): { readonly resident: number; readonly heapUsed: number } {
  const { rss, heapUsed } = process.memoryUsage();
  return { resident: rss, heapUsed };
}
