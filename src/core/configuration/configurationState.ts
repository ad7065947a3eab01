/**
 * State of the configuration: the active view, the fold from which it is built, the records that are
 * read but not yet folded, and the jobs in progress. Long jobs run in slices, one for each `apply`
 * timer.
 */
import type { Steps } from '../../configuration/types.js';
import type { BuiltView } from '../../configuration/view.js';
import type { Millis } from '../clock.js';
import type { CoreContext } from '../context.js';
import type { ConfigurationView, InstanceId, StreamRecord } from '../types.js';
import type { CheckpointPart } from './checkpoint.js';
import { createFoldState, type FoldState } from './foldState.js';
import type { CheckpointNote } from './records.js';

/** Applies the result of a finished job. */
export type Completion = (ctx: CoreContext) => void;
export type Job = Steps<Completion>;

/** The read of the log in progress; there is at most one. */
export interface OutstandingRead {
  readonly stream: string;
  readonly from: number;
  readonly sentAt: Millis;
  readonly waitMs: Millis;
}

/** What the log is being read for. */
export type ReadingMode =
  /** New records, after those already read. */
  | { readonly kind: 'follow' }
  /** The last checkpoint note, because records that have not been read have expired. */
  | { readonly kind: 'locate'; next: number; note: CheckpointNote | undefined }
  /** The parts of the checkpoint that `note` announces. */
  | { readonly kind: 'load'; readonly note: CheckpointNote; next: number };

export interface ReadingState {
  mode: ReadingMode;
  outstanding: OutstandingRead | undefined;
  /** Earliest time of the next read. */
  retryAt: Millis;
  /** Time of the first failed read since the last successful one. */
  failingSince: Millis | undefined;
  /** Time of the last read that reached the end of the log. */
  atEndAt: Millis | undefined;
}

/** Parts of one checkpoint received so far. */
export interface CheckpointAssembly {
  readonly id: string;
  readonly parts: (CheckpointPart | undefined)[];
  missing: number;
}

export interface DistributionState {
  /** Recent records, kept to answer peers; they include every record from `recentFrom` on. */
  recent: readonly StreamRecord[];
  recentFrom: number;
  /** Time of the unanswered request, or of the last checkpoint part received for it. */
  askedAt: Millis | undefined;
  /** Peer that was asked last. */
  asked: InstanceId | undefined;
  /** Highest version that a peer has reported, and the first peer that reported it. */
  ahead: { readonly peer: InstanceId; readonly version: number } | undefined;
  assembly: CheckpointAssembly | undefined;
}

/** An edit that an operator submitted here and that has no verdict yet. */
export interface PendingEdit {
  readonly editId: string;
  /** Commands waiting for the verdict; a command with the same edit id joins the first. */
  readonly commandIds: string[];
  readonly author: string;
  readonly team: string;
  readonly keyHash: string;
  readonly baseVersion: number;
  /** Section and source text as submitted, to report positions of diagnostics. */
  readonly section: string;
  readonly text: string;
  readonly takenAt: Millis;
  phase: 'syncing' | 'preparing' | 'appending' | 'settling';
  appendId: number | undefined;
  /** Truncated old and new texts for the audit trail. */
  before: string;
  after: string;
}

/** A checkpoint that this instance is writing. */
export interface CheckpointWrite {
  readonly id: string;
  readonly through: number;
  readonly parts: readonly string[];
  /** Number of parts appended, rounded up to whole appends. */
  written: number;
  appendId: number;
  /** Offset of the first part in the checkpoint stream; unknown until it is appended. */
  offset: number | undefined;
}

export interface ConfigurationState {
  view: ConfigurationView | undefined;
  fold: FoldState;
  built: BuiltView | undefined;
  /** Offset after the last record that was read. Records wait in `queue` until they are folded. */
  intakeNext: number;
  readonly queue: StreamRecord[];
  /** The job in progress. */
  job: Job | undefined;
  /** Jobs that wait until all records are folded and the view is current. */
  readonly jobs: Job[];
  /** Guards against starting a slice from within a slice. */
  isWorking: boolean;
  /** Whether the document has changed since the view was built. */
  isViewStale: boolean;
  startedAt: Millis;
  /** Whether the instance has reached the highest version known from the log and from peers once. */
  hasCaughtUp: boolean;
  readonly reading: ReadingState;
  readonly distribution: DistributionState;
  readonly publishing: Map<string, PendingEdit>;
  /** Time at which a checkpoint was last seen, or at which this instance started. */
  checkpointedAt: Millis;
  writing: CheckpointWrite | undefined;
  /** Earliest time of the next checkpoint write. */
  writeRetryAt: Millis;
  nextAppendId: number;
  nextCheckpoint: number;
  /** Times of recent commands with an unknown operator key. */
  keyFailures: readonly Millis[];
  /** Whether the record of a newer schema version that blocks the fold was logged. */
  hasReportedBlock: boolean;
}

export function createConfigurationState(): ConfigurationState {
  return {
    view: undefined,
    fold: createFoldState(),
    built: undefined,
    intakeNext: 0,
    queue: [],
    job: undefined,
    jobs: [],
    isWorking: false,
    isViewStale: false,
    startedAt: 0,
    hasCaughtUp: false,
    reading: {
      mode: { kind: 'follow' },
      outstanding: undefined,
      retryAt: 0,
      failingSince: undefined,
      atEndAt: undefined,
    },
    distribution: {
      recent: [],
      recentFrom: 0,
      askedAt: undefined,
      asked: undefined,
      ahead: undefined,
      assembly: undefined,
    },
    publishing: new Map(),
    checkpointedAt: 0,
    writing: undefined,
    writeRetryAt: 0,
    nextAppendId: 1,
    nextCheckpoint: 1,
    keyFailures: [],
    hasReportedBlock: false,
  };
}
