/**
 * Sends the requests of a load and records their outcomes and the service that customers receive.
 * Latencies are measured from the due time of a request, so that a delayed sender does not hide
 * waiting time (coordinated omission).
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Millis } from '../../core/clock.js';
import type { Arrival } from './arrivals.js';
import type { Caller } from './caller.js';
import { countOutcome, type CustomerPoolMetrics } from './customerMetrics.js';
import type { LoadFile } from './loadFile.js';
import type { Progress } from './outcome.js';
import type { EndedRequest } from './executionCheck.js';

interface Cost {
  readonly perPromptToken: number;
  readonly perOutputToken: number;
  readonly perCall: number;
}

const DEFAULT_COST: Cost = { perPromptToken: 0, perOutputToken: 1, perCall: 1 };

export interface Sender {
  send: (arrival: Arrival) => void;
  inFlight: () => number;
  /** Waits until all requests end or the time limit expires. Returns the number still in flight. */
  drain: (limitMs: Millis) => Promise<number>;
  /** Resolves when all requests have ended. */
  settled: () => Promise<void>;
  ended: () => readonly EndedRequest[];
}

export interface SenderOptions {
  readonly file: LoadFile;
  readonly metrics: readonly CustomerPoolMetrics[];
  readonly caller: Caller;
  /** Start of the load, on the `performance.now` clock. */
  readonly startedAt: Millis;
}

/** Creates a sender with no requests in flight. */
export function createSender({ file, metrics, caller, startedAt }: SenderOptions): Sender {
  const metricsKey = (customer: string, pool: string) => `${customer}\n${pool}`;
  const metricsByKey = new Map(
    metrics.map((entry) => [metricsKey(entry.customer, entry.pool), entry]),
  );
  const costs = new Map(file.pools.map(({ name, cost }) => [name, cost]));
  const ended: EndedRequest[] = [];
  const running = new Set<Promise<void>>();

  async function run(arrival: Arrival, entry: CustomerPoolMetrics): Promise<void> {
    const dueAt = startedAt + arrival.atMs;
    const cost = costs.get(arrival.work.pool) ?? DEFAULT_COST;
    const { waitingAfterMs } = file;
    const tracker = trackProgress({ arrival, entry, cost, dueAt, waitingAfterMs });
    entry.counts.sent += 1;
    const outcome = await caller.send(arrival, tracker);
    tracker.end();
    countOutcome(entry.counts, outcome);
    if (outcome.kind === 'served') entry.latency.add(performance.now() - dueAt);
    ended.push({ arrival, outcome, endedAtMs: performance.now() - startedAt });
  }

  return {
    send: (arrival) => {
      const entry = metricsByKey.get(metricsKey(arrival.customer.name, arrival.work.pool));
      if (entry === undefined) return;
      if (running.size >= file.maxInFlight) {
        entry.counts.notSent += 1;
        return;
      }
      const promise = run(arrival, entry).finally(() => running.delete(promise));
      running.add(promise);
    },
    inFlight: () => running.size,
    drain: async (limitMs) => {
      const limit = new AbortController();
      const timeout = sleep(limitMs, undefined, { signal: limit.signal }).catch(() => {});
      await Promise.race([Promise.all(running), timeout]);
      limit.abort();
      return running.size;
    },
    settled: async () => {
      await Promise.all(running);
    },
    ended: () => ended,
  };
}

interface TrackOptions {
  readonly arrival: Arrival;
  readonly entry: CustomerPoolMetrics;
  readonly cost: Cost;
  readonly dueAt: Millis;
  readonly waitingAfterMs: Millis;
}

/** Tracks waiting, latency and service of one request. `end` must be called exactly once. */
function trackProgress(options: TrackOptions): Progress & { readonly end: () => void } {
  const { arrival, entry, cost, dueAt } = options;
  let isWaiting = false;
  const timer = setTimeout(() => {
    isWaiting = true;
    entry.waiting += 1;
  }, options.waitingAfterMs);

  function stopWaiting(): void {
    clearTimeout(timer);
    if (!isWaiting) return;
    isWaiting = false;
    entry.waiting -= 1;
    if (entry.waiting === 0) entry.wasIdle = true;
  }

  return {
    onAnswerStarted: () => {
      stopWaiting();
      entry.firstToken.add(performance.now() - dueAt);
      if (arrival.kind === 'call') entry.service += cost.perCall;
    },
    onTokens: (tokens) => {
      entry.service += tokens * cost.perOutputToken;
    },
    onGap: entry.betweenTokens.add,
    onUsage: (uncachedPromptTokens) => {
      entry.service += uncachedPromptTokens * cost.perPromptToken;
    },
    end: stopWaiting,
  };
}
