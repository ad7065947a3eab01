/** Grants as an entry gives them back to their owners. */
import { sendTo, type CoreContext } from '../context.js';
import type { GrantFacts } from '../types.js';

/** Gives an unused grant back to its owner. */
export function returnGrant(ctx: CoreContext, grant: GrantFacts): void {
  sendTo(ctx, grant.owner, { $case: 'grantReturn', value: { grantIds: [grant.grantId] } });
}

/** Tells the owner that the slot of a grant is free again. */
export function releaseGrant(ctx: CoreContext, grant: GrantFacts): void {
  sendTo(ctx, grant.owner, {
    $case: 'slotUpdate',
    value: {
      running: [],
      ended: [grant.grantId],
      suspended: [],
      heldUpstreams: [],
      heldCounts: [],
    },
  });
}
