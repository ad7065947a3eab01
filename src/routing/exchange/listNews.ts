/**
 * Passes the platform's list of upstreams on within a failure domain. Every message tells up to
 * which position of the platform's log its sender knows the list and how old that knowledge is;
 * those of the reader also contain the latest changes. So do those of the others while they read the
 * list by themselves, since the reader may be the one whose reads are not answered. A receiver applies
 * changes only if none is missing between its own position and theirs, so that its list is always one
 * that the platform had.
 *
 * That the platform was away for the reader is not passed on: it may have been cut off alone, and
 * the others must then drop what leaves the list at once.
 */
import type { Millis } from '../../core/clock.js';
import type { RoutingContext } from '../context.js';
import { ageOfRead, confirmByPeer } from '../freshness/sharedRead.js';
import type { UpstreamChange } from '../types.js';
import { applyFrom } from '../upstreams/list.js';
import type { PositionedChange } from '../upstreams/listHistory.js';
import type { RoutingMessage } from './exchangeState.js';
import { hasLowestId } from './members.js';

export type ListNews = NonNullable<RoutingMessage['list']>;
type ListNewsChange = ListNews['changes'][number];

/** Stands in messages for the era of a platform that does not tell. */
const NO_ERA = 0;

const UNLISTED = {
  pool: '',
  address: '',
  domain: '',
  slots: 0,
  version: '',
  isDraining: false,
  startedAt: 0,
  beat: 0,
} as const;

/** Composes what this instance knows of the list; `undefined` if it has not read it. */
export function composeListNews(ctx: RoutingContext): ListNews | undefined {
  const { upstreams } = ctx.state;
  const ageMs = ageOfRead(ctx, upstreams);
  if (upstreams.cursor === undefined || ageMs === undefined) return undefined;
  const { from, changes } = tellsChanges(ctx)
    ? upstreams.history.recent(ctx.now)
    : { from: undefined, changes: [] };
  return {
    cursor: upstreams.cursor,
    era: upstreams.era ?? NO_ERA,
    from: from ?? upstreams.cursor,
    ageMs: Math.ceil(ageMs),
    changes: changes.flatMap(encodeChange),
  };
}

/** Returns whether this instance reads the list for the others, or has just read it by itself. */
function tellsChanges(ctx: RoutingContext): boolean {
  const { upstreams, settings } = ctx.state;
  return hasLowestId(ctx) || ctx.now - upstreams.begunAt < settings.drainMs;
}

/**
 * Applies a peer's news.
 *
 * @param sentAt Time at which this instance sent the latest message that the peer had read; the peer
 *   composed its news later.
 */
export function applyListNews(ctx: RoutingContext, news: ListNews, sentAt: Millis): void {
  const { upstreams } = ctx.state;
  const { cursor } = upstreams;
  // Positions of different eras cannot be compared.
  if ((upstreams.era ?? NO_ERA) !== news.era) return;
  if (cursor === undefined || news.cursor < cursor || news.from > cursor) return;
  if (news.cursor > cursor) {
    applyFrom(ctx, cursor, news.changes.map(decodeChange));
    upstreams.cursor = news.cursor;
  }
  confirmByPeer(ctx, upstreams, sentAt - news.ageMs);
}

function encodeChange({ offset, change }: PositionedChange): readonly ListNewsChange[] {
  switch (change.kind) {
    case 'listed': {
      const { id, pool, address, domain, slots, version, phase, startedAt, beat } = change.upstream;
      const isDraining = phase === 'draining';
      const listed = { id, pool, address, domain, slots, version, isDraining, startedAt, beat };
      return [{ offset, isRemoved: false, ...listed }];
    }
    case 'removed':
      return [{ offset, isRemoved: true, ...UNLISTED, id: change.id }];
    default:
      // An unreadable entry changes nothing.
      return [];
  }
}

function decodeChange(change: ListNewsChange): PositionedChange {
  const { offset, id } = change;
  if (change.isRemoved) return { offset, change: { kind: 'removed', id } };
  const { pool, address, domain, slots, version, startedAt, beat } = change;
  const phase = change.isDraining ? 'draining' : 'ready';
  const decoded: UpstreamChange = {
    kind: 'listed',
    upstream: { id, pool, address, domain, slots, version, phase, startedAt, beat },
  };
  return { offset, change: decoded };
}
