/** Entry side of dispatch: the use of grants, and requests of owners to suspend attempts. */
import { startAttempt } from '../attempts/attempts.js';
import { sendTo, type CoreContext } from '../context.js';
import { noteRunning } from '../limits/limits.js';
import type { CoreState } from '../state.js';
import type { GrantFacts, GrantId, InstanceId, PeerMessageOf } from '../types.js';
import { grantKey } from './dispatchState.js';
import { noteGranted } from './announcements.js';
import { returnGrant } from './grants.js';
import { noteChange, noteChangeLater, takeNext } from './queues.js';

/** Ids of one owner that are remembered against repeated delivery. */
const REMEMBERED_GRANTS = 512;

export function onGrant(
  ctx: CoreContext,
  owner: InstanceId,
  incarnation: number,
  grant: PeerMessageOf<'grant'>,
): void {
  const { state } = ctx;
  if (!isFirstDelivery(state, owner, incarnation, grant.grantId)) return;
  const pool = state.configuration.view?.poolsByNumber.get(grant.pool);
  const facts: GrantFacts = {
    grantId: grant.grantId,
    owner,
    upstream: grant.upstream,
    expiresAt: ctx.now + grant.expiresInMs,
    cachedShare: Math.min(100, grant.cachedPercent) / 100,
  };
  if (pool === undefined) {
    returnGrant(ctx, facts);
    return;
  }
  noteGranted(state, owner, pool.id, grant.customer);
  const requestId = takeNext(state, pool.id, grant.customer, grant.upstream);
  if (requestId === undefined) {
    // What waits may not run on this upstream; offering it again at once would bring the same grant.
    noteChangeLater(ctx, pool.id, grant.customer);
    returnGrant(ctx, facts);
    return;
  }
  noteChange(ctx, pool.id, grant.customer);
  state.dispatch.heldGrants.set(grantKey(facts), { customer: grant.customer, incarnation });
  noteRunning(state, grant.customer, 1);
  startAttempt(ctx, requestId, facts);
}

/** Suspends or resumes the attempt of a grant, if it is an idempotent stream that still runs. */
export function onSuspendRequest(
  ctx: CoreContext,
  owner: InstanceId,
  request: PeerMessageOf<'suspendRequest'>,
): void {
  const { state } = ctx;
  const { suspendedAttempts } = state.dispatch;
  const attempt = [...state.attempts.running.values()].find(
    ({ grant }) => grant.grantId === request.grantId && grant.owner === owner,
  );
  if (attempt === undefined) return;
  const { attemptId, grant } = attempt;
  const facts = state.requests.active.get(attempt.requestId)?.facts;
  const isSuspended = suspendedAttempts.has(grantKey(grant));
  const maySuspend = facts?.idempotent === true && facts.streamed;
  if (request.resume && isSuspended) {
    suspendedAttempts.delete(grantKey(grant));
    ctx.emit({ kind: 'resumeAttempt', attemptId, upstream: grant.upstream });
  } else if (!request.resume && !isSuspended && maySuspend) {
    suspendedAttempts.set(grantKey(grant), { attemptId, upstream: grant.upstream, since: ctx.now });
    ctx.emit({ kind: 'suspendAttempt', attemptId, upstream: grant.upstream });
  }
  const isRefused = !request.resume && !suspendedAttempts.has(grantKey(grant));
  reportPhase(ctx, owner, grant.grantId, isRefused);
}

function reportPhase(
  ctx: CoreContext,
  owner: InstanceId,
  grantId: GrantId,
  isRefused: boolean,
): void {
  const isSuspended = ctx.state.dispatch.suspendedAttempts.has(grantKey({ owner, grantId }));
  sendTo(ctx, owner, {
    $case: 'slotUpdate',
    value: {
      running: isSuspended ? [] : [grantId],
      ended: [],
      suspended: isSuspended ? [grantId] : [],
      heldUpstreams: [],
      heldCounts: [],
      refused: isRefused ? [grantId] : [],
    },
  });
}

function isFirstDelivery(
  state: CoreState,
  owner: InstanceId,
  incarnation: number,
  id: GrantId,
): boolean {
  const { seenGrants } = state.dispatch;
  const seen = seenGrants.get(owner);
  if (seen === undefined || seen.incarnation < incarnation) {
    seenGrants.set(owner, { incarnation, ids: new Set([id]) });
    return true;
  }
  if (seen.incarnation > incarnation || seen.ids.has(id)) return false;
  seen.ids.add(id);
  const [oldest] = seen.ids;
  if (seen.ids.size > REMEMBERED_GRANTS && oldest !== undefined) seen.ids.delete(oldest);
  return true;
}
