/** Returns and releases grants held by an entry. */
import { sendToInstance, type CoreContext } from '../context.js';
import { updateRunningUsage } from '../limits/limits.js';
import { ownerOf } from '../ownership/ownership.js';
import type { SlotGrant } from '../types.js';
import { grantKey } from './dispatchState.js';
import { countUnderEarlierOwners, isFromEarlierOwner } from './heldGrants.js';

/** Returns an unused grant to its owner. */
export function returnGrant(ctx: CoreContext, grant: SlotGrant): void {
  removeHeldGrant(ctx, grant);
  sendToInstance(ctx, grant.owner, { $case: 'grantReturn', value: { grantIds: [grant.grantId] } });
}

/**
 * Reports the end of a grant to its owner and, if that has changed, to the upstream's current
 * owner.
 */
export function releaseGrant(ctx: CoreContext, grant: SlotGrant): void {
  const { state } = ctx;
  const hasEarlierOwner = isFromEarlierOwner(state, grant);
  removeHeldGrant(ctx, grant);
  state.dispatch.suspendedAttempts.delete(grantKey(grant));
  const value = { running: [], ended: [grant.grantId], suspended: [], refused: [] };
  sendToInstance(ctx, grant.owner, {
    $case: 'slotUpdate',
    value: { ...value, heldUpstreams: [], heldCounts: [] },
  });
  const owner = ownerOf(state, grant.upstream);
  if (!hasEarlierOwner || owner === undefined) return;
  const held = countUnderEarlierOwners(state, grant.upstream);
  sendToInstance(ctx, owner, {
    $case: 'slotUpdate',
    value: { ...value, ended: [], heldUpstreams: [grant.upstream], heldCounts: [held] },
  });
}

function removeHeldGrant(ctx: CoreContext, grant: SlotGrant): void {
  const { heldGrants } = ctx.state.dispatch;
  const held = heldGrants.get(grantKey(grant));
  if (held === undefined) return;
  heldGrants.delete(grantKey(grant));
  updateRunningUsage(ctx.state, held.customer, -1);
}
