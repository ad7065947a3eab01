/**
 * Repeated reads of the platform: of the configuration, of the list of upstreams and of the other
 * instances. Each goes on from where the last one ended, begins anew once the history is gone, and
 * is tried again less and less often while the platform is away.
 */
import { Debug } from '../core/debug.js';
import {
  logInfo,
  logWarning,
  setRetryTimer,
  type RetryDelay,
  type RoutingContext,
} from './context.js';
import type { Cursor, PollOutcome, RoutingTimer } from './types.js';

export interface PollState {
  /** Where the next read goes on; the whole state is read without one. */
  cursor: Cursor | undefined;
  /** Reads in a row that failed. */
  failures: number;
}

/** One of the reads. */
export interface Poll {
  /** What is read, for logs. */
  readonly reads: 'configuration' | 'upstreams' | 'instances';
  readonly state: PollState;
  readonly timer: RoutingTimer;
  readonly retryDelay: RetryDelay;
  readonly start: (ctx: RoutingContext) => void;
}

/** Notes how a read ended. Returns the changes, or `undefined` if the read is to be made again. */
export function settlePoll<T>(
  ctx: RoutingContext,
  { reads, state, timer, retryDelay, start }: Poll,
  outcome: PollOutcome<T>,
): readonly T[] | undefined {
  switch (outcome.kind) {
    case 'answered':
      if (state.failures > 0) logInfo(ctx, 'platformRegained', { reads, failures: state.failures });
      state.failures = 0;
      state.cursor = outcome.cursor;
      return outcome.changes;
    case 'expired':
      // Only a read of the whole state tells what is newest now.
      state.cursor = undefined;
      start(ctx);
      return undefined;
    case 'failed':
      state.failures += 1;
      if (state.failures === 1) logWarning(ctx, 'platformLost', { reads, reason: outcome.reason });
      setRetryTimer(ctx, timer, retryDelay, state.failures);
      return undefined;
    default:
      return Debug.assertNever(outcome);
  }
}
