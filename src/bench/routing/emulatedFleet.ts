/**
 * A fleet in simulated time: routing cores that exchange news over links with a delay, emulated
 * engines, and callers that return after a refusal. It keeps what callers got of each customer and
 * kind of request, and how many shared tokens engines read again.
 */
import { createRandom } from '../../core/random.js';
import type { Millis } from '../../core/clock.js';
import type { FailureDomainId, PeerMessage, RegionId } from '../../core/types.js';
import { createRouting } from '../../routing/routing.js';
import type { RoutingSettings } from '../../routing/settings.js';
import type {
  AttemptNumber,
  AttemptOutcome,
  ListedUpstream,
  PrefixPart,
  RequestFacts,
  Route,
  RoutingConfiguration,
  RoutingEffect,
  RoutingEvent,
  RoutingTimer,
} from '../../routing/types.js';
import { createBaselineRouter, type BaselinePolicy, type Router } from './baselines.js';
import { createEmulatedEngine, type EmulatedEngine, type EngineModel } from './emulatedEngine.js';
import { createReadCounter, createResults, type Ending, type FleetResults } from './results.js';
import type { Simulation } from './simulation.js';

export interface FleetShape {
  readonly engine: EngineModel;
  /** Failure domains, each in a region of its own, with their instances and engines. */
  readonly domains: readonly {
    readonly id: FailureDomainId;
    readonly instances: number;
    readonly engines: number;
  }[];
  /** One-way delay between regions, and within one. */
  readonly crossRegionMs: Millis;
  readonly withinRegionMs: Millis;
  readonly callerMs: Millis;
  readonly routes: readonly Route[];
  readonly customers: number;
}

/** A request as a caller makes it. */
export interface OfferedRequest {
  readonly at: Millis;
  readonly domain: FailureDomainId;
  readonly customer: number;
  readonly route: Route;
  readonly parts: readonly PrefixPart[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly deadlineMs: Millis;
  /** How often the caller returns after a refusal. */
  readonly returns: number;
}

export interface EmulatedFleet {
  readonly offer: (request: OfferedRequest) => void;
  readonly results: FleetResults;
  readonly engines: ReadonlyMap<string, EmulatedEngine>;
  /** An engine ends; its connections are cut and it leaves the list. */
  readonly loseEngine: (id: string) => void;
  /** All instances end and start again at once, knowing nothing of before. */
  readonly restartInstances: () => void;
}

/** How instances decide: by the core, by the core without news of each other, or by a baseline. */
export type FleetPolicy = 'core' | 'coreWithoutNews' | BaselinePolicy;

export interface EmulatedFleetOptions {
  readonly simulation: Simulation;
  readonly policy?: FleetPolicy;
  readonly shape: FleetShape;
  readonly seed: number;
  readonly settings?: Partial<RoutingSettings>;
}

const POOL = 'models';
const STORE_MS: Millis = 4;
const MAX_CONNECTIONS = 10_000;
const RESET: AttemptOutcome = { kind: 'cut', reason: 'ECONNRESET' };

const regionOf = (domain: FailureDomainId): RegionId => `region-of-${domain}`;

interface Instance {
  readonly id: string;
  readonly domain: FailureDomainId;
  router: Router;
  readonly timers: Map<RoutingTimer, number>;
  readonly open: Map<number, OpenCall>;
  readonly attempts: Map<AttemptNumber, { readonly engine: string; readonly job: number }>;
  readonly post: (event: RoutingEvent) => void;
}

interface OpenCall {
  readonly offered: OfferedRequest;
  /** Number of the request among all, the same as it returns. */
  readonly number: number;
  readonly firstAt: Millis;
  readonly returns: number;
}

/** Creates the fleet; its instances start at once and know of each other and of all engines. */
export function createEmulatedFleet(options: EmulatedFleetOptions): EmulatedFleet {
  const { simulation, shape, policy = 'core' } = options;
  const random = createRandom(options.seed);
  const reads = createReadCounter(simulation.now);
  const results = createResults(reads);
  const regions = new Map(shape.domains.map(({ id }) => [id, regionOf(id)]));
  const listed = shape.domains.flatMap(({ id, engines }) =>
    Array.from({ length: engines }, (_, i) => listEngine(id, i, shape.engine)),
  );
  const engineDomains = new Map(listed.map(({ id, domain }) => [id, domain]));
  const engines = new Map<string, EmulatedEngine>(
    listed.map(({ id }) => [
      id,
      createEmulatedEngine({ simulation, model: shape.engine, onRead: reads.count }),
    ]),
  );
  const present = new Set(engines.keys());
  const instances = new Map<string, Instance>();
  let nextJob = 1;
  let nextRequest = 1;
  let nextCall = 1;

  const delayBetween = (a: FailureDomainId | undefined, b: FailureDomainId | undefined) =>
    a === b ? shape.withinRegionMs : shape.crossRegionMs;

  function createRouter(id: string, domain: FailureDomainId): Router {
    if (policy !== 'core' && policy !== 'coreWithoutNews') return createBaselineRouter(policy);
    return createRouting({
      self: { id, incarnation: 1, address: id, domain, region: regionOf(domain) },
      regions,
      seed: options.seed + instances.size,
      ...(options.settings === undefined ? {} : { settings: options.settings }),
    });
  }

  function createInstance(domain: FailureDomainId, index: number): Instance {
    const id = `${domain}-instance-${index}`;
    const router = createRouter(id, domain);
    const instance: Instance = {
      id,
      domain,
      router,
      timers: new Map(),
      open: new Map(),
      attempts: new Map(),
      post: (event) => {
        const effects = instance.router.reduce(event, simulation.now());
        effects.forEach((effect) => execute(instance, effect));
      },
    };
    return instance;
  }

  function execute(instance: Instance, effect: RoutingEffect): void {
    switch (effect.kind) {
      case 'setTimer':
        setTimer(instance, effect.timer, effect.at);
        return;
      case 'pollConfiguration':
      case 'pollUpstreams':
      case 'pollInstances':
        answerPoll(instance, effect);
        return;
      case 'announce':
        simulation.after(STORE_MS, () => instance.post({ kind: 'announced' }));
        return;
      case 'send':
        send(instance, effect);
        return;
      case 'cancel':
      case 'withdraw':
        withdraw(instance, effect.attempt);
        return;
      case 'answer':
        endCall(instance, effect.answer.request, 'refused', effect.answer.retryAfterMs);
        return;
      case 'passError':
      case 'cutAnswer':
        endCall(instance, effect.request, 'failed');
        return;
      case 'sendPeer':
        deliver(instance, effect.to, effect.message);
        break;
      default:
      // The others concern logs, metrics and connections, which are not emulated.
    }
  }

  function setTimer(instance: Instance, timer: RoutingTimer, at: Millis): void {
    instance.timers.set(timer, at);
    simulation.at(at, () => {
      if (instance.timers.get(timer) !== at) return;
      instance.timers.delete(timer);
      instance.post({ kind: 'timer', timer });
    });
  }

  function answerPoll(
    instance: Instance,
    effect: Extract<
      RoutingEffect,
      { readonly kind: 'pollConfiguration' | 'pollUpstreams' | 'pollInstances' }
    >,
  ): void {
    const askedAt = simulation.now();
    const isWhole = effect.cursor === undefined;
    const waitMs = 'waitMs' in effect ? effect.waitMs : 0;
    simulation.after(STORE_MS + waitMs, () => {
      switch (effect.kind) {
        case 'pollConfiguration': {
          const configuration = createConfiguration(shape);
          const changes = isWhole ? [{ kind: 'configured', configuration } as const] : [];
          const outcome = { kind: 'answered', cursor: 1, changes } as const;
          instance.post({ kind: 'configurationPolled', askedAt, isWhole, outcome });
          return;
        }
        case 'pollUpstreams': {
          const changes = listed
            .filter(({ id }) => present.has(id))
            .map((upstream) => ({ kind: 'listed', upstream }) as const);
          const outcome = { kind: 'answered', cursor: 1, changes } as const;
          instance.post({ kind: 'upstreamsPolled', askedAt, isWhole: true, outcome });
          return;
        }
        default: {
          const others = [...instances.values()].filter(({ id }) => id !== instance.id);
          const changes = isWhole
            ? others.map(({ id, domain }) => ({
                id,
                incarnation: 1,
                address: id,
                domain,
                region: regionOf(domain),
              }))
            : [];
          instance.post({
            kind: 'instancesPolled',
            outcome: { kind: 'answered', cursor: 1, changes },
          });
        }
      }
    });
  }

  function deliver(from: Instance, to: string, message: PeerMessage): void {
    const receiver = instances.get(to);
    if (receiver === undefined || message.$case !== 'routingNews') return;
    if (policy === 'coreWithoutNews') return;
    simulation.after(delayBetween(from.domain, receiver.domain), () => {
      receiver.post({ kind: 'peerMessage', from: from.id, incarnation: 1, news: message.value });
    });
  }

  function send(
    instance: Instance,
    { plan }: Extract<RoutingEffect, { readonly kind: 'send' }>,
  ): void {
    const { attempt, upstream, request } = plan;
    const call = instance.open.get(request);
    const engine = engines.get(upstream);
    if (call === undefined || engine === undefined) return;
    const delay = delayBetween(instance.domain, engineDomains.get(upstream));
    const job = nextJob;
    nextJob += 1;
    instance.attempts.set(attempt, { engine: upstream, job });
    const back = (action: () => void) => {
      simulation.after(delay, () => {
        if (instance.attempts.get(attempt)?.job === job) action();
      });
    };
    simulation.after(delay, () => {
      if (!present.has(upstream)) {
        back(() => endAttempt(instance, attempt, RESET));
        return;
      }
      engine.submit({
        id: job,
        parts: call.offered.parts,
        promptTokens: call.offered.promptTokens,
        outputTokens: call.offered.outputTokens,
        onFirst: () => {
          back(() => {
            instance.post({ kind: 'attemptAnswered', attempt, status: 200 });
            instance.post({ kind: 'attemptProgress', attempt });
            results.first(call.offered, simulation.now() + shape.callerMs - call.firstAt);
          });
        },
        onEnded: () => {
          back(() => {
            instance.open.delete(request);
            endAttempt(instance, attempt, { kind: 'complete', status: 200 });
          });
        },
      });
    });
  }

  function endAttempt(instance: Instance, attempt: AttemptNumber, outcome: AttemptOutcome): void {
    instance.attempts.delete(attempt);
    instance.post({ kind: 'attemptEnded', attempt, outcome });
  }

  function withdraw(instance: Instance, attempt: AttemptNumber): void {
    const running = instance.attempts.get(attempt);
    if (running === undefined) return;
    engines.get(running.engine)?.cancel(running.job);
    endAttempt(instance, attempt, { kind: 'cancelled' });
  }

  function endCall(
    instance: Instance,
    request: number,
    ending: Ending,
    retryAfterMs: Millis = 0,
  ): void {
    const call = instance.open.get(request);
    if (call === undefined) return;
    instance.open.delete(request);
    const leftMs = call.firstAt + call.offered.deadlineMs - simulation.now();
    if (ending === 'refused' && call.returns > 0 && leftMs > 0) {
      const waitMs = Math.min(retryAfterMs, leftMs / 3) + 2 * shape.callerMs;
      simulation.after(waitMs, () => arrive({ ...call, returns: call.returns - 1 }));
      return;
    }
    results.end(call.offered, ending);
  }

  function arrive(call: OpenCall): void {
    const { offered } = call;
    const instance = pickInstance(instances, offered);
    const request = nextRequest;
    nextRequest += 1;
    instance.open.set(request, call);
    const leftMs = call.firstAt + offered.deadlineMs - simulation.now();
    instance.post({ kind: 'requestArrived', facts: factsOf(call, request, leftMs) });
  }

  shape.domains.forEach(({ id, instances: count }) => {
    Array.from({ length: count }, (_, i) => createInstance(id, i)).forEach((instance) => {
      instances.set(instance.id, instance);
    });
  });
  instances.forEach((instance) => {
    simulation.after(random.next() * STORE_MS, () => instance.post({ kind: 'start' }));
  });

  return {
    offer: (offered) => {
      const number = nextCall;
      nextCall += 1;
      simulation.at(offered.at, () => {
        results.asked(offered);
        simulation.after(shape.callerMs, () => {
          arrive({ offered, number, firstAt: offered.at, returns: offered.returns });
        });
      });
    },
    results,
    engines,
    restartInstances: () => {
      instances.forEach((instance) => {
        instance.attempts.forEach(({ engine, job }) => engines.get(engine)?.cancel(job));
        instance.attempts.clear();
        instance.timers.clear();
        instance.open.forEach(({ offered }) => results.end(offered, 'failed'));
        instance.open.clear();
        instance.router = createRouter(instance.id, instance.domain);
        instance.post({ kind: 'start' });
      });
    },
    loseEngine: (id) => {
      present.delete(id);
      const lost = new Set(engines.get(id)?.crash());
      instances.forEach((instance) => {
        instance.attempts.forEach(({ job }, attempt) => {
          if (lost.has(job)) endAttempt(instance, attempt, RESET);
        });
      });
    },
  };
}

const keyOf = (customer: number) => `key-${customer}`;

function listEngine(domain: FailureDomainId, index: number, model: EngineModel): ListedUpstream {
  const id = `${domain}-engine-${index}`;
  const { slots } = model;
  return { id, pool: POOL, address: id, domain, slots, phase: 'ready', bornAt: 1, beat: 1 };
}

function createConfiguration(shape: FleetShape): RoutingConfiguration {
  const customers = Array.from({ length: shape.customers }, (_, i) => i);
  return {
    version: 1,
    routes: shape.routes,
    pools: new Map([
      [
        POOL,
        {
          id: POOL,
          maxConnections: MAX_CONNECTIONS,
          memoryTokens: shape.engine.memoryTokens,
        },
      ],
    ]),
    hasCustomers: true,
    customersByKey: new Map(customers.map((i) => [keyOf(i), `customer-${i}`])),
    callerLimits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** A customer's connections reach one instance of their domain, as the balancer's hash has it. */
function pickInstance(
  instances: ReadonlyMap<string, Instance>,
  { domain, customer, parts }: OfferedRequest,
): Instance {
  const near = [...instances.values()].filter((instance) => instance.domain === domain);
  const connection = createRandom(customer * 31 + (parts.at(-1)?.tokens ?? 0)).next();
  const picked = near[Math.floor(connection * near.length)];
  if (picked === undefined) throw new Error(`no instance in ${domain}`);
  return picked;
}

function factsOf({ offered, number }: OpenCall, request: number, leftMs: Millis): RequestFacts {
  const { route, parts, promptTokens, outputTokens } = offered;
  return {
    request,
    requestId: `r${request}`,
    host: route.host,
    path: route.pathPrefix,
    key: keyOf(offered.customer),
    deadlineMs: leftMs,
    promptTokens,
    outputTokens,
    prefix: parts,
    model: 'm',
    fingerprint: number,
  };
}
