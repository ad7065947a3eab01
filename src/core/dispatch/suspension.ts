/**
 * Suspension: when all slots are held, a stream of the most-served holder is suspended for a waiting
 * customer that holds no slot here and is not ahead of it, or that lags it by more than two charge
 * steps, so that a short question does not wait for a long stream to end. Only idempotent streams are suspended, no more than the pool's share of
 * an upstream's slots, and each is resumed after a limited time at the latest.
 */
import { sendTo, type CoreContext } from '../context.js';
import { accountOf, serviceReader } from '../shares/accounts.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, PoolConfig, UpstreamConfig, UpstreamId } from '../types.js';
import type { IssuedGrant } from './dispatchState.js';
import { setPhase } from './slots.js';

/** Lag, in charge steps, at which a holder's stream gives way. */
const LAG_STEPS = 2;

/** Time after which a request to suspend that was not answered, or was taken back, may be repeated. */
const SUSPEND_RETRY_MS = 1_000;

/** Asks for the suspension of a stream of the most-served holder, if `customer` lags enough. */
export function relieve(ctx: CoreContext, pool: PoolConfig, customer: CustomerNumber): void {
  const { state } = ctx;
  if (pool.suspendShare <= 0) return;
  const step = state.configuration.view?.fairness.chargeStep ?? 0;
  const account = accountOf(state, pool.id);
  if (account === undefined) return;
  const read = serviceReader(state, account, 'reserved');
  const own = read(customer);
  let candidate: IssuedGrant | undefined;
  const holdsOne = holdsSlot(state, pool, customer);
  let most = own + (holdsOne ? LAG_STEPS * step : 0);
  let isPending = false;
  state.dispatch.issued.forEach((grant) => {
    if (grant.pool !== pool.id) return;
    if (grant.phase === 'suspending') {
      if (ctx.now - grant.phaseSince < SUSPEND_RETRY_MS) isPending = true;
      else setPhase(ctx, grant, 'held');
      return;
    }
    if (grant.phase !== 'held' || !grant.canSuspend || grant.customer === customer) return;
    // A stream that was resumed runs for a while, or it could give way again within one moment.
    const wasResumed = grant.phaseSince > grant.issuedAt;
    if (wasResumed && ctx.now - grant.phaseSince < SUSPEND_RETRY_MS) return;
    const service = read(grant.customer);
    if (service <= most) return;
    if (suspendRoom(state, pool, grant.upstream, holdsOne) <= 0) return;
    most = service;
    candidate = grant;
  });
  if (candidate === undefined || isPending) return;
  setPhase(ctx, candidate, 'suspending');
  askEntry(ctx, candidate, false);
}

/**
 * Resumes a suspended stream if one of `free` has it and its turn has come: its customer is not
 * ahead of the next waiting one, nobody waits, it was suspended for the longest time allowed, or
 * too many are suspended there.
 */
export function resumeNext(
  ctx: CoreContext,
  pool: PoolConfig,
  free: readonly UpstreamConfig[],
  waiting: CustomerNumber | undefined,
): boolean {
  const { state } = ctx;
  const account = accountOf(state, pool.id);
  if (account === undefined) return false;
  const read = serviceReader(state, account, 'reserved');
  const limit = waiting === undefined ? Infinity : read(waiting);
  const isForSlotless = waiting !== undefined && !holdsSlot(state, pool, waiting);
  let next: IssuedGrant | undefined;
  free.forEach((upstream) => {
    if ((state.dispatch.slots.get(upstream.id)?.suspended ?? 0) === 0) return;
    // A free slot first restores the part of the allowance kept for customers without one.
    const isOverdrawn = !isForSlotless && suspendRoom(state, pool, upstream.id, true) < 0;
    state.dispatch.issued.forEach((grant) => {
      if (grant.upstream !== upstream.id || grant.phase !== 'suspended') return;
      const isOverdue = ctx.now - grant.phaseSince >= state.settings.maxSuspendMs;
      if (!isOverdue && !isOverdrawn && read(grant.customer) > limit) return;
      if (next === undefined || grant.phaseSince < next.phaseSince) next = grant;
    });
  });
  if (next === undefined) return false;
  setPhase(ctx, next, 'held');
  askEntry(ctx, next, true);
  return true;
}

function holdsSlot(state: CoreState, pool: PoolConfig, customer: CustomerNumber): boolean {
  for (const grant of state.dispatch.issued.values()) {
    const isHeld = grant.customer === customer && grant.pool === pool.id;
    if (isHeld && grant.phase !== 'suspended') return true;
  }
  return false;
}

/**
 * Returns how many more streams may be suspended on an upstream. Half of the allowance is kept for
 * customers that hold no slot.
 */
function suspendRoom(
  state: CoreState,
  pool: PoolConfig,
  upstreamId: UpstreamId,
  holdsOne: boolean,
): number {
  const upstream = state.configuration.view?.upstreams.get(upstreamId);
  if (upstream === undefined) return 0;
  const suspended = state.dispatch.slots.get(upstreamId)?.suspended ?? 0;
  const allowed = Math.floor(pool.suspendShare * upstream.slots);
  return (holdsOne ? Math.floor(allowed / 2) : allowed) - suspended;
}

function askEntry(ctx: CoreContext, grant: IssuedGrant, resume: boolean): void {
  const value = { grantId: grant.grantId, resume };
  sendTo(ctx, grant.entry, { $case: 'suspendRequest', value });
}
