/**
 * The one loop of an instance: takes the events that hosts post, reduces each at the current time
 * and executes the effects through the hosts, in order.
 */
import type { Millis } from '../core/clock.js';
import type { Core } from '../core/core.js';
import { Debug } from '../core/debug.js';
import type { CoreEvent, Effect, TimerName } from '../core/types.js';
import type { System } from '../hosts/types.js';

/** Executes the effects that do not concern the loop itself. */
export type EffectRunner = (effect: Exclude<Effect, { readonly kind: 'setTimer' }>) => void;

export interface LoopOptions {
  readonly core: Core;
  readonly system: System;
  readonly runEffect: EffectRunner;
  /** Called when an event or an effect throws; the loop goes on with the next event. */
  readonly onError: (err: unknown, event: CoreEvent) => void;
}

export interface Loop {
  /** Queues an event. It is reduced later, never within this call. */
  readonly post: (event: CoreEvent) => void;
  /** Stops to take events and cancels all timers. */
  readonly close: () => void;
}

/** A timer that is set, with the event that it posts. */
interface PendingTimer {
  readonly event: CoreEvent;
  readonly cancel: () => void;
}

/** Events that are reduced before input and output get their turn. */
const MAX_EVENTS_PER_TURN = 512;

/** Creates the loop; it runs as soon as the first event is posted. */
export function createLoop(options: LoopOptions): Loop {
  const { core, system, runEffect } = options;
  const timers = new Map<TimerName, PendingTimer>();
  let queue: CoreEvent[] = [];
  let isScheduled = false;
  let isClosed = false;

  function schedule(): void {
    if (isScheduled || isClosed || queue.length === 0) return;
    isScheduled = true;
    system.defer(runTurn);
  }

  function runTurn(): void {
    let handled = 0;
    // Events that are posted by effects of this turn belong to it.
    for (let i = 0; i < queue.length && i < MAX_EVENTS_PER_TURN; i += 1) {
      const event = queue[i];
      if (event !== undefined) handle(event);
      handled = i + 1;
    }
    queue = queue.slice(handled);
    isScheduled = false;
    schedule();
  }

  function handle(event: CoreEvent): void {
    if (event.kind === 'timer') {
      // The timer may have been set anew after it was due.
      if (timers.get(event.timer)?.event !== event) return;
      timers.delete(event.timer);
    }
    try {
      core.reduce(event, system.now()).forEach(execute);
    } catch (err) {
      options.onError(err, event);
    }
  }

  function execute(effect: Effect): void {
    if (effect.kind === 'setTimer') setTimer(effect.timer, effect.at);
    else runEffect(effect);
  }

  function setTimer(timer: TimerName, at: Millis): void {
    timers.get(timer)?.cancel();
    const event = { kind: 'timer', timer } as const;
    const fire = () => post(event);
    // A timer of Node.js takes a millisecond at least.
    if (at <= system.now()) {
      timers.set(timer, { event, cancel: () => {} });
      fire();
    } else {
      timers.set(timer, { event, cancel: system.schedule(at, fire) });
    }
  }

  function post(event: CoreEvent): void {
    Debug.assertDefined(event, 'event');
    queue.push(event);
    schedule();
  }

  return {
    post,
    close: () => {
      isClosed = true;
      queue = [];
      timers.forEach(({ cancel }) => cancel());
      timers.clear();
    },
  };
}
