/**
 * Several cores with a fake clock, a fake network and a fake log, for tests and measurements of the
 * configuration. Messages have a fixed latency. Links, the log and individual replies can fail.
 */
import { createCore, type Core } from '../../core/core.js';
import type { FakeEngines } from './fakeEngines.js';
import { createRandom } from '../../core/random.js';
import type { CoreSettings } from '../../core/settings.js';
import type {
  CoreEvent,
  Effect,
  InstanceId,
  ListedInstance,
  LogReadResult,
  OperatorCommand,
  OperatorResult,
  PeerMessage,
} from '../../core/types.js';

export interface FakeInstance {
  readonly id: InstanceId;
  readonly domain: string;
  core: Core;
  incarnation: number;
  isUp: boolean;
}

export interface FakeFleetOptions {
  readonly instances: number;
  readonly domains: number;
  readonly seed: number;
  readonly settings?: Partial<CoreSettings>;
  readonly latencyMs?: number;
  readonly engines?: FakeEngines;
  /** Share of the replies to orders that are lost, from 0 to 1. */
  readonly lostOrderReplies?: number;
  readonly onMessage?: (from: FakeInstance, to: FakeInstance, message: PeerMessage) => void;
  /** Wraps each call to `reduce`, for example to time it. */
  readonly onReduce?: (instance: FakeInstance, event: CoreEvent, run: () => void) => void;
}

/** State of the fake log. Tests set its fields to inject faults. */
export interface FakeLog {
  readonly streams: Map<string, string[]>;
  /** Offset of the oldest retained record of each stream. */
  readonly oldest: Map<string, number>;
  isDown: boolean;
  /** Instances that cannot reach the log. */
  readonly cutOff: Set<InstanceId>;
  /** Number of further appends that take effect but whose replies are lost. */
  lostReplies: number;
  delayMs: number;
  appends: number;
  reads: number;
}

type Action = () => void;

interface LongRead {
  readonly instance: FakeInstance;
  readonly incarnation: number;
  readonly stream: string;
  readonly from: number;
  readonly limit: number;
  readonly until: number;
}

export interface FakeFleet {
  readonly instances: readonly FakeInstance[];
  readonly log: FakeLog;
  readonly now: () => number;
  /** Pairs of domains that cannot exchange messages, as `a|b` in sorted order. */
  readonly cutLinks: Set<string>;
  readonly run: (ms: number) => void;
  /** Runs until `until` returns true. Returns the elapsed time, or undefined after `ms`. */
  readonly runUntil: (until: () => boolean, ms: number) => number | undefined;
  readonly stop: (instance: FakeInstance) => void;
  /** Starts an instance with empty state. */
  readonly start: (instance: FakeInstance) => void;
  readonly command: (
    instance: FakeInstance,
    command: OperatorCommand,
    onReply: (result: OperatorResult) => void,
  ) => void;
}

const DEFAULT_LATENCY_MS = 2;

/** Creates the fleet and starts every instance. */
export function createFakeFleet(options: FakeFleetOptions): FakeFleet {
  const random = createRandom(options.seed);
  const latencyMs = options.latencyMs ?? DEFAULT_LATENCY_MS;
  const actionsByTime = new Map<number, Action[]>();
  const timers = new Map<string, number>();
  const replies = new Map<string, (result: OperatorResult) => void>();
  const cutLinks = new Set<string>();
  const longReads = new Set<LongRead>();
  const log: FakeLog = {
    streams: new Map(),
    oldest: new Map(),
    isDown: false,
    cutOff: new Set(),
    lostReplies: 0,
    delayMs: 1,
    appends: 0,
    reads: 0,
  };
  let currentTime = 0;
  let nextCommand = 1;
  const instances = Array.from({ length: options.instances }, (_, i): FakeInstance => {
    const id = `i${i}`;
    const domain = `d${i % options.domains}`;
    return { id, domain, core: undefined as unknown as Core, incarnation: 0, isUp: false };
  });
  const byId = new Map(instances.map((instance) => [instance.id, instance]));

  function scheduleAt(time: number, action: Action): void {
    const actions = actionsByTime.get(time) ?? [];
    actions.push(action);
    actionsByTime.set(time, actions);
  }

  function post(instance: FakeInstance, incarnation: number, event: CoreEvent): void {
    if (!instance.isUp || instance.incarnation !== incarnation) return;
    const run = () => {
      instance.core.reduce(event, currentTime).forEach((effect) => perform(instance, effect));
    };
    if (options.onReduce === undefined) run();
    else options.onReduce(instance, event, run);
  }

  function perform(instance: FakeInstance, effect: Effect): void {
    const { incarnation } = instance;
    switch (effect.kind) {
      case 'setTimer': {
        const name = `${instance.id} ${incarnation} ${effect.timer}`;
        const time = Math.max(Math.ceil(effect.at), currentTime + 1);
        timers.set(name, time);
        scheduleAt(time, () => {
          if (timers.get(name) !== time) return;
          timers.delete(name);
          post(instance, incarnation, { kind: 'timer', timer: effect.timer });
        });
        return;
      }
      case 'sendPeer':
        send(instance, effect.to, effect.message);
        return;
      case 'readLog':
        read(instance, effect.stream, effect.from, effect.limit, effect.waitMs);
        return;
      case 'appendLog':
        append(instance, effect.appendId, effect.stream, effect.records);
        return;
      case 'readInstanceList':
        scheduleAt(currentTime + 1, () =>
          post(instance, incarnation, { kind: 'instanceList', instances: listInstances() }),
        );
        return;
      case 'pollUpstream': {
        const { upstream } = effect;
        scheduleAt(currentTime + 1, () => {
          const report = options.engines?.report(upstream, currentTime);
          const cache = { cacheEvents: [], cacheNext: 0, cacheGap: false };
          const event = { kind: 'upstreamReport', upstream, ...cache } as const;
          post(instance, incarnation, report === undefined ? event : { ...event, report });
        });
        return;
      }
      case 'giveOrder':
        giveOrder(instance, effect);
        return;
      case 'operatorReply':
        replies.get(effect.commandId)?.(effect.result);
        replies.delete(effect.commandId);
        break;
      default:
    }
  }

  function giveOrder(
    instance: FakeInstance,
    effect: Extract<Effect, { readonly kind: 'giveOrder' }>,
  ): void {
    const { incarnation } = instance;
    const { upstream, orderNumber, order } = effect;
    scheduleAt(currentTime + latencyMs, () => {
      const answer =
        options.engines?.giveOrder(upstream, orderNumber, order, currentTime) ?? 'failed';
      const isLost = random.next() < (options.lostOrderReplies ?? 0);
      const result = isLost ? 'unknown' : answer;
      scheduleAt(currentTime + latencyMs, () => {
        post(instance, incarnation, { kind: 'orderSettled', upstream, orderNumber, result });
      });
    });
  }

  function listInstances(): readonly ListedInstance[] {
    return instances
      .filter((instance) => instance.isUp)
      .map(({ id, domain }) => ({
        id,
        address: id,
        domain,
        region: 'r',
        state: 'live',
        kind: 'instance',
      }));
  }

  function send(from: FakeInstance, to: InstanceId, message: PeerMessage): void {
    const target = byId.get(to);
    if (target === undefined) return;
    const link = [from.domain, target.domain].sort().join('|');
    if (cutLinks.has(link)) return;
    options.onMessage?.(from, target, message);
    const { incarnation } = from;
    scheduleAt(currentTime + latencyMs, () => {
      const event = { kind: 'peerMessage', from: from.id, incarnation, message } as const;
      post(target, target.incarnation, event);
    });
  }

  function read(
    instance: FakeInstance,
    stream: string,
    from: number,
    limit: number,
    waitMs: number,
  ): void {
    const { incarnation } = instance;
    log.reads += 1;
    const until = currentTime + waitMs;
    scheduleAt(currentTime + log.delayMs, () => {
      const request = { instance, incarnation, stream, from, limit, until };
      if (!answerRead(request)) {
        longReads.add(request);
        scheduleAt(Math.max(until, currentTime + 1), () => answerRead(request));
      }
    });
  }

  function answerRead(request: LongRead): boolean {
    const result = readNow(request);
    if (result === undefined) return false;
    longReads.delete(request);
    const { instance, incarnation, stream, from } = request;
    scheduleAt(currentTime + log.delayMs, () =>
      post(instance, incarnation, { kind: 'logRead', stream, from, result }),
    );
    return true;
  }

  function readNow(request: LongRead): LogReadResult | undefined {
    const { stream, from, limit, until, instance } = request;
    if (isUnreachable(instance)) return { kind: 'failed', detail: 'down' };
    const oldest = log.oldest.get(stream) ?? 0;
    if (from < oldest) return { kind: 'expired', oldest };
    const records = (log.streams.get(stream) ?? [])
      .slice(from, from + limit)
      .map((data, i) => ({ offset: from + i, data }));
    if (records.length === 0 && currentTime < until) return undefined;
    return { kind: 'records', records, next: from + records.length };
  }

  function isUnreachable(instance: FakeInstance): boolean {
    return log.isDown || log.cutOff.has(instance.id);
  }

  function append(
    instance: FakeInstance,
    appendId: number,
    stream: string,
    records: readonly string[],
  ): void {
    const { incarnation } = instance;
    log.appends += 1;
    scheduleAt(currentTime + log.delayMs, () => {
      if (isUnreachable(instance)) {
        const isCertain = random.next() < 0.5;
        const result = { kind: isCertain ? 'rejected' : 'unknown', detail: 'down' } as const;
        post(instance, incarnation, { kind: 'appendSettled', appendId, stream, result });
        return;
      }
      const all = log.streams.get(stream) ?? [];
      const offset = all.length;
      all.push(...records);
      log.streams.set(stream, all);
      [...longReads].filter((request) => request.stream === stream).forEach(answerRead);
      const isLost = log.lostReplies > 0;
      if (isLost) log.lostReplies -= 1;
      const result = isLost
        ? ({ kind: 'unknown', detail: 'lost' } as const)
        : ({ kind: 'appended', offset } as const);
      scheduleAt(currentTime + log.delayMs, () => {
        post(instance, incarnation, { kind: 'appendSettled', appendId, stream, result });
      });
    });
  }

  function start(instance: FakeInstance): void {
    instance.incarnation += 1;
    instance.isUp = true;
    const { id, domain, incarnation } = instance;
    instance.core = createCore({
      self: { id, incarnation, address: id, domain, region: 'r' },
      seed: options.seed + incarnation,
      ...(options.settings && { settings: options.settings }),
    });
    post(instance, incarnation, { kind: 'start' });
  }

  function runUntil(until: () => boolean, ms: number): number | undefined {
    const begin = currentTime;
    while (currentTime < begin + ms) {
      if (until()) return currentTime - begin;
      currentTime += 1;
      // An action may add further actions for the same time.
      for (const action of actionsByTime.get(currentTime) ?? []) action();
      actionsByTime.delete(currentTime);
    }
    return until() ? currentTime - begin : undefined;
  }

  instances.forEach(start);
  return {
    instances,
    log,
    now: () => currentTime,
    cutLinks,
    run: (ms) => {
      runUntil(() => false, ms);
    },
    runUntil,
    stop: (instance) => {
      instance.isUp = false;
    },
    start,
    command: (instance, command, onReply) => {
      const commandId = `c${nextCommand}`;
      nextCommand += 1;
      replies.set(commandId, onReply);
      post(instance, instance.incarnation, { kind: 'operatorCommand', commandId, command });
    },
  };
}
