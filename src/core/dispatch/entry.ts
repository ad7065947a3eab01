/** Entry side of dispatch: handles grants and suspend requests from owners. */
import { startAttempt } from '../attempts/attempts.js';
import { sendToInstance, type CoreContext } from '../context.js';
import { updateRunningUsage } from '../limits/limits.js';
import type { CoreState } from '../state.js';
import type { SlotGrant, GrantId, InstanceId, PeerMessageOf } from '../types.js';
import { grantKey } from './dispatchState.js';
import { recordGranted } from './announcements.js';
import { returnGrant } from './grants.js';
import { scheduleAnnouncement, scheduleDelayedAnnouncement, dequeueNext } from './queues.js';

/** Maximum number of grant ids kept per owner to detect duplicate delivery. */
const MAX_SEEN_GRANTS = 512;

/** Starts an attempt under a new grant, or returns the grant if no request may use it. */
export function onGrant(
  ctx: CoreContext,
  owner: InstanceId,
  incarnation: number,
  grant: PeerMessageOf<'grant'>,
): void {
  const { state } = ctx;
  if (!isFirstDelivery(state, owner, incarnation, grant.grantId)) return;
  const pool = state.configuration.view?.poolsByNumber.get(grant.pool);
  const slotGrant: SlotGrant = {
    grantId: grant.grantId,
    owner,
    upstream: grant.upstream,
    expiresAt: ctx.now + grant.expiresInMs,
    cachedShare: Math.min(100, grant.cachedPercent) / 100,
  };
  if (pool === undefined) {
    returnGrant(ctx, slotGrant);
    return;
  }
  recordGranted(state, owner, pool.id, grant.customer);
  const requestId = dequeueNext(state, pool.id, grant.customer, grant.upstream);
  if (requestId === undefined) {
    // No waiting request may run on this upstream. Announcing immediately would yield the same
    // grant.
    scheduleDelayedAnnouncement(ctx, pool.id, grant.customer);
    returnGrant(ctx, slotGrant);
    return;
  }
  scheduleAnnouncement(ctx, pool.id, grant.customer);
  state.dispatch.heldGrants.set(grantKey(slotGrant), { customer: grant.customer, incarnation });
  updateRunningUsage(state, grant.customer, 1);
  startAttempt(ctx, requestId, slotGrant);
}

/** Resumes the attempt of a grant, or suspends it if it is a running, idempotent stream. */
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
  sendToInstance(ctx, owner, {
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
  if (seen.ids.size > MAX_SEEN_GRANTS && oldest !== undefined) seen.ids.delete(oldest);
  return true;
}
