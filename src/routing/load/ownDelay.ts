/**
 * Delay that this process adds to what its upstreams send, because its event loop runs late.
 *
 * Load pattern: the callers of one customer press on a few small instances, whose loops then run
 * hundreds of milliseconds late while the upstreams are idle. Answers are read that much later. If
 * the delay were taken for slowness of the upstreams, the instance would go on refusing callers for
 * lack of fast upstreams, and would send work that has been answered to other upstreams.
 */
import type { Millis } from '../../core/clock.js';
import type { RoutingContext } from '../context.js';

/** Smoothing factor of the lateness, applied at each check. */
const SMOOTHING = 0.5;
/** Turns that run late between the decision to send a request and the reading of its answer. */
const TURNS_PER_EXCHANGE = 2;
/** Part of an observed time above which the own delay leaves nothing to learn from it. */
const MAX_OWN_FRACTION = 0.5;

/** Records how late a periodic check ran. */
export function recordTimerDelay({ state }: RoutingContext, lateMs: Millis): void {
  const { load } = state;
  load.turnDelayMs += SMOOTHING * (lateMs - load.turnDelayMs);
}

/** Returns the time by which something that an upstream sends now is likely to be read late. */
export function readingDelay({ state }: RoutingContext): Millis {
  return state.load.turnDelayMs;
}

/** Returns the time by which an answer may seem later than it was. */
export function exchangeDelay(ctx: RoutingContext): Millis {
  return readingDelay(ctx) * TURNS_PER_EXCHANGE;
}

/**
 * Returns the part of an observed time that the upstream took, or `undefined` if too much of it may
 * be this process's own delay.
 */
export function upstreamTime(ctx: RoutingContext, observedMs: Millis): Millis | undefined {
  const ownMs = exchangeDelay(ctx);
  return ownMs > observedMs * MAX_OWN_FRACTION ? undefined : observedMs - ownMs;
}
