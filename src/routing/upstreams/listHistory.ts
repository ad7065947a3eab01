/**
 * The latest changes to the upstream list, with their positions in the platform's log. An instance
 * that reads the list passes them on to the others of its failure domain.
 */
import type { Millis } from '../../core/clock.js';
import type { Cursor, UpstreamChange } from '../types.js';

/** Time for which changes are kept; an instance that missed them for longer reads the list itself. */
const HISTORY_MS: Millis = 2_500;
/** Number of changes that are kept, which bounds the size of messages. */
const MAX_CHANGES = 100;

export interface PositionedChange {
  /** Position of the change in the platform's log. */
  readonly offset: Cursor;
  readonly change: UpstreamChange;
}

interface ReadChanges {
  readonly from: Cursor;
  readonly changes: readonly PositionedChange[];
  readonly at: Millis;
}

export interface ListHistory {
  /** Records the changes between two positions. */
  readonly add: (from: Cursor, changes: readonly PositionedChange[], now: Millis) => void;
  /** Starts anew, because the changes before the next ones are not known. */
  readonly clear: () => void;
  /** Returns the position from which all changes are known, if any, and those changes. */
  readonly recent: (now: Millis) => {
    readonly from: Cursor | undefined;
    readonly changes: readonly PositionedChange[];
  };
}

export function createListHistory(): ListHistory {
  let reads: ReadChanges[] = [];

  function trim(now: Millis): void {
    let kept = 0;
    const lastDropped = reads.findLastIndex(({ changes, at }) => {
      kept += changes.length;
      return kept > MAX_CHANGES || now - at > HISTORY_MS;
    });
    reads = reads.slice(lastDropped + 1);
  }

  return {
    add: (from, changes, now) => {
      reads.push({ from, changes, at: now });
      trim(now);
    },
    clear: () => {
      reads = [];
    },
    recent: (now) => {
      trim(now);
      return { from: reads[0]?.from, changes: reads.flatMap(({ changes }) => changes) };
    },
  };
}
