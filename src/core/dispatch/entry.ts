/**
 * Entry side of dispatch: announcements of waiting counts to the owners, and the use of the grants
 * that come back.
 */
import { startAttempt } from '../attempts/attempts.js';
import { sendTo, type CoreContext } from '../context.js';
import { ownerOf } from '../ownership/ownership.js';
import { returnGrant } from './grants.js';
import { noteChange, takeNext } from './queues.js';
import type { CoreState } from '../state.js';
import type { GrantFacts, InstanceId, PeerMessageOf, PoolId } from '../types.js';

/** Sends the waiting counts of the changed pools to their owners. */
export function onAnnounceTimer(ctx: CoreContext): void {
  const { dispatch } = ctx.state;
  dispatch.changedPools.forEach((pool) => announcePool(ctx, pool));
  dispatch.changedPools.clear();
}

export function onGrant(ctx: CoreContext, owner: InstanceId, grant: PeerMessageOf<'grant'>): void {
  const pool = ctx.state.configuration.view?.poolsByNumber.get(grant.pool);
  const facts: GrantFacts = {
    grantId: grant.grantId,
    owner,
    upstream: grant.upstream,
    expiresAt: ctx.now + grant.expiresInMs,
  };
  const requestId = pool && takeNext(ctx.state, pool.id, grant.customer, grant.upstream);
  if (requestId === undefined || pool === undefined) {
    returnGrant(ctx, facts);
    return;
  }
  noteChange(ctx, pool.id);
  startAttempt(ctx, requestId, facts);
}

function announcePool(ctx: CoreContext, pool: PoolId): void {
  const { state } = ctx;
  const view = state.configuration.view?.pools.get(pool);
  if (view === undefined) return;
  state.dispatch.sequence += 1;
  const customers: number[] = [];
  const counts: number[] = [];
  state.dispatch.queues.get(pool)?.forEach((queue, customer) => {
    if (queue.length === 0) return;
    customers.push(customer);
    counts.push(queue.length);
  });
  const value = {
    pool: view.number,
    sequence: state.dispatch.sequence,
    full: true,
    customers,
    counts,
    waitedMs: 0,
    headSizes: [],
    heads: [],
  };
  ownersOf(state, pool).forEach((owner) => sendTo(ctx, owner, { $case: 'waitingUpdate', value }));
}

function ownersOf(state: CoreState, pool: PoolId): ReadonlySet<InstanceId> {
  const owners = new Set<InstanceId>();
  state.configuration.view?.upstreamsByPool.get(pool)?.forEach((upstream) => {
    const owner = ownerOf(state, upstream.id);
    if (owner !== undefined) owners.add(owner);
  });
  return owners;
}
