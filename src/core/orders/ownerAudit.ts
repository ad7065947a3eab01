/** Tells the audit trail which upstreams this instance came to own and which it gave up. */
import { audit, type CoreContext } from '../context.js';
import { ownedUpstreams } from '../ownership/ownership.js';
import type { UpstreamId } from '../types.js';

/** Names in one entry; the rest is counted. */
const NAMES_MAX = 20;

/** Compares the owned upstreams with those of the last call; one entry for all changes. */
export function auditOwners(ctx: CoreContext): void {
  const { orders } = ctx.state;
  const list = ownedUpstreams(ctx.state);
  if (list === orders.ownedList) return;
  orders.ownedList = list;
  const owned = new Set(list.map(({ id }) => id));
  const gained = [...owned].filter((id) => !orders.owned.has(id));
  const lost = [...orders.owned].filter((id) => !owned.has(id));
  orders.owned = owned;
  if (gained.length === 0 && lost.length === 0) return;
  const detail = [describe('gained', gained), describe('lost', lost)].filter(Boolean).join('; ');
  audit(ctx, 'owner', 'upstreams', detail);
}

function describe(what: string, ids: readonly UpstreamId[]): string {
  if (ids.length === 0) return '';
  const rest = ids.length - NAMES_MAX;
  const names = ids.slice(0, NAMES_MAX).join(' ');
  return `${what} ${names}${rest > 0 ? ` and ${rest} more` : ''}`;
}
