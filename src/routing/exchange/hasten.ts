/** Sends the next message earlier, for news that the other instances need before a caller comes to them. */
import type { Millis } from '../../core/clock.js';
import { setTimer, type RoutingContext } from '../context.js';

/** Delay of the message, so that it contains all news of the same moment. */
const DELAY_MS: Millis = 5;

/** @param minIntervalMs Minimum time between the message and the one before. */
export function hastenExchange(ctx: RoutingContext, minIntervalMs: Millis): void {
  const { exchangedAt } = ctx.state.exchange;
  setTimer(ctx, 'exchange', Math.max(DELAY_MS, exchangedAt + minIntervalMs - ctx.now));
}
