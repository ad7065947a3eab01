/**
 * A service whose upstreams crash on some requests, in front of it a fleet whose instances exchange
 * messages. The same requests come again and again, at any instance, beside sound ones.
 */
import { createRandom } from '../../../src/core/random.js';
import type {
  AttemptPlan,
  ListedUpstream,
  LocalAnswer,
  RoutingEffect,
} from '../../../src/routing/types.js';
import { createFacts, createUpstreamEntry } from './core.js';
import { createFakePlatform } from './fakePlatform.js';
import { createTimedFleet, type TimedCore, type TimedFleet } from './timedFleet.js';

const LINK_MS = 2;
const SOUND_MS = 25;
/** Shortest and longest time for which a deadly request runs before its upstream crashes. */
const MIN_DEADLY_MS = 20;
const MAX_DEADLY_MS = 150;
/** Time after which a crashed upstream starts again. */
const RESTART_MS = 5_000;
const DEADLY_INTERVAL_MS = 300;
const SOUND_INTERVAL_MS = 50;
/** Time after which a caller repeats a request whose outcome it does not know. */
const REPEAT_MS = 5;
/** Fingerprints of deadly requests; those of sound ones are larger. */
const MAX_DEADLY = 1_000;
const STARTED_MS = 2_000;

export interface DeadlyRequestOptions {
  readonly seed: number;
  readonly upstreams: number;
  /** Number of different deadly requests. */
  readonly requests: number;
  readonly untilMs: number;
  /** Time from which upstreams do not crash on them any more. */
  readonly mendedAt?: number;
  /** Whether the deadly requests come at one instance only. */
  readonly isOneInstance?: boolean;
  /** Times at which all upstreams lose power at once, whatever they run. */
  readonly powerLostAt?: readonly number[];
}

interface Running {
  readonly core: TimedCore;
  readonly attempt: number;
  readonly fingerprint: number;
}

interface Server {
  entry: ListedUpstream;
  isAlive: boolean;
  running: readonly Running[];
}

export interface Arrival {
  readonly fingerprint: number;
  readonly at: number;
}

export interface DeadlyRequestRun {
  /** Deadly requests that reached an upstream that was alive. */
  readonly reached: readonly Arrival[];
  /** Crashes under deadly requests. */
  readonly crashes: readonly Arrival[];
  /** Times at which no upstream was alive any more. */
  readonly lostAt: readonly number[];
  /** Answers to sound requests, and when; those that were served have no reason. */
  readonly soundAnswers: readonly { readonly at: number; readonly reason?: string }[];
  /** Requests with a deadly fingerprint that were answered completely. */
  readonly served: readonly Arrival[];
}

export function runWithDeadlyRequests(options: DeadlyRequestOptions): DeadlyRequestRun {
  const { seed, untilMs, mendedAt = Infinity } = options;
  const random = createRandom(seed);
  const run = {
    reached: [] as Arrival[],
    crashes: [] as Arrival[],
    lostAt: [] as number[],
    soundAnswers: [] as { at: number; reason?: string }[],
    served: [] as Arrival[],
  };
  const servers: Server[] = Array.from({ length: options.upstreams }, (_, i) => ({
    entry: createUpstreamEntry(`u${i}`, { pool: 'desk', slots: 6 }),
    isAlive: true,
    running: [],
  }));
  const fingerprints = new Map<string, number>();
  let requests = 0;
  let starts = servers.length;

  const fleet: TimedFleet = createTimedFleet({ domains: 3, perDomain: 3, onEffect });
  const { simulation, dispatch, cores } = fleet;
  const after = simulation.after.bind(simulation);
  const keyOf = (core: TimedCore, request: number) => `${core.self.id} ${request}`;
  const pickCore = () => cores[Math.floor(random.next() * cores.length)] as TimedCore;

  const answerRead = createFakePlatform({
    fleet: () => fleet,
    listed: () => servers.filter(({ isAlive }) => isAlive).map(({ entry }) => entry),
  });

  function onEffect(core: TimedCore, effect: RoutingEffect): void {
    const { kind } = effect;
    answerRead(core, effect);
    if (kind === 'send') after(LINK_MS, () => begin(core, effect.plan));
    else if (kind === 'answer') onAnswer(core, effect.answer);
    else if (kind === 'probe') {
      const server = serverOf(effect.upstream);
      const { upstream, upstreamStartedAt } = effect;
      const isAlive = server?.isAlive === true;
      after(2 * LINK_MS, () =>
        dispatch(core, { kind: 'probed', upstream, upstreamStartedAt, isAlive }),
      );
    }
  }

  function serverOf(id: string): Server | undefined {
    return servers.find(({ entry }) => entry.id === id);
  }

  function begin(core: TimedCore, { upstream, request, attempt }: AttemptPlan): void {
    const server = serverOf(upstream);
    if (server?.isAlive !== true) {
      const outcome = { kind: 'notSent', reason: 'ECONNREFUSED' } as const;
      after(LINK_MS, () => dispatch(core, { kind: 'attemptEnded', attempt, outcome }));
      return;
    }
    const fingerprint = fingerprints.get(keyOf(core, request)) ?? 0;
    const running = { core, attempt, fingerprint };
    server.running = [...server.running, running];
    const { id } = server.entry;
    if (fingerprint < MAX_DEADLY) run.reached.push({ fingerprint, at: simulation.now() });
    if (fingerprint >= MAX_DEADLY || simulation.now() >= mendedAt) {
      after(SOUND_MS, () => {
        if (server.entry.id === id && server.isAlive) complete(server, running);
      });
      return;
    }
    after(MIN_DEADLY_MS + random.next() * (MAX_DEADLY_MS - MIN_DEADLY_MS), () => {
      if (server.entry.id !== id || !server.isAlive) return;
      run.crashes.push({ fingerprint, at: simulation.now() });
      crash(server);
    });
  }

  function complete(server: Server, running: Running): void {
    const { core, attempt, fingerprint } = running;
    const ended = server;
    ended.running = server.running.filter((other) => other !== running);
    after(LINK_MS, () => {
      const at = simulation.now();
      if (fingerprint < MAX_DEADLY) run.served.push({ fingerprint, at });
      else run.soundAnswers.push({ at });
      dispatch(core, { kind: 'attemptAnswered', attempt, status: 200 });
      const outcome = { kind: 'complete', status: 200 } as const;
      dispatch(core, { kind: 'attemptEnded', attempt, outcome });
    });
  }

  function crash(server: Server): void {
    const crashed = server;
    const { running } = server;
    crashed.running = [];
    crashed.isAlive = false;
    if (!servers.some(({ isAlive }) => isAlive)) run.lostAt.push(simulation.now());
    const outcome = { kind: 'cut', reason: 'reset' } as const;
    running.forEach(({ core, attempt }) =>
      after(LINK_MS, () => dispatch(core, { kind: 'attemptEnded', attempt, outcome })),
    );
    after(RESTART_MS, () => {
      starts += 1;
      crashed.entry = createUpstreamEntry(`u${starts}`, {
        pool: 'desk',
        slots: 6,
        startedAt: simulation.now(),
      });
      crashed.isAlive = true;
    });
  }

  function onAnswer(core: TimedCore, { request, status, reason }: LocalAnswer): void {
    const fingerprint = fingerprints.get(keyOf(core, request)) ?? 0;
    if (fingerprint >= MAX_DEADLY) {
      run.soundAnswers.push({ at: simulation.now(), reason });
      return;
    }
    // The caller knows nothing of the outcome, and repeats the request once.
    if (status === 502 && request % 2 === 0)
      after(REPEAT_MS, () => ask(pickCore(), fingerprint, 1));
  }

  /** @param repeat 0 for a request that its caller may repeat, 1 for a repeat. */
  function ask(core: TimedCore, fingerprint: number, repeat: 0 | 1): void {
    requests += 2;
    const request = requests + repeat;
    fingerprints.set(keyOf(core, request), fingerprint);
    const facts = createFacts(request, { path: '/look/1', promptTokens: 0, outputTokens: 0 });
    dispatch(core, { kind: 'requestArrived', facts: { ...facts, fingerprint } });
  }

  for (let at = STARTED_MS; at < untilMs; at += SOUND_INTERVAL_MS)
    simulation.at(at, () => ask(pickCore(), MAX_DEADLY + at, 0));
  for (let at = STARTED_MS; at < untilMs; at += DEADLY_INTERVAL_MS) {
    simulation.at(at + random.next() * DEADLY_INTERVAL_MS, () => {
      const fingerprint = 1 + Math.floor(random.next() * options.requests);
      const [first] = cores;
      ask(
        options.isOneInstance === true && first !== undefined ? first : pickCore(),
        fingerprint,
        0,
      );
    });
  }
  (options.powerLostAt ?? []).forEach((at) =>
    simulation.at(at, () => servers.filter(({ isAlive }) => isAlive).forEach(crash)),
  );
  simulation.runUntil(untilMs);
  return run;
}

/** The deadly arrivals later than a time after the third crash under their request. */
export function lateArrivals(
  { reached, crashes }: DeadlyRequestRun,
  contactMs: number,
): readonly Arrival[] {
  return reached.filter(({ fingerprint, at }) => {
    const third = crashes.filter((crash) => crash.fingerprint === fingerprint)[2];
    return third !== undefined && at > third.at + contactMs;
  });
}
