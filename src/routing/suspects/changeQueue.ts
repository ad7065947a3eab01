/** Queue of the changes that the other instances have to learn; each is part of several messages. */
import type { Millis } from '../../core/clock.js';
import type { RoutingContext } from '../context.js';
import { hastenExchange } from '../exchange/hasten.js';
import { Debug } from '../../core/debug.js';
import type { SuspectChange } from './suspectsState.js';

/** Number of messages that contain a change. */
const SENDS = 3;
/** Maximum number of changes in one message; the others follow in the next ones. */
const MAX_CHANGES = 300;
/** Maximum number of queued changes; further ones are not told. */
const MAX_QUEUED = 4_000;
/** Minimum interval between a message with an urgent change and the one before. */
const MIN_URGENT_INTERVAL_MS: Millis = 50;

/**
 * Queues a change that the other instances have to learn before a caller repeats its request at one of
 * them.
 */
export function queueUrgentChange(ctx: RoutingContext, change: SuspectChange): void {
  queueChange(ctx, change);
  hastenExchange(ctx, MIN_URGENT_INTERVAL_MS);
}

/** Queues a change for the next messages. */
export function queueChange({ state }: RoutingContext, change: SuspectChange): void {
  const { queue } = state.suspects;
  const key = keyOf(change);
  if (queue.size >= MAX_QUEUED && !queue.has(key)) return;
  queue.set(key, { change, sendsLeft: SENDS });
}

function keyOf(change: SuspectChange): string {
  const { kind, cause } = change;
  switch (kind) {
    case 'crash':
      return `${cause} ${change.crash.upstream}`;
    case 'answered':
      return String(cause);
    case 'trial':
      return `${cause} trial`;
    default:
      return Debug.assertNever(kind);
  }
}

/** Takes the changes for the next message. */
export function takeChanges({ state }: RoutingContext): readonly SuspectChange[] {
  const { queue } = state.suspects;
  const taken = [...queue].slice(0, MAX_CHANGES);
  taken.forEach(([key, { change, sendsLeft }]) => {
    // Those that are sent again come after the others.
    queue.delete(key);
    if (sendsLeft > 1) queue.set(key, { change, sendsLeft: sendsLeft - 1 });
  });
  return taken.map(([, { change }]) => change);
}
