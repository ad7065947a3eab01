/**
 * Polling of the platform for the configuration, the list of upstreams and the other instances.
 * Each poll continues at the cursor of the last one, restarts with a read of the whole state if the
 * history since the cursor is not available or is of another era, and backs off while the platform is
 * unavailable.
 */
import { Debug } from '../core/debug.js';
import {
  logInfo,
  logWarning,
  setRetryTimer,
  type RetryBackoff,
  type RoutingContext,
} from './context.js';
import type { Cursor, Era, PollOutcome, RoutingTimer } from './types.js';

type Answered<T> = Extract<PollOutcome<T>, { readonly kind: 'answered' }>;

export interface PollState {
  /** Position at which the next read continues; without it, the whole state is read. */
  cursor: Cursor | undefined;
  /** Number of consecutive failed reads. */
  failures: number;
  /** Era of the platform in which it was last read, if the platform tells. */
  era: Era | undefined;
}

/** A polled resource: its state, its timer and how a read of it is started. */
export interface Poll {
  /** Name of the resource in log lines. */
  readonly reads: 'configuration' | 'upstreams' | 'instances';
  readonly state: PollState;
  readonly timer: RoutingTimer;
  readonly retryBackoff: RetryBackoff;
  readonly start: (ctx: RoutingContext) => void;
}

/**
 * Returns the position at which the next read continues; `undefined` if the whole state has to be read.
 * A position of an era before the latest one is void, and a read that waits there may wait for long.
 */
export function nextCursor({ state }: RoutingContext, poll: PollState): Cursor | undefined {
  const { platformEra } = state;
  const isVoid = poll.era !== undefined && platformEra !== undefined && poll.era < platformEra;
  return isVoid ? undefined : poll.cursor;
}

/** What a read has returned. */
export interface PollAnswer<T> {
  readonly changes: readonly T[];
  /** Whether this is the first read since the platform has come back from an earlier copy of itself. */
  readonly isRestored: boolean;
}

/**
 * Handles the outcome of a read. Returns what it has returned, or `undefined` if the read is repeated.
 *
 * A position is one of its era: after a restore, the log may have other records at that position, or
 * before it. So the whole state is read once in each era.
 */
export function handlePollOutcome<T>(
  ctx: RoutingContext,
  poll: Poll,
  outcome: PollOutcome<T>,
  isWhole: boolean,
): PollAnswer<T> | undefined {
  const { state, timer, retryBackoff, start } = poll;
  if (outcome.kind !== 'failed') notePlatformEra(ctx, outcome.era);
  switch (outcome.kind) {
    case 'answered':
      return handleAnswer(ctx, poll, outcome, isWhole);
    case 'expired':
      // Without the history, only a read of the whole state returns the current state.
      state.cursor = undefined;
      start(ctx);
      return undefined;
    case 'failed':
      state.failures += 1;
      if (state.failures === 1)
        logWarning(ctx, 'platformLost', { reads: poll.reads, reason: outcome.reason });
      setRetryTimer(ctx, timer, retryBackoff, state.failures);
      return undefined;
    default:
      return Debug.assertNever(outcome);
  }
}

function notePlatformEra({ state }: RoutingContext, era: Era | undefined): void {
  const { platformEra } = state;
  if (era === undefined || (platformEra !== undefined && era <= platformEra)) return;
  const noted = state;
  noted.platformEra = era;
}

function handleAnswer<T>(
  ctx: RoutingContext,
  { reads, state, start }: Poll,
  { cursor, changes, era }: Answered<T>,
  isWhole: boolean,
): PollAnswer<T> | undefined {
  const previous = state.era;
  const isOlder = era !== undefined && previous !== undefined && era < previous;
  const isLater = era !== undefined && previous !== undefined && era > previous;
  if (isOlder || (isLater && !isWhole)) {
    // The answer is from before a restore, or continues at a position of the era before.
    if (isLater) state.cursor = undefined;
    start(ctx);
    return undefined;
  }
  if (state.failures > 0) logInfo(ctx, 'platformRegained', { reads, failures: state.failures });
  state.failures = 0;
  if (isLater) {
    logWarning(ctx, 'platformRestored', { reads, era, previous, records: changes.length });
    state.cursor = cursor;
  } else {
    // A peer may have told of later changes while the read was under way.
    state.cursor = Math.max(state.cursor ?? 0, cursor);
  }
  state.era = era ?? previous;
  return { changes, isRestored: isLater };
}
