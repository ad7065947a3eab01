/**
 * A core in steady state for benchmarks: a single instance that owns all upstreams, and customers
 * that always have requests waiting.
 */
import { createCore, type Core } from '../../core/core.js';
import type { Millis } from '../../core/clock.js';
import type { AttemptId, CoreEvent, Effect } from '../../core/types.js';
import { createCallerRequest } from '../support/callerRequest.js';
import { createFleetView, domainName, regionName } from '../support/fleetView.js';

export interface SteadyCoreOptions {
  readonly customers: number;
  readonly waiting: number;
  readonly upstreams: number;
  readonly requestsPerCustomer?: number;
}

export interface SteadyCore {
  readonly core: Core;
  /** Ends one attempt and sends a new request of the same customer. Returns the number of events. */
  readonly cycle: () => number;
  /** Reports tokens for one running attempt. Returns the number of events. */
  readonly progress: () => number;
  /** Fires the timers that are due. Returns the number of events. */
  readonly fireTimers: () => number;
}

const SELF = {
  id: 'i0',
  incarnation: 1,
  address: '127.0.0.1:1',
  domain: domainName(0),
  region: regionName(0, 1),
};
const TOKENS_PER_REPORT = 8;
const CYCLE_MS: Millis = 1;

export function createSteadyCore(options: SteadyCoreOptions): SteadyCore {
  const view = createFleetView(options);
  const core = createCore({ self: SELF, seed: 1, initialConfiguration: view });
  const running: { id: AttemptId; customer: number }[] = [];
  const timers = new Map<string, Millis>();
  const customerOf = new Map<string, number>();
  let now: Millis = 0;
  let nextRequest = 0;
  let nextRunning = 0;

  function apply(event: CoreEvent): void {
    core.reduce(event, now).forEach(handleEffect);
  }

  function handleEffect(effect: Effect): void {
    if (effect.kind === 'setTimer') timers.set(effect.timer, effect.at);
    if (effect.kind === 'dispatch') {
      const customer = customerOf.get(effect.attempt.requestId) ?? 1;
      customerOf.delete(effect.attempt.requestId);
      running.push({ id: effect.attempt.attemptId, customer });
    }
  }

  function sendRequest(customer: number): void {
    nextRequest += 1;
    const requestId = `q${nextRequest}`;
    customerOf.set(requestId, customer);
    apply(createCallerRequest(requestId, customer));
  }

  function fireTimers(): number {
    let events = 0;
    timers.forEach((at, timer) => {
      if (at > now) return;
      timers.delete(timer);
      apply({ kind: 'timer', timer: timer as never });
      events += 1;
    });
    return events;
  }

  function cycle(): number {
    now += CYCLE_MS;
    const ended = running.shift();
    let events = fireTimers();
    if (ended === undefined) return events;
    const outcome = { kind: 'complete', status: 200, outputTokens: TOKENS_PER_REPORT } as const;
    apply({ kind: 'attemptEnded', attemptId: ended.id, outcome });
    sendRequest(ended.customer);
    events += 2;
    return events;
  }

  function progress(): number {
    nextRunning = (nextRunning + 1) % running.length;
    const attempt = running[nextRunning];
    if (attempt === undefined) return 0;
    const attemptId = attempt.id;
    apply({ kind: 'attemptProgress', attemptId, outputTokens: TOKENS_PER_REPORT, bytes: 400 });
    return 1;
  }

  apply({ kind: 'start' });
  for (let i = 0; i < (options.requestsPerCustomer ?? 10); i += 1) {
    for (let customer = 1; customer <= options.waiting; customer += 1) sendRequest(customer);
  }
  for (let i = 0; i < 100; i += 1) {
    now += 10;
    fireTimers();
  }
  return { core, cycle, progress, fireTimers };
}
