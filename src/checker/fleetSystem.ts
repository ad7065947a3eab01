/**
 * A fleet of real cores as a system with choices. The choices are the events whose order and fate
 * decide the exact protocols: appends, reads, ends of attempts, arrivals, pauses and restarts.
 * Everything else (timers, messages between instances) happens at once, in a fixed order.
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
import type { ChoiceSystem } from './explore.js';

/** How an instance sees the log; the identity unless a check switches a rule off. */
export type LogLens = (
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
  /** Events from callers or operators; each arrives once, in any order. */
  readonly arrivals: readonly Arrival[];
  /** How many appends may be lost before or after their effect, and how many reads may fail. */
  readonly faults: number;
  readonly lens?: LogLens;
  /** Records that are in the log from the beginning, by stream. */
  readonly preload?: Readonly<Record<string, readonly string[]>>;
  /** Whether an instance may restart empty, as one of the faults. */
  readonly restarts?: boolean;
  /** Streams whose appends and reads are choices; others are served at once. */
  readonly streams: readonly string[];
  /** Matters of the core's state that tell two states apart. */
  readonly matters: readonly string[];
  /** Judges the whole system after each choice. */
  readonly judge: (observed: Observed) => string | undefined;
}

/** What an outsider sees of the fleet. */
export interface Observed {
  readonly cores: readonly Core[];
  readonly logs: ReadonlyMap<string, readonly StreamRecord[]>;
  /** Requests dispatched to the upstream, in order. */
  readonly dispatched: readonly RequestId[];
  /** Final answers by request. */
  readonly outcomes: ReadonlyMap<RequestId, readonly Effect[]>;
  /** Versions in force by instance since its start, in order. */
  readonly versions: readonly (readonly number[])[];
  /** Replies to operators by command. */
  readonly verdicts: ReadonlyMap<string, Effect>;
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
  /** Time at which the log answers a reader for whom nothing new has come. */
  readonly heldUntil: Millis;
}

interface PendingAttempt {
  readonly instance: number;
  readonly attemptId: AttemptId;
  readonly requestId: RequestId;
}

const CHOICE_TAKES_MS: Millis = 60;
/** Matters that take no part in the exact protocols are kept quiet, so that a state costs less. */
const QUIET_SETTINGS = {
  exchangeMs: 60_000,
  limitsMs: 60_000,
  pollMs: 60_000,
  holdReportMs: 60_000,
  pullMs: 60_000,
} as const;
const WAIT_MS: Millis = 1_000;
const SETTLING_ROUNDS = 10;
const SETTLING_ROUND_MS: Millis = 300;
const MAX_EVENTS_PER_CHOICE = 2_000;

export function createFleetSystem(options: FleetSystemOptions): ChoiceSystem {
  const cores = Array.from({ length: options.instances }, (_, i) =>
    createInstanceCore(i, 0, options),
  );
  const logs = new Map<string, StreamRecord[]>();
  Object.entries(options.preload ?? {}).forEach(([stream, records]) => {
    logs.set(
      stream,
      records.map((data, offset) => ({ offset, data })),
    );
  });
  const versions = cores.map((): number[] => []);
  const verdicts = new Map<string, Effect>();
  const timers = cores.map(() => new Map<TimerName, Millis>());
  const dispatched: RequestId[] = [];
  const outcomes = new Map<RequestId, Effect[]>();
  const left = new Set(options.arrivals.map((_, i) => i));
  let appends: PendingAppend[] = [];
  let reads: PendingRead[] = [];
  let attempts: PendingAttempt[] = [];
  let inbox: { readonly to: number; readonly event: CoreEvent }[] = [];
  let { faults } = options;
  let now: Millis = 0;

  function post(to: number, event: CoreEvent): void {
    inbox.push({ to, event });
  }

  function drainInbox(): void {
    for (let i = 0; inbox.length > 0; i += 1) {
      if (i > MAX_EVENTS_PER_CHOICE) throw new Error('the fleet does not come to rest');
      const [first] = inbox;
      inbox = inbox.slice(1);
      if (first !== undefined) reduceAt(first.to, first.event);
    }
  }

  function reduceAt(instance: number, event: CoreEvent): void {
    const core = cores[instance];
    core?.reduce(event, now).forEach((effect) => perform(instance, effect));
    const version = core?.state.configuration.view?.version;
    const seen = versions[instance];
    if (version !== undefined && seen !== undefined && seen.at(-1) !== version) seen.push(version);
  }

  function perform(instance: number, effect: Effect): void {
    switch (effect.kind) {
      case 'setTimer':
        timers[instance]?.set(effect.timer, effect.at);
        return;
      case 'sendPeer': {
        const self = cores[instance]?.state.self;
        const to = cores.findIndex((core) => core.state.self.id === effect.to);
        if (to < 0 || self === undefined) return;
        post(to, {
          kind: 'peerMessage',
          from: self.id,
          incarnation: self.incarnation,
          message: effect.message,
        });
        return;
      }
      case 'appendLog':
        appends = [...appends, { instance, ...effect }];
        if (!options.streams.includes(effect.stream)) settleAppend(appends.length - 1, 'append');
        return;
      case 'readLog':
        reads = reads.filter((read) => read.instance !== instance || read.stream !== effect.stream);
        reads = [
          ...reads,
          {
            instance,
            stream: effect.stream,
            from: effect.from,
            heldUntil: now + effect.waitMs,
          },
        ];
        return;
      case 'readInstanceList':
        post(instance, { kind: 'instanceList', instances: listInstances(cores) });
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
        verdicts.set(effect.commandId, effect);
        break;
      default:
    }
  }

  /** Serves reads at once for a while, until the instances know what is in the log. */
  function settle(): void {
    for (let i = 0; i < SETTLING_ROUNDS; i += 1) {
      serveReads();
      advance(SETTLING_ROUND_MS);
    }
  }

  function serveReads(): void {
    for (;;) {
      const at = reads.findIndex((read) => visibleRecords(read).length > 0);
      if (at < 0) return;
      settleRead(at, true);
      drainInbox();
    }
  }

  function advance(span: Millis): void {
    const end = now + span;
    for (;;) {
      answerHeldReads();
      const due = earliestTimer(timers, end);
      if (due === undefined) break;
      now = Math.max(now, due.at);
      timers[due.instance]?.delete(due.timer);
      post(due.instance, { kind: 'timer', timer: due.timer });
      drainInbox();
    }
    now = end;
    answerHeldReads();
  }

  /** Answers the reads that were held back long enough and for which there is nothing new. */
  function answerHeldReads(): void {
    const idle = reads.filter((read) => read.heldUntil <= now && visibleRecords(read).length === 0);
    if (idle.length === 0) return;
    reads = reads.filter((read) => !idle.includes(read));
    idle.forEach(({ instance, stream, from }) => {
      const result = { kind: 'records', records: [], next: from } as const;
      post(instance, { kind: 'logRead', stream, from, result });
    });
    drainInbox();
  }

  function choices(): readonly string[] {
    const canFail = faults > 0;
    const open = [
      ...[...left].map((i) => `arrive ${i}`),
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
    // Nothing happens for a while: always possible, but a fault as long as something is under way.
    return canFail || open.length === 0 ? [...open, 'wait'] : open;
  }

  function visibleRecords(read: PendingRead): readonly StreamRecord[] {
    const records = logs.get(read.stream) ?? [];
    const self = cores[read.instance]?.state.self;
    if (self === undefined) return [];
    const seen = options.lens?.(records, self, read.stream) ?? records;
    return seen.filter((record) => record.offset >= read.from);
  }

  function apply(choice: string): void {
    const [action, index] = choice.split(' ');
    const at = Number(index);
    if (isFault(action) && faults > 0) faults -= 1;
    switch (action) {
      case 'arrive': {
        const arrival = options.arrivals[at];
        left.delete(at);
        if (arrival !== undefined) post(arrival.instance, arrival.event);
        break;
      }
      case 'append':
      case 'append-lost-reply':
      case 'append-rejected':
        settleAppend(at, action);
        break;
      case 'read':
      case 'read-fails':
        settleRead(at, action === 'read');
        break;
      case 'restart':
        restart(at);
        break;
      case 'complete':
      case 'cut':
        settleAttempt(at, action === 'complete');
        break;
      default:
    }
    drainInbox();
    advance(choice === 'wait' ? WAIT_MS : CHOICE_TAKES_MS);
  }

  /** Replaces an instance by an empty one; what it had under way is lost with it. */
  function restart(at: number): void {
    cores[at] = createInstanceCore(at, now, options);
    timers[at]?.clear();
    versions[at]?.splice(0);
    reads = reads.filter((read) => read.instance !== at);
    attempts = attempts.filter((attempt) => attempt.instance !== at);
    post(at, { kind: 'start' });
  }

  function settleAppend(at: number, action: string): void {
    const append = appends[at];
    if (append === undefined) return;
    appends = appends.filter((other) => other !== append);
    const { appendId, stream } = append;
    const log = logs.get(stream) ?? [];
    const offset = log.length;
    if (action !== 'append-rejected') {
      logs.set(stream, [
        ...log,
        ...append.records.map((data, i) => ({ offset: offset + i, data })),
      ]);
    }
    const detail = 'switched by the checker';
    post(append.instance, {
      kind: 'appendSettled',
      appendId,
      stream,
      result:
        action === 'append'
          ? { kind: 'appended', offset }
          : { kind: action === 'append-rejected' ? 'rejected' : 'unknown', detail },
    });
  }

  function settleRead(at: number, succeeds: boolean): void {
    const read = reads[at];
    if (read === undefined) return;
    reads = reads.filter((other) => other !== read);
    const records = visibleRecords(read);
    const next = Math.max(read.from, ...records.map((record) => record.offset + 1));
    post(read.instance, {
      kind: 'logRead',
      stream: read.stream,
      from: read.from,
      result: succeeds
        ? { kind: 'records', records, next }
        : { kind: 'failed', detail: 'switched by the checker' },
    });
  }

  function settleAttempt(at: number, isComplete: boolean): void {
    const attempt = attempts[at];
    if (attempt === undefined) return;
    attempts = attempts.filter((other) => other !== attempt);
    const answer = { status: 200, contentType: 'text/plain', body: new Uint8Array() };
    post(attempt.instance, {
      kind: 'attemptEnded',
      attemptId: attempt.attemptId,
      outcome: isComplete
        ? { kind: 'complete', status: 200, outputTokens: 1, answer }
        : { kind: 'cut', detail: 'switched by the checker' },
    });
  }

  function key(): string {
    const matters = cores.map(({ state }) => options.matters.map((name) => matterOf(state, name)));
    const open = [appends, reads, attempts, [...left], faults];
    const observed = [logs, dispatched, outcomes, verdicts, versions];
    return JSON.stringify([now, matters, open, observed], encodeValue);
  }

  cores.forEach((_, i) => post(i, { kind: 'start' }));
  drainInbox();
  settle();
  return {
    choices,
    apply,
    key,
    violation: () => options.judge({ cores, logs, dispatched, outcomes, versions, verdicts }),
  };
}

const FAULTS: ReadonlySet<string> = new Set([
  'append-lost-reply',
  'append-rejected',
  'read-fails',
  'cut',
  'restart',
  'wait',
]);

function isFault(action: string | undefined): boolean {
  return action !== undefined && FAULTS.has(action);
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
    settings: QUIET_SETTINGS,
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

function earliestTimer(
  timers: readonly ReadonlyMap<TimerName, Millis>[],
  end: Millis,
): { readonly instance: number; readonly timer: TimerName; readonly at: Millis } | undefined {
  let earliest: { instance: number; timer: TimerName; at: Millis } | undefined;
  timers.forEach((ofInstance, instance) => {
    ofInstance.forEach((at, timer) => {
      if (at <= end && (earliest === undefined || at < earliest.at)) {
        earliest = { instance, timer, at };
      }
    });
  });
  return earliest;
}

function matterOf(state: object, name: string): unknown {
  return (state as Readonly<Record<string, unknown>>)[name];
}

/** Lets maps, sets and byte arrays take part in a key. */
function encodeValue(_: string, value: unknown): unknown {
  if (value instanceof Map || value instanceof Set) return [...value];
  if (value instanceof Uint8Array) return [...value];
  // Work under way holds functions; what it works on is in the state besides.
  return typeof value === 'function' ? undefined : value;
}
