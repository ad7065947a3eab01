/** Possible causes of upstreams' crashes, and what is known in their favour. */
import type { Millis } from '../../core/clock.js';
import type { CauseHash } from './causes.js';
import type { Crash } from './crash.js';
import type { Verdict } from './verdict.js';

export interface Suspect {
  /** Id of the part, if the cause is one and a request with it has been seen here. */
  part: string | undefined;
  /** Whether the cause is a request as a whole, as far as is known. */
  isWhole: boolean;
  verdict: Verdict;
  /** Crashes since a request with the cause was last answered, in order of time. */
  crashes: readonly Crash[];
  /** Number of crashes that followed one another. */
  count: number;
  /** Time at which any instance last sent a request with the cause although it is refused. */
  lastTrialAt: Millis | undefined;
}

/** A change that the other instances have to learn. */
export type SuspectChange =
  | {
      readonly kind: 'crash';
      readonly cause: CauseHash;
      readonly isWhole: boolean;
      readonly crash: Crash;
    }
  | { readonly kind: 'answered'; readonly cause: CauseHash; readonly at: Millis }
  | { readonly kind: 'trial'; readonly cause: CauseHash; readonly at: Millis };

export interface QueuedChange {
  readonly change: SuspectChange;
  /** Number of messages that are still to contain it. */
  readonly sendsLeft: number;
}

export interface SuspectsState {
  /** Least recently changed first. */
  readonly suspects: Map<CauseHash, Suspect>;
  /** Causes that are refused; all of them are in `suspects`. */
  readonly blocked: Set<CauseHash>;
  /** Whether a cause was refused since the open requests were last searched for it. */
  hasNewBlocked: boolean;
  /** Time at which a request with the cause was last answered; least recent first. */
  readonly answeredAt: Map<CauseHash, Millis>;
  /** Changes for the next messages, by cause, kind and upstream. */
  readonly queue: Map<string, QueuedChange>;
}

export function createSuspectsState(): SuspectsState {
  return {
    suspects: new Map(),
    blocked: new Set(),
    hasNewBlocked: false,
    answeredAt: new Map(),
    queue: new Map(),
  };
}
