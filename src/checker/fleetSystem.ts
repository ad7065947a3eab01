/**
 * Model of a fleet of real cores as a transition system. The actions are the events whose order and
 * outcome determine the result of the claims and configuration protocols: appends, reads, ends of
 * attempts, arrivals, restarts and periods without an event. Everything else (timers, messages
 * between instances) is processed immediately, in a fixed order.
 */
import { createCore, type Core } from '../core/core.js';
import type { Millis } from '../core/clock.js';
import type {
  AttemptId,
  ConfigurationView,
  CoreEvent,
  Effect,
  InstanceIdentity,
  RequestId,
  StreamRecord,
  TimerName,
} from '../core/types.js';
import type { TransitionSystem } from './explore.js';

/** Transforms the log as an instance reads it; checks use it to disable a rule of the protocol. */
export type LogTransform = (
  records: readonly StreamRecord[],
  reader: InstanceIdentity,
  stream: string,
) => readonly StreamRecord[];

export interface Arrival {
  readonly instance: number;
  readonly event: CoreEvent;
}

export interface FleetSystemOptions {
  readonly instances: number;
  readonly view?: ConfigurationView;
  /** Events from callers or operators; each is delivered once, in any order. */
  readonly arrivals: readonly Arrival[];
  /**
   * Maximum number of faults in a sequence of actions, over all kinds together: appends lost before
   * or after their effect, failed reads, cut attempts, restarts and periods without an event.
   */
  readonly faults: number;
  readonly transformLog?: LogTransform;
  /** Initial records of the log, by stream. */
  readonly initialRecords?: Readonly<Record<string, readonly string[]>>;
  /** Whether the faults include a restart of an instance with loss of all its state. */
  readonly restarts?: boolean;
  /** Streams whose appends are actions; appends to other streams succeed immediately. */
  readonly controlledStreams: readonly string[];
  /** Members of the core's state that are part of the state key. */
  readonly stateMembers: readonly string[];
  /** Returns the violated invariant, if any; evaluated after each action. */
  readonly findViolation: (observed: FleetObservation) => string | undefined;
}

/** State of the fleet that the invariants are checked against. */
export interface FleetObservation {
  readonly cores: readonly Core[];
  readonly logs: ReadonlyMap<string, readonly StreamRecord[]>;
  /** Requests dispatched to upstreams, in order. */
  readonly dispatched: readonly RequestId[];
  /** Effects that ended a request, by request. */
  readonly outcomes: ReadonlyMap<RequestId, readonly Effect[]>;
  /** Configuration versions in force since the last start, in order, by instance. */
  readonly versions: readonly (readonly number[])[];
  /** Replies to operators by command. */
  readonly operatorReplies: ReadonlyMap<string, Effect>;
}

interface PendingAppend {
  readonly instance: number;
  readonly appendId: number;
  readonly stream: string;
  readonly records: readonly string[];
}

interface PendingRead {
  readonly instance: number;
  readonly stream: string;
  readonly from: number;
  /** Time at which a read without new records is answered with an empty result. */
  readonly waitsUntil: Millis;
}

interface PendingAttempt {
  readonly instance: number;
  readonly attemptId: AttemptId;
  readonly requestId: RequestId;
}

/** Time that passes after each action other than `wait`. */
const ACTION_DURATION_MS: Millis = 60;
/** Intervals of timers outside the checked protocols, long enough to keep the state space small. */
const LONG_INTERVAL_SETTINGS = {
  exchangeMs: 60_000,
  limitsMs: 60_000,
  pollMs: 60_000,
  holdReportMs: 60_000,
  pullMs: 60_000,
} as const;
const WAIT_ACTION_MS: Millis = 1_000;
const STARTUP_ROUNDS = 10;
const STARTUP_ROUND_MS: Millis = 300;
const MAX_EVENTS_PER_ACTION = 2_000;

export function createFleetSystem(options: FleetSystemOptions): TransitionSystem {
  const cores = Array.from({ length: options.instances }, (_, i) =>
    createInstanceCore(i, 0, options),
  );
  const logs = new Map<string, StreamRecord[]>();
  Object.entries(options.initialRecords ?? {}).forEach(([stream, records]) => {
    logs.set(
      stream,
      records.map((data, offset) => ({ offset, data })),
    );
  });
  const versions = cores.map((): number[] => []);
  const operatorReplies = new Map<string, Effect>();
  const timers = cores.map(() => new Map<TimerName, Millis>());
  const dispatched: RequestId[] = [];
  const outcomes = new Map<RequestId, Effect[]>();
  const pendingArrivals = new Set(options.arrivals.map((_, i) => i));
  let appends: PendingAppend[] = [];
  let reads: PendingRead[] = [];
  let attempts: PendingAttempt[] = [];
  let inbox: { readonly to: number; readonly event: CoreEvent }[] = [];
  let { faults } = options;
  let now: Millis = 0;

  function enqueue(to: number, event: CoreEvent): void {
    inbox.push({ to, event });
  }

  function processInbox(): void {
    for (let i = 0; inbox.length > 0; i += 1) {
      if (i > MAX_EVENTS_PER_ACTION)
        throw new Error('the fleet exceeded the limit of events for one action');
      const [first] = inbox;
      inbox = inbox.slice(1);
      if (first !== undefined) deliver(first.to, first.event);
    }
  }

  function deliver(instance: number, event: CoreEvent): void {
    const core = cores[instance];
    core?.reduce(event, now).forEach((effect) => performEffect(instance, effect));
    const version = core?.state.configuration.view?.version;
    const seen = versions[instance];
    if (version !== undefined && seen !== undefined && seen.at(-1) !== version) seen.push(version);
  }

  function performEffect(instance: number, effect: Effect): void {
    switch (effect.kind) {
      case 'setTimer':
        timers[instance]?.set(effect.timer, effect.at);
        return;
      case 'sendPeer': {
        const self = cores[instance]?.state.self;
        const to = cores.findIndex((core) => core.state.self.id === effect.to);
        if (to < 0 || self === undefined) return;
        enqueue(to, {
          kind: 'peerMessage',
          from: self.id,
          incarnation: self.incarnation,
          message: effect.message,
        });
        return;
      }
      case 'appendLog':
        appends = [...appends, { instance, ...effect }];
        if (!options.controlledStreams.includes(effect.stream))
          completeAppend(appends.length - 1, 'append');
        return;
      case 'readLog':
        reads = reads.filter((read) => read.instance !== instance || read.stream !== effect.stream);
        reads = [
          ...reads,
          {
            instance,
            stream: effect.stream,
            from: effect.from,
            waitsUntil: now + effect.waitMs,
          },
        ];
        return;
      case 'readInstanceList':
        enqueue(instance, { kind: 'instanceList', instances: listInstances(cores) });
        return;
      case 'dispatch': {
        const { attemptId, requestId } = effect.attempt;
        dispatched.push(requestId);
        attempts = [...attempts, { instance, attemptId, requestId }];
        return;
      }
      case 'finishAnswer':
      case 'replayAnswer':
      case 'refuse':
      case 'fail':
        outcomes.set(effect.requestId, [...(outcomes.get(effect.requestId) ?? []), effect]);
        break;
      case 'operatorReply':
        operatorReplies.set(effect.commandId, effect);
        break;
      default:
    }
  }

  /** Serves reads immediately for several rounds, until the instances have read the initial log. */
  function runStartup(): void {
    for (let i = 0; i < STARTUP_ROUNDS; i += 1) {
      completeReadyReads();
      advanceTime(STARTUP_ROUND_MS);
    }
  }

  function completeReadyReads(): void {
    for (;;) {
      const index = reads.findIndex((read) => visibleRecords(read).length > 0);
      if (index < 0) return;
      completeRead(index, true);
      processInbox();
    }
  }

  function advanceTime(duration: Millis): void {
    const end = now + duration;
    for (;;) {
      completeExpiredReads();
      const due = findEarliestTimer(timers, end);
      if (due === undefined) break;
      now = Math.max(now, due.at);
      timers[due.instance]?.delete(due.timer);
      enqueue(due.instance, { kind: 'timer', timer: due.timer });
      processInbox();
    }
    now = end;
    completeExpiredReads();
  }

  /** Answers reads with an empty result if their wait has expired and there are no new records. */
  function completeExpiredReads(): void {
    const expired = reads.filter(
      (read) => read.waitsUntil <= now && visibleRecords(read).length === 0,
    );
    if (expired.length === 0) return;
    reads = reads.filter((read) => !expired.includes(read));
    expired.forEach(({ instance, stream, from }) => {
      const result = { kind: 'records', records: [], next: from } as const;
      enqueue(instance, { kind: 'logRead', stream, from, result });
    });
    processInbox();
  }

  function enabledActions(): readonly string[] {
    const canFail = faults > 0;
    const actions = [
      ...[...pendingArrivals].map((i) => `arrive ${i}`),
      ...appends.flatMap((_, i) => [
        `append ${i}`,
        ...(canFail ? [`append-lost-reply ${i}`, `append-rejected ${i}`] : []),
      ]),
      ...reads.flatMap((read, i) => [
        ...(visibleRecords(read).length > 0 ? [`read ${i}`] : []),
        ...(canFail ? [`read-fails ${i}`] : []),
      ]),
      ...(canFail && options.restarts === true ? cores.map((_, i) => `restart ${i}`) : []),
      ...attempts.flatMap((_, i) => [`complete ${i}`, ...(canFail ? [`cut ${i}`] : [])]),
    ];
    // Time can pass without another event; this counts as a fault while other actions are possible.
    return canFail || actions.length === 0 ? [...actions, 'wait'] : actions;
  }

  function visibleRecords(read: PendingRead): readonly StreamRecord[] {
    const records = logs.get(read.stream) ?? [];
    const self = cores[read.instance]?.state.self;
    if (self === undefined) return [];
    const seen = options.transformLog?.(records, self, read.stream) ?? records;
    return seen.filter((record) => record.offset >= read.from);
  }

  function apply(action: string): void {
    const [kind, argument] = action.split(' ');
    const index = Number(argument);
    if (isFault(kind) && faults > 0) faults -= 1;
    switch (kind) {
      case 'arrive': {
        const arrival = options.arrivals[index];
        pendingArrivals.delete(index);
        if (arrival !== undefined) enqueue(arrival.instance, arrival.event);
        break;
      }
      case 'append':
      case 'append-lost-reply':
      case 'append-rejected':
        completeAppend(index, kind);
        break;
      case 'read':
      case 'read-fails':
        completeRead(index, kind === 'read');
        break;
      case 'restart':
        restart(index);
        break;
      case 'complete':
      case 'cut':
        endAttempt(index, kind === 'complete');
        break;
      default:
    }
    processInbox();
    advanceTime(action === 'wait' ? WAIT_ACTION_MS : ACTION_DURATION_MS);
  }

  /** Restarts an instance with empty state; its pending reads and attempts are dropped. */
  function restart(instance: number): void {
    cores[instance] = createInstanceCore(instance, now, options);
    timers[instance]?.clear();
    versions[instance]?.splice(0);
    reads = reads.filter((read) => read.instance !== instance);
    attempts = attempts.filter((attempt) => attempt.instance !== instance);
    enqueue(instance, { kind: 'start' });
  }

  function completeAppend(index: number, outcome: string): void {
    const append = appends[index];
    if (append === undefined) return;
    appends = appends.filter((other) => other !== append);
    const { appendId, stream } = append;
    const log = logs.get(stream) ?? [];
    const offset = log.length;
    if (outcome !== 'append-rejected') {
      logs.set(stream, [
        ...log,
        ...append.records.map((data, i) => ({ offset: offset + i, data })),
      ]);
    }
    const detail = 'injected by the checker';
    enqueue(append.instance, {
      kind: 'appendSettled',
      appendId,
      stream,
      result:
        outcome === 'append'
          ? { kind: 'appended', offset }
          : { kind: outcome === 'append-rejected' ? 'rejected' : 'unknown', detail },
    });
  }

  function completeRead(index: number, succeeds: boolean): void {
    const read = reads[index];
    if (read === undefined) return;
    reads = reads.filter((other) => other !== read);
    const records = visibleRecords(read);
    const next = Math.max(read.from, ...records.map((record) => record.offset + 1));
    enqueue(read.instance, {
      kind: 'logRead',
      stream: read.stream,
      from: read.from,
      result: succeeds
        ? { kind: 'records', records, next }
        : { kind: 'failed', detail: 'injected by the checker' },
    });
  }

  function endAttempt(index: number, isComplete: boolean): void {
    const attempt = attempts[index];
    if (attempt === undefined) return;
    attempts = attempts.filter((other) => other !== attempt);
    const answer = { status: 200, contentType: 'text/plain', body: new Uint8Array() };
    enqueue(attempt.instance, {
      kind: 'attemptEnded',
      attemptId: attempt.attemptId,
      outcome: isComplete
        ? { kind: 'complete', status: 200, outputTokens: 1, answer }
        : { kind: 'cut', detail: 'injected by the checker' },
    });
  }

  function stateKey(): string {
    const states = cores.map(({ state }) =>
      options.stateMembers.map((name) => readStateMember(state, name)),
    );
    const pending = [appends, reads, attempts, [...pendingArrivals], faults];
    const observed = [logs, dispatched, outcomes, operatorReplies, versions];
    return JSON.stringify([now, states, pending, observed], serializeValue);
  }

  cores.forEach((_, i) => enqueue(i, { kind: 'start' }));
  processInbox();
  runStartup();
  return {
    enabledActions,
    apply,
    stateKey,
    violation: () =>
      options.findViolation({ cores, logs, dispatched, outcomes, versions, operatorReplies }),
  };
}

const FAULT_ACTIONS: ReadonlySet<string> = new Set([
  'append-lost-reply',
  'append-rejected',
  'read-fails',
  'cut',
  'restart',
  'wait',
]);

function isFault(kind: string | undefined): boolean {
  return kind !== undefined && FAULT_ACTIONS.has(kind);
}

function createInstanceCore(index: number, startedAt: Millis, options: FleetSystemOptions): Core {
  const self = {
    id: `i${index}`,
    incarnation: startedAt + index + 1,
    address: `127.0.0.1:${index + 1}`,
    domain: 'd0',
    region: 'r0',
  };
  const { view } = options;
  return createCore({
    self,
    seed: index,
    settings: LONG_INTERVAL_SETTINGS,
    ...(view === undefined ? {} : { initialConfiguration: view }),
  });
}

function listInstances(cores: readonly Core[]) {
  return cores.map(({ state: { self } }) => ({
    id: self.id,
    address: self.address,
    domain: self.domain,
    region: self.region,
    state: 'live' as const,
    kind: 'instance' as const,
  }));
}

function findEarliestTimer(
  timers: readonly ReadonlyMap<TimerName, Millis>[],
  end: Millis,
): { readonly instance: number; readonly timer: TimerName; readonly at: Millis } | undefined {
  let earliest: { instance: number; timer: TimerName; at: Millis } | undefined;
  timers.forEach((instanceTimers, instance) => {
    instanceTimers.forEach((at, timer) => {
      if (at <= end && (earliest === undefined || at < earliest.at)) {
        earliest = { instance, timer, at };
      }
    });
  });
  return earliest;
}

function readStateMember(state: object, name: string): unknown {
  return (state as Readonly<Record<string, unknown>>)[name];
}

/** `JSON.stringify` replacer that serializes maps, sets and byte arrays as arrays. */
function serializeValue(_: string, value: unknown): unknown {
  if (value instanceof Map || value instanceof Set) return [...value];
  if (value instanceof Uint8Array) return [...value];
  // Pending operations hold functions; the data that they work on is in the state as well.
  return typeof value === 'function' ? undefined : value;
}
