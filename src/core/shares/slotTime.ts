/** Slot time of plain services: charged at each exchange while a request runs, the rest at its end. */
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

/** Charges the slot time of all attempts at plain services that run for this instance. */
export function chargeRunningSlotTime(ctx: CoreContext): void {
  ctx.state.attempts.running.forEach((attempt) => chargeSlotTime(ctx, attempt));
}

/** Charges the slot time of an attempt that has not been charged yet. */
export function chargeSlotTime(ctx: CoreContext, attempt: TimedAttempt): void {
  const pool = ctx.state.configuration.view?.pools.get(attempt.pool);
  if (pool?.kind !== 'service') return;
  const { slotTimeUntil } = ctx.state.shares;
  const since = slotTimeUntil.get(attempt.attemptId) ?? attempt.startedAt;
  charge(ctx, attempt.customer, pool.id, (ctx.now - since) * pool.cost.perSlotMs);
  slotTimeUntil.set(attempt.attemptId, ctx.now);
}

/** Charges the last of an attempt's slot time and forgets the attempt. */
export function settleSlotTime(ctx: CoreContext, attempt: TimedAttempt): void {
  chargeSlotTime(ctx, attempt);
  ctx.state.shares.slotTimeUntil.delete(attempt.attemptId);
}
