/** The context that the sub-reducers of the routing core share, and helpers that emit effects. */
import type { Millis } from '../core/clock.js';
import type { RoutingEventCode } from './eventTable.js';
import type { RoutingState } from './state.js';
import type { LogFields, RoutingEffect, RoutingTimer } from './types.js';

/** State of the core, the time of the current event and the effects emitted so far. */
export interface RoutingContext {
  readonly state: RoutingState;
  readonly now: Millis;
  readonly effects: RoutingEffect[];
}

export function emit(ctx: RoutingContext, effect: RoutingEffect): void {
  ctx.effects.push(effect);
}

export function setTimer(ctx: RoutingContext, timer: RoutingTimer, delayMs: Millis): void {
  emit(ctx, { kind: 'setTimer', timer, at: ctx.now + delayMs });
}

/** Backoff of calls that are retried after a failure. */
export interface RetryBackoff {
  /** Delay after the first failure. Each further failure increases it by half. */
  readonly initialMs: Millis;
  readonly maxMs: Millis;
}

const RETRY_BACKOFF_FACTOR = 1.5;
/** Random part of a delay, relative to it, which keeps instances from calling at the same time. */
const RETRY_JITTER = 0.6;

/** Sets the timer for the retry of a call that has failed `failures` times in a row. */
export function setRetryTimer(
  ctx: RoutingContext,
  timer: RoutingTimer,
  { initialMs, maxMs }: RetryBackoff,
  failures: number,
): void {
  const delayMs = Math.min(maxMs, initialMs * RETRY_BACKOFF_FACTOR ** Math.max(0, failures - 1));
  setTimer(ctx, timer, delayMs * (1 + ctx.state.random.next() * RETRY_JITTER));
}

/** Logs an expected event. */
export function logInfo(ctx: RoutingContext, code: RoutingEventCode, fields: LogFields): void {
  emit(ctx, { kind: 'log', level: 'info', code, fields });
}

/** Logs a failure, a refusal, or the loss of an upstream, peer or connection. */
export function logWarning(ctx: RoutingContext, code: RoutingEventCode, fields: LogFields): void {
  emit(ctx, { kind: 'log', level: 'warn', code, fields });
}
