/** Queue of the changes that the other instances have to learn; each is part of several messages. */
import type { RoutingContext } from '../context.js';
import type { SuspectChange } from './suspectsState.js';

/** Number of messages that contain a change. */
const SENDS = 3;
/** Maximum number of changes in one message; the others follow in the next ones. */
const MAX_CHANGES = 300;
/** Maximum number of queued changes; further ones are not told. */
const MAX_QUEUED = 4_000;
/** Queues a change for the next messages. */
export function queueChange({ state }: RoutingContext, change: SuspectChange): void {
  const { queue } = state.suspects;
  const key = keyOf(change);
  if (queue.size >= MAX_QUEUED && !queue.has(key)) return;
  queue.set(key, { change, sendsLeft: SENDS });
}

function keyOf(change: SuspectChange): string {
  return change.kind === 'crash'
    ? `${change.cause} ${change.crash.upstream}`
    : String(change.cause);
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
