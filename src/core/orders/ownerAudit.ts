/** Audit entries for upstreams that this instance starts or stops owning. */
import { emitAuditEntry, type CoreContext } from '../context.js';
import { ownedUpstreams } from '../ownership/ownership.js';
import type { UpstreamId } from '../types.js';

/** Maximum number of ids in an entry; the others are only counted. */
const MAX_LISTED_UPSTREAMS = 20;

/** Writes one audit entry for all changes of the owned upstreams since the last call. */
export function auditOwnership(ctx: CoreContext): void {
  const { orders } = ctx.state;
  const list = ownedUpstreams(ctx.state);
  if (list === orders.ownedList) return;
  orders.ownedList = list;
  const owned = new Set(list.map(({ id }) => id));
  const gained = [...owned].filter((id) => !orders.owned.has(id));
  const lost = [...orders.owned].filter((id) => !owned.has(id));
  orders.owned = owned;
  if (gained.length === 0 && lost.length === 0) return;
  const detail = [formatChange('gained', gained), formatChange('lost', lost)]
    .filter(Boolean)
    .join('; ');
  emitAuditEntry(ctx, 'owner', 'upstreams', detail);
}

function formatChange(what: string, ids: readonly UpstreamId[]): string {
  if (ids.length === 0) return '';
  const remaining = ids.length - MAX_LISTED_UPSTREAMS;
  const names = ids.slice(0, MAX_LISTED_UPSTREAMS).join(' ');
  return `${what} ${names}${remaining > 0 ? ` and ${remaining} more` : ''}`;
}
