/** What the sub-reducers of the routing core share: the state, the time and the effects so far. */
import type { Millis } from '../core/clock.js';
import type { RoutingEventCode } from './eventTable.js';
import type { RoutingState } from './state.js';
import type { LogFields, RoutingEffect, RoutingTimer } from './types.js';

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

/** Times after which calls are tried again that failed. */
export interface RetryDelay {
  /** After the first failure; it grows by a half with each further one. */
  readonly firstMs: Millis;
  readonly longestMs: Millis;
}

const RETRY_GROWTH = 1.5;
/** Random part of a delay, relative to it, so that instances do not call together. */
const RETRY_JITTER = 0.6;

/** Sets the timer after which a call is tried again that has failed `failures` times in a row. */
export function setRetryTimer(
  ctx: RoutingContext,
  timer: RoutingTimer,
  { firstMs, longestMs }: RetryDelay,
  failures: number,
): void {
  const delayMs = Math.min(longestMs, firstMs * RETRY_GROWTH ** Math.max(0, failures - 1));
  setTimer(ctx, timer, delayMs * (1 + ctx.state.random.next() * RETRY_JITTER));
}

/** Logs something that went as expected. */
export function logInfo(ctx: RoutingContext, code: RoutingEventCode, fields: LogFields): void {
  emit(ctx, { kind: 'log', level: 'info', code, fields });
}

/** Logs a failure, a refusal or a loss. */
export function logWarning(ctx: RoutingContext, code: RoutingEventCode, fields: LogFields): void {
  emit(ctx, { kind: 'log', level: 'warn', code, fields });
}
