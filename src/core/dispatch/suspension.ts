/**
 * Suspends streams so that a short request does not have to wait for a long stream to end. When all
 * slots are held, a stream of the most-served customer is suspended in favour of a waiting customer
 * that either holds no slot here and is not ahead, or lags by more than two charge steps. Only
 * idempotent streams are suspended, at most the pool's configured share of an upstream's slots, and
 * the duration of a suspension is bounded.
 */
import { sendToInstance, type CoreContext } from '../context.js';
import { accountOf, serviceReader } from '../shares/accounts.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, PoolConfig, UpstreamConfig, UpstreamId } from '../types.js';
import type { IssuedGrant } from './dispatchState.js';
import { setGrantPhase } from './slots.js';

/** Lag, in charge steps, above which a stream is suspended for a customer that holds slots. */
const MIN_LAG_STEPS = 2;

/**
 * Time after which an unanswered suspend request is abandoned or a resumed stream may be suspended
 * again.
 */
const SUSPEND_RETRY_MS = 1_000;

/** Requests the suspension of a stream of the most-served customer, if `customer` lags enough. */
export function requestSuspension(
  ctx: CoreContext,
  pool: PoolConfig,
  customer: CustomerNumber,
): void {
  const { state } = ctx;
  if (pool.suspendShare <= 0) return;
  const step = state.configuration.view?.fairness.chargeStep ?? 0;
  const account = accountOf(state, pool.id);
  if (account === undefined) return;
  const serviceOf = serviceReader(state, account, 'reserved');
  const ownService = serviceOf(customer);
  let candidate: IssuedGrant | undefined;
  const hasSlot = holdsSlot(state, pool, customer);
  let mostService = ownService + (hasSlot ? MIN_LAG_STEPS * step : 0);
  let isPending = false;
  state.dispatch.issued.forEach((grant) => {
    if (grant.pool !== pool.id) return;
    if (grant.phase === 'suspending') {
      if (ctx.now - grant.phaseSince < SUSPEND_RETRY_MS) isPending = true;
      else setGrantPhase(ctx, grant, 'held');
      return;
    }
    if (grant.phase !== 'held' || !grant.canSuspend || grant.customer === customer) return;
    // Let a resumed stream run for a while; otherwise it could be suspended again immediately.
    const wasResumed = grant.phaseSince > grant.issuedAt;
    if (wasResumed && ctx.now - grant.phaseSince < SUSPEND_RETRY_MS) return;
    const service = serviceOf(grant.customer);
    if (service <= mostService) return;
    if (suspensionHeadroom(state, pool, grant.upstream, hasSlot) <= 0) return;
    mostService = service;
    candidate = grant;
  });
  if (candidate === undefined || isPending) return;
  setGrantPhase(ctx, candidate, 'suspending');
  sendSuspendRequest(ctx, candidate, false);
}

/**
 * Resumes one suspended stream on the `free` upstreams: of the eligible ones, that with the longest
 * suspension. A stream is eligible if no customer waits, if its customer is not ahead of the next
 * waiting one, if the maximum suspension has elapsed, or if too many streams are suspended on its
 * upstream. Returns whether a stream was resumed.
 */
export function resumeNextSuspended(
  ctx: CoreContext,
  pool: PoolConfig,
  free: readonly UpstreamConfig[],
  waiting: CustomerNumber | undefined,
): boolean {
  const { state } = ctx;
  const account = accountOf(state, pool.id);
  if (account === undefined) return false;
  const serviceOf = serviceReader(state, account, 'reserved');
  const maxService = waiting === undefined ? Infinity : serviceOf(waiting);
  const waitingHasNoSlot = waiting !== undefined && !holdsSlot(state, pool, waiting);
  let next: IssuedGrant | undefined;
  free.forEach((upstream) => {
    if ((state.dispatch.slots.get(upstream.id)?.suspended ?? 0) === 0) return;
    // Resuming a stream restores the half of the allowance that is reserved for customers without
    // slots. This takes precedence over a new grant.
    const isOverdrawn = !waitingHasNoSlot && suspensionHeadroom(state, pool, upstream.id, true) < 0;
    state.dispatch.issued.forEach((grant) => {
      if (grant.upstream !== upstream.id || grant.phase !== 'suspended') return;
      const isOverdue = ctx.now - grant.phaseSince >= state.settings.maxSuspendMs;
      if (!isOverdue && !isOverdrawn && serviceOf(grant.customer) > maxService) return;
      if (next === undefined || grant.phaseSince < next.phaseSince) next = grant;
    });
  });
  if (next === undefined) return false;
  setGrantPhase(ctx, next, 'held');
  sendSuspendRequest(ctx, next, true);
  return true;
}

/** Whether a customer holds a grant in the pool that is not suspended. */
function holdsSlot(state: CoreState, pool: PoolConfig, customer: CustomerNumber): boolean {
  for (const grant of state.dispatch.issued.values()) {
    const isHeld = grant.customer === customer && grant.pool === pool.id;
    if (isHeld && grant.phase !== 'suspended') return true;
  }
  return false;
}

/**
 * Returns how many more streams may be suspended on an upstream. Half of the allowance is reserved
 * for customers that hold no slot.
 */
function suspensionHeadroom(
  state: CoreState,
  pool: PoolConfig,
  upstreamId: UpstreamId,
  hasSlot: boolean,
): number {
  const upstream = state.configuration.view?.upstreams.get(upstreamId);
  if (upstream === undefined) return 0;
  const suspended = state.dispatch.slots.get(upstreamId)?.suspended ?? 0;
  const allowed = Math.floor(pool.suspendShare * upstream.slots);
  return (hasSlot ? Math.floor(allowed / 2) : allowed) - suspended;
}

function sendSuspendRequest(ctx: CoreContext, grant: IssuedGrant, resume: boolean): void {
  const value = { grantId: grant.grantId, resume };
  sendToInstance(ctx, grant.entry, { $case: 'suspendRequest', value });
}
