/**
 * Several cores connected by a fake network with delay, loss, duplication, reordering and partitions,
 * and fake upstreams that serve a fixed number of requests at a time. Records the actual service of
 * every customer, for property tests and measurements of the sharing policy.
 */
import { applyView } from '../../core/configuration/configuration.js';
import type { CoreContext } from '../../core/context.js';
import { createCore, type Core } from '../../core/core.js';
import { createRandom } from '../../core/random.js';
import type { CoreSettings } from '../../core/settings.js';
import type {
  AttemptPlan,
  ConfigurationView,
  CoreEvent,
  Effect,
  InstanceId,
  InstanceIdentity,
  ListedInstance,
  RequestId,
  UpstreamId,
} from '../../core/types.js';

export interface FakeNetworkOptions {
  readonly seed: number;
  readonly view: ConfigurationView;
  readonly instances: readonly Pick<InstanceIdentity, 'id' | 'domain' | 'region'>[];
  readonly settings?: Partial<CoreSettings>;
  /** One-way delay between two instances; a request to an upstream takes 1 ms. */
  readonly delayMs?: (from: InstanceIdentity, to: InstanceIdentity) => number;
  /** Maximum additional random delay, which reorders messages. */
  readonly jitterMs?: number;
  /** Probability that a message is lost. */
  readonly loss?: number;
  /** Probability that a message is delivered twice. */
  readonly duplication?: number;
  /** Output tokens that one slot produces per second. */
  readonly tokensPerSecond?: number;
  readonly tickMs?: number;
  /** Called for every message that is sent. */
  readonly onSend?: (from: InstanceIdentity, to: InstanceIdentity, effect: SendEffect) => void;
  /** Wraps every call of `reduce`. */
  readonly onReduce?: (
    id: InstanceId,
    event: CoreEvent,
    run: () => readonly Effect[],
  ) => readonly Effect[];
}

type SendEffect = Extract<Effect, { kind: 'sendPeer' }>;

export interface Job {
  readonly requestId: RequestId;
  readonly customer: number;
  readonly instance: InstanceId;
  readonly submittedAt: number;
  readonly tokens: number;
  dispatchedAt?: number;
  firstTokenAt?: number;
  endedAt?: number;
  outcome?: 'finished' | 'refused' | 'failed';
}

export interface Submission {
  readonly instance: InstanceId;
  readonly customer: number;
  readonly tokens: number;
  /** Customer whose key the request carries, if it differs from the customer that it is recorded for. */
  readonly keyOf?: number;
  readonly promptTokens?: number;
  readonly costHint?: number;
  readonly pool?: string;
  readonly idempotent?: boolean;
  readonly prefixBlocks?: readonly string[];
}

interface Attempt {
  readonly plan: AttemptPlan;
  readonly job: Job;
  readonly instance: InstanceId;
  sentTokens: number;
  /** Tokens produced but not sent yet. The fraction of a token is carried over to the next tick. */
  unsentTokens: number;
  state: 'queued' | 'running' | 'suspended';
}

interface Node {
  readonly core: Core;
  readonly self: InstanceIdentity;
  readonly timers: Map<string, number>;
  isUp: boolean;
}

interface ScheduledAction {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

const UPSTREAM_DELAY_MS = 1;

// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- the type is inferred below
export function createFakeNetwork(options: FakeNetworkOptions) {
  const random = createRandom(options.seed);
  const nodes = new Map<InstanceId, Node>();
  const jobs = new Map<RequestId, Job>();
  const engines = new Map<UpstreamId, Map<string, Attempt>>();
  /** Actual service per customer, in tokens. */
  const served = new Map<number, number>();
  const waiting = new Map<number, Set<RequestId>>();
  /** Last time at which all slots of an upstream were busy or it started a request. */
  const lastBusyAt = new Map<UpstreamId, number>();
  const heap: ScheduledAction[] = [];
  const tickMs = options.tickMs ?? 10;
  const tokensPerTick = ((options.tokensPerSecond ?? 100) * tickMs) / 1_000;
  let currentView = options.view;
  let listedInstances: readonly ListedInstance[] = [];
  let isCut: (from: InstanceId, to: string) => boolean = () => false;
  let now = 0;
  let nextOrder = 0;
  let jobNumber = 0;
  let busySlotMs = 0;

  function schedule(at: number, run: () => void): void {
    nextOrder += 1;
    pushHeap(heap, { at, order: nextOrder, run });
  }

  function startNode(id: InstanceId): void {
    const place = options.instances.find((instance) => instance.id === id);
    if (place === undefined) throw new Error(`instance ${id} does not exist`);
    const self = { ...place, incarnation: 1_000 + Math.floor(now), address: `${id}:1` };
    const core = createCore({
      self,
      seed: options.seed + nodes.size + now,
      initialConfiguration: currentView,
      ...(options.settings === undefined ? {} : { settings: options.settings }),
    });
    nodes.set(id, { core, self, timers: new Map(), isUp: true });
    post(id, { kind: 'start' });
  }

  /** Stops a node abruptly. Its requests are lost. */
  function crash(id: InstanceId): void {
    const node = nodes.get(id);
    if (node !== undefined) node.isUp = false;
    engines.forEach((attempts) => {
      attempts.forEach((attempt, key) => attempt.instance === id && attempts.delete(key));
    });
    jobs.forEach(
      (job) => job.instance === id && job.endedAt === undefined && endJob(job, 'failed'),
    );
  }

  function post(id: InstanceId, event: CoreEvent): void {
    const node = nodes.get(id);
    if (!node?.isUp) return;
    const run = () => node.core.reduce(event, now);
    const effects = options.onReduce === undefined ? run() : options.onReduce(id, event, run);
    effects.forEach((effect) => perform(node, effect));
  }

  function perform(node: Node, effect: Effect): void {
    const { id } = node.self;
    switch (effect.kind) {
      case 'setTimer':
        setTimer(node, effect.timer, effect.at);
        return;
      case 'sendPeer':
        send(node, effect);
        return;
      case 'dispatch':
        schedule(now + UPSTREAM_DELAY_MS, () => startAttempt(node, effect.attempt));
        return;
      case 'cancelAttempt':
        engines.get(effect.upstream)?.delete(effect.attemptId);
        post(id, {
          kind: 'attemptEnded',
          attemptId: effect.attemptId,
          outcome: { kind: 'cancelled' },
        });
        return;
      case 'suspendAttempt':
      case 'resumeAttempt': {
        const attempt = engines.get(effect.upstream)?.get(effect.attemptId);
        const state = effect.kind === 'suspendAttempt' ? 'suspended' : 'queued';
        if (attempt !== undefined) attempt.state = state;
        return;
      }
      case 'pollUpstream':
        schedule(now + 2 * UPSTREAM_DELAY_MS, () => report(node, effect.upstream));
        return;
      case 'readInstanceList':
        schedule(now + 5, () => post(id, { kind: 'instanceList', instances: listedInstances }));
        return;
      case 'finishAnswer':
      case 'refuse':
      case 'fail': {
        const job = jobs.get(effect.requestId);
        const outcome = { finishAnswer: 'finished', refuse: 'refused', fail: 'failed' } as const;
        if (job !== undefined) endJob(job, outcome[effect.kind]);
        break;
      }
      default:
    }
  }

  function setTimer(node: Node, timer: Extract<Effect, { kind: 'setTimer' }>['timer'], at: number) {
    nextOrder += 1;
    const token = nextOrder;
    node.timers.set(timer, token);
    schedule(Math.max(at, now), () => {
      if (node.timers.get(timer) === token && node.isUp) {
        post(node.self.id, { kind: 'timer', timer });
      }
    });
  }

  function send(from: Node, effect: SendEffect): void {
    const to = nodes.get(effect.to);
    if (to === undefined) return;
    options.onSend?.(from.self, to.self, effect);
    if (isCut(from.self.id, effect.to) || random.next() < (options.loss ?? 0)) return;
    const copies = random.next() < (options.duplication ?? 0) ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const delay = options.delayMs?.(from.self, to.self) ?? 1;
      schedule(now + delay + random.next() * (options.jitterMs ?? 0), () => {
        post(effect.to, {
          kind: 'peerMessage',
          from: from.self.id,
          incarnation: from.self.incarnation,
          message: effect.message,
        });
      });
    }
  }

  function startAttempt(node: Node, plan: AttemptPlan): void {
    const job = jobs.get(plan.requestId);
    if (job === undefined || !node.isUp) return;
    if (isCut(node.self.id, plan.upstream)) {
      const outcome = { kind: 'notSent', detail: 'cut off' } as const;
      post(node.self.id, { kind: 'attemptEnded', attemptId: plan.attemptId, outcome });
      return;
    }
    const attempt: Attempt = {
      plan,
      job,
      instance: node.self.id,
      sentTokens: plan.resumeFromToken,
      unsentTokens: 0,
      state: 'queued',
    };
    job.dispatchedAt ??= now;
    waiting.get(job.customer)?.delete(job.requestId);
    attemptsOn(plan.upstream).set(plan.attemptId, attempt);
    startQueued(plan.upstream);
  }

  function attemptsOn(upstream: UpstreamId): Map<string, Attempt> {
    const attempts = engines.get(upstream) ?? new Map<string, Attempt>();
    engines.set(upstream, attempts);
    return attempts;
  }

  function startQueued(upstream: UpstreamId): void {
    const slots = options.view.upstreams.get(upstream)?.slots ?? 0;
    const attempts = [...attemptsOn(upstream).values()];
    let running = attempts.filter((attempt) => attempt.state === 'running').length;
    attempts.forEach((attempt) => {
      if (attempt.state !== 'queued' || running >= slots) return;
      attempt.state = 'running';
      running += 1;
      lastBusyAt.set(upstream, now);
    });
    if (running >= slots) lastBusyAt.set(upstream, now);
  }

  function tickEngines(): void {
    engines.forEach((attempts, upstream) => {
      attempts.forEach((attempt, id) => {
        if (attempt.state !== 'running') return;
        busySlotMs += tickMs;
        advance(attempt, id, attempts);
      });
      startQueued(upstream);
    });
    schedule(now + tickMs, tickEngines);
  }

  function advance(attempt: Attempt, id: string, attempts: Map<string, Attempt>): void {
    attempt.unsentTokens += tokensPerTick;
    const tokens = Math.min(
      Math.floor(attempt.unsentTokens),
      attempt.job.tokens - attempt.sentTokens,
    );
    attempt.unsentTokens -= tokens;
    attempt.sentTokens += tokens;
    if (tokens > 0) {
      attempt.job.firstTokenAt ??= now;
      served.set(attempt.job.customer, (served.get(attempt.job.customer) ?? 0) + tokens);
      post(attempt.instance, {
        kind: 'attemptProgress',
        attemptId: id,
        outputTokens: tokens,
        bytes: tokens,
      });
    }
    if (attempt.sentTokens < attempt.job.tokens) return;
    attempts.delete(id);
    const outcome = { kind: 'complete', status: 200, outputTokens: attempt.sentTokens } as const;
    post(attempt.instance, { kind: 'attemptEnded', attemptId: id, outcome });
  }

  function report(node: Node, upstream: UpstreamId): void {
    const noCacheEvents = { cacheEvents: [], cacheNext: 0, cacheGap: false };
    if (isCut(node.self.id, upstream)) {
      post(node.self.id, { kind: 'upstreamReport', upstream, ...noCacheEvents });
      return;
    }
    const attempts = [...attemptsOn(upstream).values()];
    const running = attempts.filter((attempt) => attempt.state === 'running').length;
    post(node.self.id, {
      kind: 'upstreamReport',
      upstream,
      report: {
        running,
        queued: attempts.filter((attempt) => attempt.state === 'queued').length,
        slots: options.view.upstreams.get(upstream)?.slots ?? 0,
        tokensPerSecond: running * (options.tokensPerSecond ?? 100),
        model: '',
        version: '',
        role: '',
        adapters: [],
        orderNumber: 0,
        epoch: '1',
      },
      ...noCacheEvents,
    });
  }

  function endJob(job: Job, outcome: NonNullable<Job['outcome']>): void {
    job.endedAt = now;
    job.outcome = outcome;
    waiting.get(job.customer)?.delete(job.requestId);
  }

  function submit(submission: Submission): Job {
    jobNumber += 1;
    const requestId = `q${jobNumber}`;
    const { instance, customer, tokens } = submission;
    const job: Job = { requestId, customer, instance, submittedAt: now, tokens };
    jobs.set(requestId, job);
    const ofCustomer = waiting.get(customer) ?? new Set();
    waiting.set(customer, ofCustomer);
    ofCustomer.add(requestId);
    post(instance, {
      kind: 'callerRequest',
      requestId,
      keyHash: `hash-${submission.keyOf ?? customer}`,
      pool: submission.pool ?? [...options.view.pools.keys()][0] ?? '',
      method: 'POST',
      path: '/',
      idempotent: submission.idempotent ?? true,
      fingerprint: requestId,
      bodyBytes: 100,
      promptTokens: submission.promptTokens ?? 0,
      ...(submission.costHint === undefined ? {} : { costHint: submission.costHint }),
      prefixBlocks: submission.prefixBlocks ?? [],
      streamed: true,
      deadlineInMs: 3_600_000,
    });
    return job;
  }

  /** Applies a newer view on every node at once. The upstreams must be those of the initial view. */
  function publish(view: ConfigurationView): void {
    currentView = view;
    nodes.forEach((node) => {
      const effects: Effect[] = [];
      const ctx: CoreContext = {
        state: node.core.state,
        now,
        emit: (effect) => effects.push(effect),
        deliverToSelf: () => {
          throw new Error('applying a view must not send a message to its own instance');
        },
      };
      if (node.isUp) applyView(ctx, view);
      effects.forEach((effect) => perform(node, effect));
    });
  }

  function runUntil(until: number): void {
    while (heap[0] !== undefined && heap[0].at <= until) {
      const next = popHeap(heap) as ScheduledAction;
      now = Math.max(now, next.at);
      next.run();
    }
    now = until;
  }

  function list(ids: readonly InstanceId[]): void {
    listedInstances = options.instances
      .filter((instance) => ids.includes(instance.id))
      .map((place) => ({ ...place, address: `${place.id}:1`, state: 'live', kind: 'instance' }));
  }

  list(options.instances.map((instance) => instance.id));
  options.instances.forEach((instance) => startNode(instance.id));
  schedule(tickMs, tickEngines);

  return {
    nodes,
    view: options.view,
    jobs,
    served,
    waiting,
    now: () => now,
    busySlotMs: () => busySlotMs,
    /** Time for which an upstream has had a free slot and started no request. */
    idleFor: (upstream: UpstreamId) => now - (lastBusyAt.get(upstream) ?? 0),
    at: schedule,
    submit,
    publish,
    runUntil,
    post,
    crash,
    restart: startNode,
    list,
    /** Cuts all links, including those to upstreams, for which `rule` returns true. */
    partition: (rule: (from: InstanceId, to: string) => boolean) => {
      isCut = rule;
    },
    heal: () => {
      isCut = () => false;
    },
    runningOn: (upstream: UpstreamId) =>
      [...attemptsOn(upstream).values()].filter((attempt) => attempt.state !== 'suspended').length,
    suspendedOn: (upstream: UpstreamId) =>
      [...attemptsOn(upstream).values()].filter((attempt) => attempt.state === 'suspended').length,
  };
}

export type FakeNetwork = ReturnType<typeof createFakeNetwork>;

const isBefore = (a: ScheduledAction, b: ScheduledAction) =>
  a.at < b.at || (a.at === b.at && a.order < b.order);

function pushHeap(heap: ScheduledAction[], item: ScheduledAction): void {
  let i = heap.length;
  heap.push(item);
  while (i > 0) {
    const parent = (i - 1) >> 1;
    if (!isBefore(item, heap[parent] as ScheduledAction)) break;
    heap[i] = heap[parent] as ScheduledAction;
    i = parent;
  }
  heap[i] = item;
}

function popHeap(heap: ScheduledAction[]): ScheduledAction | undefined {
  const top = heap[0];
  const last = heap.pop();
  if (heap.length === 0 || last === undefined) return top;
  let i = 0;
  for (;;) {
    let child = 2 * i + 1;
    if (child >= heap.length) break;
    const right = heap[child + 1];
    if (right !== undefined && isBefore(right, heap[child] as ScheduledAction)) child += 1;
    if (!isBefore(heap[child] as ScheduledAction, last)) break;
    heap[i] = heap[child] as ScheduledAction;
    i = child;
  }
  heap[i] = last;
  return top;
}
