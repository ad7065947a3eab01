/**
 * The one loop of an instance: takes the events that hosts post, reduces each at the current time
 * and executes the effects through the hosts, in order.
 */
import type { Millis } from '../core/clock.js';
import { Debug } from '../core/debug.js';
import type { System } from '../hosts/types.js';

/** Anything that a core reduces. */
export interface LoopEvent {
  readonly kind: string;
}

/** Effect that the loop executes itself. */
export interface SetTimerEffect<Timer extends string> {
  readonly kind: 'setTimer';
  readonly timer: Timer;
  readonly at: Millis;
}

/** Event that a timer posts. */
export interface TimerEvent<Timer extends string> {
  readonly kind: 'timer';
  readonly timer: Timer;
}

/** Executes the effects that do not concern the loop itself. */
export type EffectRunner<Effect extends LoopEvent> = (
  effect: Exclude<Effect, { readonly kind: 'setTimer' }>,
) => void;

export interface LoopOptions<
  Event extends LoopEvent,
  Effect extends LoopEvent,
  Timer extends string,
> {
  readonly core: {
    readonly reduce: (
      event: Event | TimerEvent<Timer>,
      now: Millis,
    ) => readonly (Effect | SetTimerEffect<Timer>)[];
  };
  readonly system: System;
  readonly runEffect: EffectRunner<Effect>;
  /** Called when an event or an effect throws; the loop goes on with the next event. */
  readonly onError: (err: unknown, event: Event | TimerEvent<Timer>) => void;
  /** Called before the events of a turn are reduced. */
  readonly beforeTurn?: () => readonly Event[];
}

export interface Loop<Event extends LoopEvent> {
  /** Queues an event. It is reduced later, never within this call. */
  readonly post: (event: Event) => void;
  /** Stops to take events and cancels all timers. */
  readonly close: () => void;
}

/** A timer that is set, with the event that it posts. */
interface PendingTimer<Timer extends string> {
  readonly event: TimerEvent<Timer>;
  readonly cancel: () => void;
}

/** Events that are reduced before input and output get their turn. */
const MAX_EVENTS_PER_TURN = 512;

/** Creates the loop; it runs as soon as the first event is posted. */
export function createLoop<Event extends LoopEvent, Effect extends LoopEvent, Timer extends string>(
  options: LoopOptions<Event, Effect, Timer>,
): Loop<Event> {
  const { core, system, runEffect } = options;
  const timers = new Map<Timer, PendingTimer<Timer>>();
  let queue: (Event | TimerEvent<Timer>)[] = [];
  let isScheduled = false;
  let isClosed = false;

  function schedule(): void {
    if (isScheduled || isClosed || queue.length === 0) return;
    isScheduled = true;
    system.defer(runTurn);
  }

  function runTurn(): void {
    let handled = 0;
    options.beforeTurn?.().forEach(handle);
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

  function handle(event: Event | TimerEvent<Timer>): void {
    if (isTimerEvent(event)) {
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

  function execute(effect: Effect | SetTimerEffect<Timer>): void {
    if (isSetTimer(effect)) setTimer(effect.timer, effect.at);
    else runEffect(effect as Exclude<Effect, { readonly kind: 'setTimer' }>);
  }

  function setTimer(timer: Timer, at: Millis): void {
    timers.get(timer)?.cancel();
    const event = { kind: 'timer', timer } as const;
    const fire = () => enqueue(event);
    // A timer of Node.js takes a millisecond at least.
    if (at <= system.now()) {
      timers.set(timer, { event, cancel: () => {} });
      fire();
    } else {
      timers.set(timer, { event, cancel: system.schedule(at, fire) });
    }
  }

  function enqueue(event: Event | TimerEvent<Timer>): void {
    queue.push(event);
    schedule();
  }

  return {
    post: (event) => {
      Debug.assertDefined(event, 'event');
      enqueue(event);
    },
    close: () => {
      isClosed = true;
      queue = [];
      timers.forEach(({ cancel }) => cancel());
      timers.clear();
    },
  };
}

function isTimerEvent<Timer extends string>(
  event: LoopEvent | TimerEvent<Timer>,
): event is TimerEvent<Timer> {
  return event.kind === 'timer';
}

function isSetTimer<Timer extends string>(
  effect: LoopEvent | SetTimerEffect<Timer>,
): effect is SetTimerEffect<Timer> {
  return effect.kind === 'setTimer';
}
