/** Grants as an entry gives them back to their owners. */
import { sendTo, type CoreContext } from '../context.js';
import { noteRunning } from '../limits/limits.js';
import { ownerOf } from '../ownership/ownership.js';
import type { GrantFacts } from '../types.js';
import { grantKey } from './dispatchState.js';
import { heldUnderEarlier, isOfEarlierOwner } from './holds.js';

/** Gives an unused grant back to its owner. */
export function returnGrant(ctx: CoreContext, grant: GrantFacts): void {
  forgetHeld(ctx, grant);
  sendTo(ctx, grant.owner, { $case: 'grantReturn', value: { grantIds: [grant.grantId] } });
}

/** Tells the owner that the slot of a grant is free again. */
export function releaseGrant(ctx: CoreContext, grant: GrantFacts): void {
  const { state } = ctx;
  const isForeign = isOfEarlierOwner(state, grant);
  forgetHeld(ctx, grant);
  state.dispatch.suspendedAttempts.delete(grantKey(grant));
  const value = { running: [], ended: [grant.grantId], suspended: [], refused: [] };
  sendTo(ctx, grant.owner, {
    $case: 'slotUpdate',
    value: { ...value, heldUpstreams: [], heldCounts: [] },
  });
  const owner = ownerOf(state, grant.upstream);
  if (!isForeign || owner === undefined) return;
  const held = heldUnderEarlier(state, grant.upstream);
  sendTo(ctx, owner, {
    $case: 'slotUpdate',
    value: { ...value, ended: [], heldUpstreams: [grant.upstream], heldCounts: [held] },
  });
}

function forgetHeld(ctx: CoreContext, grant: GrantFacts): void {
  const { heldGrants } = ctx.state.dispatch;
  const held = heldGrants.get(grantKey(grant));
  if (held === undefined) return;
  heldGrants.delete(grantKey(grant));
  noteRunning(ctx.state, held.customer, -1);
}
