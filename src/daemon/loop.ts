/**
 * Event loop of an instance. Takes events from the hosts in order, reduces each with the current time,
 * and executes the resulting effects.
 */
import type { Millis } from '../core/clock.js';
import { Debug } from '../core/debug.js';
import type { System } from '../hosts/types.js';

/** Base type of events and effects. */
export interface LoopEvent {
  readonly kind: string;
}

/** Effect that the loop handles itself: sets or replaces a timer. */
export interface SetTimerEffect<Timer extends string> {
  readonly kind: 'setTimer';
  readonly timer: Timer;
  readonly at: Millis;
}

/** Event that is reduced when a timer fires. */
export interface TimerEvent<Timer extends string> {
  readonly kind: 'timer';
  readonly timer: Timer;
}

/** Executes all effects that the loop does not handle itself. */
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
  /** Called if reducing an event or executing one of its effects throws; the loop continues. */
  readonly onError: (err: unknown, event: Event | TimerEvent<Timer>, effect?: Effect) => void;
  /** Returns events to reduce at the start of each turn, before the queued ones. */
  readonly beforeTurn?: () => readonly Event[];
}

export interface Loop<Event extends LoopEvent> {
  /** Queues an event, which is always reduced asynchronously. */
  readonly post: (event: Event) => void;
  /** Discards queued and future events and cancels all timers. */
  readonly close: () => void;
}

/** A pending timer and the event that it will post. */
interface PendingTimer<Timer extends string> {
  readonly event: TimerEvent<Timer>;
  readonly cancel: () => void;
}

/** Maximum number of events per turn, so that pending I/O is not starved. */
const MAX_EVENTS_PER_TURN = 512;

/** Creates a loop, which runs once the first event is posted. */
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
    options.beforeTurn?.().forEach(reduceEvent);
    // Includes events that effects of this turn post.
    for (let i = 0; i < queue.length && i < MAX_EVENTS_PER_TURN; i += 1) {
      const event = queue[i];
      if (event !== undefined) reduceEvent(event);
      handled = i + 1;
    }
    queue = queue.slice(handled);
    isScheduled = false;
    schedule();
  }

  function reduceEvent(event: Event | TimerEvent<Timer>): void {
    if (isTimerEvent(event)) {
      // The timer may have been replaced after its event was queued.
      if (timers.get(event.timer)?.event !== event) return;
      timers.delete(event.timer);
    }
    try {
      core.reduce(event, system.now()).forEach((effect) => execute(effect, event));
    } catch (err) {
      options.onError(err, event);
    }
  }

  /** Executes an effect. A failure does not keep the other effects of its event from being executed. */
  function execute(effect: Effect | SetTimerEffect<Timer>, event: Event | TimerEvent<Timer>): void {
    try {
      if (isSetTimer(effect)) setTimer(effect.timer, effect.at);
      else runEffect(effect as Exclude<Effect, { readonly kind: 'setTimer' }>);
    } catch (err) {
      if (isSetTimer(effect)) options.onError(err, event);
      else options.onError(err, event, effect);
    }
  }

  function setTimer(timer: Timer, at: Millis): void {
    timers.get(timer)?.cancel();
    const event = { kind: 'timer', timer } as const;
    const fire = () => enqueue(event);
    // Node.js timers take at least 1 ms, so a timer that is already due is queued directly.
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
