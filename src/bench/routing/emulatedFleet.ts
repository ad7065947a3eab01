/**
 * Simulates a fleet: routing cores that exchange routing news over links with a delay, emulated
 * engines, and callers that retry after a rejection. Records the outcomes by customer and by route,
 * and the number of shared prompt tokens that engines prefilled repeatedly. Engines may crash on
 * requests with certain prompt parts; they restart after `RESTART_MS` with an empty cache.
 */
import { createRandom } from '../../core/random.js';
import type { Millis } from '../../core/clock.js';
import type { FailureDomainId, PeerMessage } from '../../core/types.js';
import { createRouting } from '../../routing/routing.js';
import type { RoutingEventCode } from '../../routing/eventTable.js';
import type { RoutingSettings } from '../../routing/settings.js';
import type {
  AttemptNumber,
  AttemptOutcome,
  LocalAnswer,
  LogFields,
  PrefixPart,
  RateStatement,
  RequestFacts,
  RoutingEffect,
  RoutingEvent,
  RoutingTimer,
} from '../../routing/types.js';
import {
  createConfiguration,
  createListedEngine,
  keyOf,
  regionOf,
  type FleetObservation,
  type FleetShape,
  type OfferedRequest,
} from './fleetShape.js';
import { createBaselineRouter, type BaselinePolicy, type Router } from './baselines.js';
import { createEmulatedEngine, type EmulatedEngine } from './emulatedEngine.js';
import {
  createPrefillCounter,
  createResults,
  type UnservedOutcome,
  type FleetResults,
} from './results.js';
import type { Simulation } from './simulation.js';

export interface EmulatedFleet {
  readonly offer: (request: OfferedRequest) => void;
  readonly results: FleetResults;
  readonly engines: ReadonlyMap<string, EmulatedEngine>;
  /** Crashes an engine: its connections are reset and it is removed from the upstream list. */
  readonly failEngine: (id: string) => void;
  /** Restarts all instances at the same time without any state. */
  readonly restartInstances: () => void;
  /** Restarts one instance without any state. */
  readonly restartInstance: (id: string) => void;
}

/** Routing policy: the core, the core without the exchange of routing news, or a baseline. */
export type FleetPolicy = 'core' | 'coreWithoutNews' | BaselinePolicy;

export interface EmulatedFleetOptions {
  readonly simulation: Simulation;
  readonly policy?: FleetPolicy;
  readonly shape: FleetShape;
  readonly seed: number;
  readonly settings?: Partial<RoutingSettings>;
  /** Whether an engine that begins to answer a request with this part crashes. */
  readonly isDeadly?: (part: PrefixPart, now: Millis) => boolean;
  /**
   * Returns the requests per second that an engine accepts from all instances, if it states a limit in
   * its answers. It runs what exceeds its limit.
   */
  readonly limitOf?: (engine: string, now: Millis) => number | undefined;
  /** Whether messages from one instance to another are lost. */
  readonly isCut?: (from: string, to: string, now: Millis) => boolean;
  readonly observe?: (observation: FleetObservation) => void;
  /** Receives the log lines of the instances. */
  readonly onLog?: (line: EmulatedLogLine) => void;
}

/** A log line of an instance. */
export interface EmulatedLogLine {
  readonly at: Millis;
  readonly instance: string;
  readonly code: RoutingEventCode;
  readonly fields: LogFields;
}

/** Time from the first token of a deadly request to the crash of its engine. */
const CRASH_DELAY_MS: Millis = 100;
/** Time that a crashed engine takes to restart. */
const RESTART_MS: Millis = 4_000;
const STORE_LATENCY_MS: Millis = 4;
const CONNECTION_RESET: AttemptOutcome = { kind: 'cut', reason: 'ECONNRESET' };
const CONNECTION_REFUSED: AttemptOutcome = { kind: 'notSent', reason: 'ECONNREFUSED' };

interface Instance {
  readonly id: string;
  readonly domain: FailureDomainId;
  /** Increases with each restart. */
  incarnation: number;
  router: Router;
  readonly timers: Map<RoutingTimer, number>;
  readonly openCalls: Map<number, OpenCall>;
  readonly attempts: Map<AttemptNumber, { readonly engine: string; readonly job: number }>;
  readonly dispatch: (event: RoutingEvent) => void;
}

interface OpenCall {
  readonly offered: OfferedRequest;
  /** Identifies the call; a retry keeps the number. */
  readonly callNumber: number;
  readonly firstSentAt: Millis;
  readonly retriesLeft: number;
}

/**
 * Creates a fleet. Its instances start within `STORE_LATENCY_MS` and poll for instances and
 * engines.
 */
export function createEmulatedFleet(options: EmulatedFleetOptions): EmulatedFleet {
  const { simulation, shape, policy = 'core', observe = () => {} } = options;
  const { limitOf = () => undefined, isCut = () => false, onLog = () => {} } = options;
  const random = createRandom(options.seed);
  const prefillCounter = createPrefillCounter(simulation.now);
  const results = createResults(prefillCounter);
  const regions = new Map(shape.domains.map(({ id }) => [id, regionOf(id)]));
  let listedEngines = shape.domains.flatMap(({ id, engines }) =>
    Array.from({ length: engines }, (_, i) => createListedEngine(id, i, shape.engine)),
  );
  const engineDomains = new Map(listedEngines.map(({ id, domain }) => [id, domain]));
  const engines = new Map<string, EmulatedEngine>(
    listedEngines.map(({ id }) => [
      id,
      createEmulatedEngine({ simulation, model: shape.engine, onPrefill: prefillCounter.record }),
    ]),
  );
  const availableEngines = new Set(engines.keys());
  const instances = new Map<string, Instance>();
  let nextJob = 1;
  let nextRequest = 1;
  let nextCall = 1;

  const delayBetween = (a: FailureDomainId | undefined, b: FailureDomainId | undefined) =>
    a === b ? shape.withinRegionMs : shape.crossRegionMs;

  function createRouter(id: string, domain: FailureDomainId, incarnation: number): Router {
    if (policy !== 'core' && policy !== 'coreWithoutNews') return createBaselineRouter(policy);
    return createRouting({
      self: { id, incarnation, address: id, domain, region: regionOf(domain) },
      regions,
      seed: options.seed + instances.size,
      ...(options.settings === undefined ? {} : { settings: options.settings }),
    });
  }

  function createInstance(domain: FailureDomainId, index: number): Instance {
    const id = `${domain}-instance-${index}`;
    const router = createRouter(id, domain, 1);
    const instance: Instance = {
      id,
      domain,
      incarnation: 1,
      router,
      timers: new Map(),
      openCalls: new Map(),
      attempts: new Map(),
      dispatch: (event) => {
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
        simulation.after(STORE_LATENCY_MS, () => instance.dispatch({ kind: 'announced' }));
        return;
      case 'send':
        sendAttempt(instance, effect);
        return;
      case 'cancel':
      case 'withdraw':
        cancelAttempt(instance, effect.attempt);
        return;
      case 'answer':
        refuseCall(instance, effect.answer);
        return;
      case 'passError':
      case 'cutAnswer':
        endCall(instance, effect.request, 'failed');
        return;
      case 'probe':
        probeEngine(instance, effect);
        return;
      case 'sendPeer':
        deliverMessage(instance, effect.to, effect.message);
        break;
      case 'log':
        onLog({
          at: simulation.now(),
          instance: instance.id,
          code: effect.code,
          fields: effect.fields,
        });
        break;
      default:
      // Other effects concern metrics and connections, which are not emulated.
    }
  }

  function setTimer(instance: Instance, timer: RoutingTimer, at: Millis): void {
    instance.timers.set(timer, at);
    simulation.at(at, () => {
      if (instance.timers.get(timer) !== at) return;
      instance.timers.delete(timer);
      instance.dispatch({ kind: 'timer', timer });
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
    simulation.after(STORE_LATENCY_MS + waitMs, () => {
      switch (effect.kind) {
        case 'pollConfiguration': {
          const configuration = createConfiguration(shape);
          const changes = isWhole ? [{ kind: 'configured', configuration } as const] : [];
          const outcome = { kind: 'answered', cursor: 1, changes } as const;
          instance.dispatch({ kind: 'configurationPolled', askedAt, isWhole, outcome });
          return;
        }
        case 'pollUpstreams': {
          const changes = listedEngines.map((upstream) => ({ kind: 'listed', upstream }) as const);
          const outcome = { kind: 'answered', cursor: 1, changes } as const;
          instance.dispatch({ kind: 'upstreamsPolled', askedAt, isWhole: true, outcome });
          return;
        }
        default: {
          const others = [...instances.values()].filter(({ id }) => id !== instance.id);
          const changes = isWhole
            ? others.map(({ id, domain, incarnation }) => ({
                id,
                incarnation,
                address: id,
                domain,
                region: regionOf(domain),
              }))
            : [];
          instance.dispatch({
            kind: 'instancesPolled',
            askedAt,
            isWhole,
            outcome: { kind: 'answered', cursor: 1, changes },
          });
        }
      }
    });
  }

  function probeEngine(
    instance: Instance,
    effect: Extract<RoutingEffect, { readonly kind: 'probe' }>,
  ): void {
    const { upstream, upstreamStartedAt } = effect;
    const delay = delayBetween(instance.domain, engineDomains.get(upstream));
    simulation.after(2 * delay, () => {
      const isAlive = availableEngines.has(upstream);
      instance.dispatch({ kind: 'probed', upstream, upstreamStartedAt, isAlive });
    });
  }

  function deliverMessage(from: Instance, to: string, message: PeerMessage): void {
    const receiver = instances.get(to);
    if (receiver === undefined || message.$case !== 'routingNews') return;
    if (policy === 'coreWithoutNews' || isCut(from.id, to, simulation.now())) return;
    const { incarnation } = from;
    simulation.after(delayBetween(from.domain, receiver.domain), () => {
      receiver.dispatch({
        kind: 'peerMessage',
        from: from.id,
        incarnation,
        message: message.value,
      });
    });
  }

  function sendAttempt(
    instance: Instance,
    { plan }: Extract<RoutingEffect, { readonly kind: 'send' }>,
  ): void {
    const { attempt, upstream, request } = plan;
    const call = instance.openCalls.get(request);
    const engine = engines.get(upstream);
    if (call === undefined || engine === undefined) return;
    const delay = delayBetween(instance.domain, engineDomains.get(upstream));
    const job = nextJob;
    nextJob += 1;
    instance.attempts.set(attempt, { engine: upstream, job });
    const afterReturnDelay = (action: () => void) => {
      simulation.after(delay, () => {
        if (instance.attempts.get(attempt)?.job === job) action();
      });
    };
    simulation.after(delay, () => {
      if (!availableEngines.has(upstream)) {
        afterReturnDelay(() => endAttempt(instance, attempt, CONNECTION_REFUSED));
        return;
      }
      if (instance.attempts.get(attempt)?.job !== job) return;
      observe({
        kind: 'reachedEngine',
        at: simulation.now(),
        offered: call.offered,
        engine: upstream,
      });
      engine.submit({
        id: job,
        parts: call.offered.parts,
        promptTokens: call.offered.promptTokens,
        outputTokens: call.offered.outputTokens,
        onProgress: () => {
          afterReturnDelay(() => instance.dispatch({ kind: 'attemptProgress', attempt }));
        },
        onFirstToken: () => {
          crashIfDeadly(upstream, call.offered);
          const perSecond = limitOf(upstream, simulation.now());
          afterReturnDelay(() => {
            const rate = describeRate(perSecond);
            instance.dispatch({ kind: 'attemptAnswered', attempt, status: 200, rate });
            if (perSecond !== undefined)
              observe({ kind: 'limitStated', at: simulation.now(), engine: upstream });
            instance.dispatch({ kind: 'attemptProgress', attempt });
            observe({ kind: 'begun', at: simulation.now(), offered: call.offered });
            results.recordFirstToken(
              call.offered,
              simulation.now() + shape.callerMs - call.firstSentAt,
            );
          });
        },
        onCompleted: () => {
          afterReturnDelay(() => {
            instance.openCalls.delete(request);
            endAttempt(instance, attempt, { kind: 'complete', status: 200 });
          });
        },
      });
    });
  }

  /** Crashes an engine that has begun to answer a request with a deadly part. */
  function crashIfDeadly(engine: string, { parts }: OfferedRequest): void {
    const { isDeadly = () => false } = options;
    if (!parts.some((part) => isDeadly(part, simulation.now()))) return;
    simulation.after(CRASH_DELAY_MS, () => {
      if (!availableEngines.has(engine)) return;
      failEngine(engine);
      simulation.after(RESTART_MS, () => restartEngine(engine));
    });
  }

  function failEngine(id: string): void {
    availableEngines.delete(id);
    observe({ kind: 'engineCrashed', at: simulation.now(), engine: id });
    const lost = new Set(engines.get(id)?.crash());
    instances.forEach((instance) => {
      const delay = delayBetween(instance.domain, engineDomains.get(id));
      instance.attempts.forEach(({ job }, attempt) => {
        if (!lost.has(job)) return;
        simulation.after(delay, () => {
          if (instance.attempts.get(attempt)?.job === job)
            endAttempt(instance, attempt, CONNECTION_RESET);
        });
      });
    });
  }

  /** Lists a crashed engine again, with the time of its new start. */
  function restartEngine(id: string): void {
    availableEngines.add(id);
    listedEngines = listedEngines.map((listed) =>
      listed.id === id ? { ...listed, startedAt: simulation.now() } : listed,
    );
  }

  function restartInstance(instance: Instance): void {
    instance.attempts.forEach(({ engine, job }) => engines.get(engine)?.cancel(job));
    instance.attempts.clear();
    instance.timers.clear();
    instance.openCalls.forEach(({ offered }) => results.recordUnserved(offered, 'failed'));
    instance.openCalls.clear();
    instance.incarnation += 1;
    instance.router = createRouter(instance.id, instance.domain, instance.incarnation);
    instance.dispatch({ kind: 'start' });
  }

  function endAttempt(instance: Instance, attempt: AttemptNumber, outcome: AttemptOutcome): void {
    instance.attempts.delete(attempt);
    instance.dispatch({ kind: 'attemptEnded', attempt, outcome });
  }

  function cancelAttempt(instance: Instance, attempt: AttemptNumber): void {
    const running = instance.attempts.get(attempt);
    if (running === undefined) return;
    engines.get(running.engine)?.cancel(running.job);
    endAttempt(instance, attempt, { kind: 'cancelled' });
  }

  function refuseCall(instance: Instance, { request, reason, retryAfterMs }: LocalAnswer): void {
    const call = instance.openCalls.get(request);
    if (call === undefined) return;
    observe({ kind: 'refused', at: simulation.now(), offered: call.offered, reason });
    endCall(instance, request, 'refused', retryAfterMs);
  }

  function endCall(
    instance: Instance,
    request: number,
    outcome: UnservedOutcome,
    retryAfterMs: Millis = 0,
  ): void {
    const call = instance.openCalls.get(request);
    if (call === undefined) return;
    instance.openCalls.delete(request);
    const leftMs = call.firstSentAt + call.offered.deadlineMs - simulation.now();
    if (outcome === 'refused' && call.retriesLeft > 0 && leftMs > 0) {
      const waitMs = Math.min(retryAfterMs, leftMs / 3) + 2 * shape.callerMs;
      simulation.after(waitMs, () => startRequest({ ...call, retriesLeft: call.retriesLeft - 1 }));
      return;
    }
    results.recordUnserved(call.offered, outcome);
  }

  function startRequest(call: OpenCall): void {
    const { offered } = call;
    const instance = pickInstance(instances, offered);
    const request = nextRequest;
    nextRequest += 1;
    instance.openCalls.set(request, call);
    const leftMs = call.firstSentAt + offered.deadlineMs - simulation.now();
    instance.dispatch({ kind: 'requestArrived', facts: factsOf(call, request, leftMs) });
  }

  shape.domains.forEach(({ id, instances: count }) => {
    Array.from({ length: count }, (_, i) => createInstance(id, i)).forEach((instance) => {
      instances.set(instance.id, instance);
    });
  });
  instances.forEach((instance) => {
    simulation.after(random.next() * STORE_LATENCY_MS, () => instance.dispatch({ kind: 'start' }));
  });

  return {
    offer: (offered) => {
      const callNumber = nextCall;
      nextCall += 1;
      simulation.at(offered.at, () => {
        results.recordRequest(offered);
        simulation.after(shape.callerMs, () => {
          startRequest({
            offered,
            callNumber,
            firstSentAt: offered.at,
            retriesLeft: offered.maxRetries,
          });
        });
      });
    },
    results,
    engines,
    restartInstances: () => instances.forEach(restartInstance),
    restartInstance: (id) => {
      const instance = instances.get(id);
      if (instance !== undefined) restartInstance(instance);
    },
    failEngine: (id) => {
      // A failed engine does not come back.
      listedEngines = listedEngines.filter((listed) => listed.id !== id);
      failEngine(id);
    },
  };
}

function describeRate(perSecond: number | undefined): RateStatement {
  return perSecond === undefined ? { kind: 'unlimited' } : { kind: 'limited', perSecond };
}

/** Picks an instance of the domain by a hash of the connection, as the load balancer does. */
function pickInstance(
  instances: ReadonlyMap<string, Instance>,
  { domain, instance: index, customer, parts }: OfferedRequest,
): Instance {
  const candidates = [...instances.values()].filter((instance) => instance.domain === domain);
  const connection = createRandom(customer * 31 + (parts.at(-1)?.tokens ?? 0)).next();
  const picked = candidates[index ?? Math.floor(connection * candidates.length)];
  if (picked === undefined) throw new Error(`failure domain "${domain}" has no instances`);
  return picked;
}

function factsOf({ offered, callNumber }: OpenCall, request: number, leftMs: Millis): RequestFacts {
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
    fingerprint: callNumber,
  };
}
