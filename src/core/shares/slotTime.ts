/** Charges the slot time of attempts at plain services, at each exchange and when they end. */
import type { Millis } from '../clock.js';
import type { CoreContext } from '../context.js';
import type { AttemptId, CustomerNumber, PoolId } from '../types.js';
import { charge } from './shares.js';

interface TimedAttempt {
  readonly attemptId: AttemptId;
  readonly customer: CustomerNumber;
  readonly pool: PoolId;
  readonly startedAt: Millis;
}

/** Charges the slot time of all running attempts of this instance at plain services. */
export function chargeRunningSlotTime(ctx: CoreContext): void {
  ctx.state.attempts.running.forEach((attempt) => chargeSlotTime(ctx, attempt));
}

/** Charges the slot time of an attempt since it was last charged. */
export function chargeSlotTime(ctx: CoreContext, attempt: TimedAttempt): void {
  const pool = ctx.state.configuration.view?.pools.get(attempt.pool);
  if (pool?.kind !== 'service') return;
  const { slotTimeUntil } = ctx.state.shares;
  const since = slotTimeUntil.get(attempt.attemptId) ?? attempt.startedAt;
  charge(ctx, attempt.customer, pool.id, (ctx.now - since) * pool.cost.perSlotMs);
  slotTimeUntil.set(attempt.attemptId, ctx.now);
}

/** Charges the remaining slot time of an attempt and removes its record. */
export function settleSlotTime(ctx: CoreContext, attempt: TimedAttempt): void {
  chargeSlotTime(ctx, attempt);
  ctx.state.shares.slotTimeUntil.delete(attempt.attemptId);
}
