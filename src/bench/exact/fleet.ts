/**
 * Several real cores connected to fakes of the log, the upstreams and the peer links, in simulated
 * time. The fakes can inject every fault under which outcomes must stay exact.
 */
import { createCore, type Core } from '../../core/core.js';
import type { Millis } from '../../core/clock.js';
import { createRandom, type Random } from '../../core/random.js';
import type { CoreSettings } from '../../core/settings.js';
import type {
  ConfigurationView,
  CoreEvent,
  Effect,
  InstanceId,
  ListedInstance,
  LogReadResult,
  OperatorCommand,
  UpstreamId,
} from '../../core/types.js';
import { createFakeLog, type FakeLog } from './fakeLog.js';
import { createFakePeers, type FakePeers } from './fakePeers.js';
import { createFakeUpstreams, type FakeUpstreams } from './fakeUpstreams.js';
import { createModel, type Model } from './model.js';
import { createSchedule, type Schedule } from './schedule.js';
import { MODEL_POOL, createExactView, SERVICE_POOL } from './view.js';

export interface ExactFleetOptions {
  readonly seed: number;
  readonly instances?: number;
  readonly upstreams?: number;
  readonly slots?: number;
  readonly logDelayMs?: Millis;
  readonly logRetentionMs?: Millis;
  readonly tokenMs?: Millis;
  readonly settings?: Partial<CoreSettings>;
  /** Hides the claims of other instances from each reader, which violates the first-claim-wins rule. */
  readonly hidesForeignClaims?: boolean;
}

/** A request that a caller submits. */
export interface RequestSpec {
  readonly pool: 'chat' | 'desk';
  readonly customer: number;
  readonly outputTokens: number;
  readonly key?: string;
  readonly isCrashing?: boolean;
  /** Identifies the request's content. Unique by default. */
  readonly content?: string;
}

export interface ExactFleet {
  readonly schedule: Schedule;
  readonly random: Random;
  readonly log: FakeLog;
  readonly peers: FakePeers;
  readonly upstreams: FakeUpstreams;
  readonly model: Model;
  readonly ids: readonly InstanceId[];
  readonly stopped: Set<InstanceId>;
  readonly coreOf: (id: InstanceId) => Core | undefined;
  /** Sends a request to an instance and returns its ID. */
  readonly submit: (to: InstanceId, spec: RequestSpec) => string;
  /** Starts an instance with empty state. */
  readonly start: (id: InstanceId) => void;
  readonly kill: (id: InstanceId) => void;
  readonly stop: (id: InstanceId) => void;
  readonly pause: (id: InstanceId, span: Millis) => void;
  /** Makes the instance list show an upstream as leaving, or as live again. */
  readonly setLeaving: (upstream: UpstreamId, isLeaving: boolean) => void;
  /** Closes the connection of the caller of a request. */
  readonly disconnectCaller: (requestId: string) => void;
  /** Sends an operator command to an instance. */
  readonly operate: (id: InstanceId, command: OperatorCommand) => void;
  readonly runFor: (span: Millis) => void;
}

interface Node {
  readonly core: Core;
  readonly incarnation: number;
  readonly timers: Map<string, number>;
  readonly openRequests: Set<string>;
  /** Upstreams listed as leaving, with the time at which this instance learned of it. */
  readonly leaving: Map<UpstreamId, Millis>;
  pausedUntil: Millis;
}

const PEER_DELAY_MS = 5;
const LIST_DELAY_MS = 20;
const POLL_DELAY_MS = 4;
const DEADLINE_MS = 15_000;
const DOMAINS = 3;

export function createExactFleet(options: ExactFleetOptions): ExactFleet {
  const random = createRandom(options.seed);
  const schedule = createSchedule();
  const upstreamCount = options.upstreams ?? 8;
  const view: ConfigurationView = createExactView({
    version: 1,
    upstreams: upstreamCount,
    slots: options.slots ?? 4,
  });
  const ids = Array.from({ length: options.instances ?? 3 }, (_, i) => `i${i}`);
  const nodes = new Map<InstanceId, Node>();
  const stopped = new Set<InstanceId>();
  const leaving = new Set<UpstreamId>();
  const model = createModel();
  let incarnations = 0;
  let requests = 0;

  const log = createFakeLog({
    schedule,
    random,
    delayMs: options.logDelayMs ?? 20,
    retentionMs: options.logRetentionMs ?? 3_600_000,
  });
  const upstreams = createFakeUpstreams({
    schedule,
    random,
    workOf: (id) => {
      const submission = model.submissions.get(id);
      return submission ?? { outputTokens: 0, isCrashing: false };
    },
    tokenMs: options.tokenMs ?? 20,
    downMs: 2_000,
  });
  const peers = createFakePeers({
    schedule,
    random,
    delayMs: PEER_DELAY_MS,
    deliver: (from, to, message) => {
      const sender = nodes.get(from);
      const receiver = nodes.get(to);
      if (sender === undefined || receiver === undefined) return;
      const { incarnation } = sender;
      post(to, receiver, { kind: 'peerMessage', from, incarnation, message });
    },
  });

  function post(id: InstanceId, node: Node, event: CoreEvent): void {
    if (nodes.get(id) !== node) {
      // The instance is down, so the caller's connection is refused and no request was accepted.
      if (event.kind === 'callerRequest') model.exemptRequests.add(event.requestId);
      return;
    }
    if (node.pausedUntil > schedule.now()) {
      schedule.after(node.pausedUntil - schedule.now(), () => post(id, node, event));
      return;
    }
    node.core.reduce(event, schedule.now()).forEach((effect) => perform(id, node, effect));
  }

  function perform(id: InstanceId, node: Node, effect: Effect): void {
    model.onEffect(effect);
    switch (effect.kind) {
      case 'dispatch':
        model.onDispatch(
          effect.attempt,
          timeSinceLeaving(node, effect.attempt.upstream),
          schedule.now(),
        );
        upstreams.dispatch(effect.attempt, (event) => {
          if (nodes.get(id) !== node) return;
          const isTokens = event.kind === 'attemptProgress';
          if (isTokens) model.onTokens(effect.attempt.requestId, event.outputTokens);
          post(id, node, event);
        });
        return;
      case 'cancelAttempt':
        upstreams.cancel(effect.attemptId);
        return;
      case 'moveCache':
        upstreams.moveCache();
        return;
      case 'sendPeer':
        peers.send(id, effect.to, effect.message);
        return;
      case 'readLog':
        log.read(effect.stream, effect.from, effect.limit, effect.waitMs, (result) => {
          const { stream, from } = effect;
          const shown =
            options.hidesForeignClaims === true ? hideForeignClaims(result, id) : result;
          post(id, node, { kind: 'logRead', stream, from, result: shown });
        });
        return;
      case 'appendLog':
        log.append(effect.stream, effect.records, (result) => {
          const { appendId, stream } = effect;
          post(id, node, { kind: 'appendSettled', appendId, stream, result });
        });
        return;
      case 'readInstanceList':
        schedule.after(LIST_DELAY_MS, () => {
          recordLeaving(node);
          post(id, node, { kind: 'instanceList', instances: listInstances() });
        });
        return;
      case 'pollUpstream':
        schedule.after(POLL_DELAY_MS, () => post(id, node, createReport(effect.upstream)));
        return;
      case 'setTimer':
        setNodeTimer(id, node, effect.timer, effect.at);
        return;
      case 'stopped':
        stopped.add(id);
        nodes.delete(id);
        break;
      default:
    }
  }

  function recordLeaving(node: Node): void {
    node.leaving.forEach((_, upstream) => leaving.has(upstream) || node.leaving.delete(upstream));
    leaving.forEach((upstream) => {
      if (!node.leaving.has(upstream)) node.leaving.set(upstream, schedule.now());
    });
  }

  function timeSinceLeaving(node: Node, upstream: UpstreamId): Millis {
    return schedule.now() - (node.leaving.get(upstream) ?? schedule.now());
  }

  function setNodeTimer(
    id: InstanceId,
    node: Node,
    timer: Extract<Effect, { readonly kind: 'setTimer' }>['timer'],
    at: Millis,
  ): void {
    const token = (node.timers.get(timer) ?? 0) + 1;
    node.timers.set(timer, token);
    schedule.after(at - schedule.now(), () => {
      if (node.timers.get(timer) === token) post(id, node, { kind: 'timer', timer });
    });
  }

  function listInstances(): readonly ListedInstance[] {
    const listed: ListedInstance[] = [...nodes].map(([id, node]) => ({
      ...node.core.state.self,
      id,
      state: 'live',
      kind: 'instance',
    }));
    view.upstreams.forEach(({ id, domain, region }) => {
      const state = leaving.has(id) ? 'leaving' : 'live';
      listed.push({ id, address: '', domain, region, state, kind: 'upstream' });
    });
    return listed;
  }

  function createReport(id: UpstreamId): CoreEvent {
    const common = {
      kind: 'upstreamReport',
      upstream: id,
      cacheEvents: [],
      cacheNext: 0,
      cacheGap: false,
    } as const;
    if (upstreams.isDown(id)) return common;
    const report = {
      running: 0,
      queued: 0,
      slots: options.slots ?? 4,
      tokensPerSecond: 50,
      model: '',
      version: '',
      role: '',
      adapters: [],
      orderNumber: 0,
      epoch: upstreams.epochOf(id),
    };
    return { ...common, report };
  }

  function start(id: InstanceId): void {
    kill(id);
    incarnations += 1;
    const domain = ids.indexOf(id) % DOMAINS;
    const self = {
      id,
      incarnation: incarnations,
      address: `127.0.0.1:${ids.indexOf(id) + 1}`,
      domain: `d${domain}`,
      region: `r${domain}`,
    };
    const seed = options.seed + incarnations;
    const settings = { idleTimeoutMs: 2_000, firstByteTimeoutMs: 2_000, ...options.settings };
    const core = createCore({ self, seed, settings, initialConfiguration: view });
    const node: Node = {
      core,
      incarnation: incarnations,
      timers: new Map(),
      openRequests: new Set(),
      leaving: new Map(),
      pausedUntil: 0,
    };
    stopped.delete(id);
    nodes.set(id, node);
    post(id, node, { kind: 'start' });
  }

  function kill(id: InstanceId): void {
    const node = nodes.get(id);
    nodes.delete(id);
    node?.openRequests.forEach((requestId) => {
      if (!model.outcomes.has(requestId)) model.exemptRequests.add(requestId);
    });
  }

  function submit(to: InstanceId, spec: RequestSpec): string {
    requests += 1;
    const requestId = `q${requests}`;
    const node = nodes.get(to);
    const fingerprint = spec.content ?? requestId;
    model.submit({
      requestId,
      instance: to,
      at: schedule.now(),
      isIdempotent: spec.pool === 'chat',
      fingerprint,
      outputTokens: spec.outputTokens,
      isCrashing: spec.isCrashing ?? false,
      ...(spec.key === undefined ? {} : { key: spec.key }),
    });
    if (node === undefined) {
      model.exemptRequests.add(requestId);
      return requestId;
    }
    node.openRequests.add(requestId);
    post(to, node, {
      kind: 'callerRequest',
      requestId,
      keyHash: `hash-${spec.customer}`,
      pool: spec.pool === 'chat' ? MODEL_POOL : SERVICE_POOL,
      method: 'POST',
      path: '/',
      fingerprint,
      bodyBytes: 100,
      promptTokens: spec.pool === 'chat' ? 10 : 0,
      prefixBlocks: [],
      streamed: spec.pool === 'chat',
      deadlineInMs: DEADLINE_MS,
      ...(spec.key === undefined ? {} : { idempotencyKey: spec.key }),
    });
    return requestId;
  }

  function disconnectCaller(requestId: string): void {
    const id = model.submissions.get(requestId)?.instance ?? '';
    const node = nodes.get(id);
    if (node === undefined || model.outcomes.has(requestId)) return;
    model.exemptRequests.add(requestId);
    post(id, node, { kind: 'callerGone', requestId });
  }

  ids.forEach(start);
  return {
    schedule,
    random,
    log,
    peers,
    upstreams,
    model,
    ids,
    stopped,
    coreOf: (id) => nodes.get(id)?.core,
    submit,
    start,
    kill,
    stop: (id) => {
      const node = nodes.get(id);
      if (node !== undefined) post(id, node, { kind: 'plannedStop' });
    },
    pause: (id, span) => {
      const node = nodes.get(id);
      if (node !== undefined) node.pausedUntil = schedule.now() + span;
    },
    setLeaving: (upstream, isLeaving) => {
      if (isLeaving) leaving.add(upstream);
      else leaving.delete(upstream);
    },
    disconnectCaller,
    operate: (id, command) => {
      const node = nodes.get(id);
      if (node === undefined) return;
      post(id, node, { kind: 'operatorCommand', commandId: 'command', command });
    },
    runFor: (span) => schedule.runUntil(schedule.now() + span),
  };
}

function hideForeignClaims(result: LogReadResult, reader: InstanceId): LogReadResult {
  if (result.kind !== 'records') return result;
  const isShown = (data: string) => {
    const record = JSON.parse(data) as { type: string; instance?: string };
    return record.type !== 'claim' || record.instance === reader;
  };
  return { ...result, records: result.records.filter(({ data }) => isShown(data)) };
}
