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

/** Time after which a failed call is tried again, and its random part, so that instances spread. */
export interface RetryDelay {
  readonly delayMs: Millis;
  readonly jitterMs: Millis;
}

export function setRetryTimer(ctx: RoutingContext, timer: RoutingTimer, delay: RetryDelay): void {
  setTimer(ctx, timer, delay.delayMs + ctx.state.random.next() * delay.jitterMs);
}

/** Logs something that went as expected. */
export function logInfo(ctx: RoutingContext, code: RoutingEventCode, fields: LogFields): void {
  emit(ctx, { kind: 'log', level: 'info', code, fields });
}

/** Logs a failure, a refusal or a loss. */
export function logWarning(ctx: RoutingContext, code: RoutingEventCode, fields: LogFields): void {
  emit(ctx, { kind: 'log', level: 'warn', code, fields });
}
