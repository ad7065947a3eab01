/**
 * State of the configuration: the view in force, the fold behind it, what has been read but not yet
 * folded, and the work under way. Long work is cut into pieces, one for each `apply` timer.
 */
import type { Steps } from '../../configuration/types.js';
import type { BuiltView } from '../../configuration/view.js';
import type { Millis } from '../clock.js';
import type { CoreContext } from '../context.js';
import type { ConfigurationView, InstanceId, StreamRecord } from '../types.js';
import type { CheckpointPart } from './checkpoint.js';
import { createFoldState, type FoldState } from './foldState.js';
import type { CheckpointNote } from './records.js';

/** Takes over the result of a job. */
export type Completion = (ctx: CoreContext) => void;
export type Job = Steps<Completion>;

/** The one outstanding read of the log. */
export interface OutstandingRead {
  readonly stream: string;
  readonly from: number;
  readonly sentAt: Millis;
  readonly waitMs: Millis;
}

/** What the log is read for. */
export type ReadingMode =
  /** Records after those that are known. */
  | { readonly kind: 'follow' }
  /** The last note of a checkpoint, after the records before it have expired. */
  | { readonly kind: 'locate'; next: number; note: CheckpointNote | undefined }
  /** The parts of a checkpoint. */
  | { readonly kind: 'load'; readonly note: CheckpointNote; next: number };

export interface ReadingState {
  mode: ReadingMode;
  outstanding: OutstandingRead | undefined;
  /** Earliest time of the next read. */
  retryAt: Millis;
  failingSince: Millis | undefined;
  /** Last time at which a read reached the end of the log. */
  atEndAt: Millis | undefined;
}

/** Parts of one checkpoint as they come in. */
export interface Assembly {
  readonly id: string;
  readonly parts: (CheckpointPart | undefined)[];
  missing: number;
}

export interface DistributionState {
  /** Records that were read lately, to answer peers; they begin at `recentFrom`. */
  recent: readonly StreamRecord[];
  recentFrom: number;
  askedAt: Millis | undefined;
  asked: InstanceId | undefined;
  /** Highest version that a peer has shown, and which peer. */
  ahead: { readonly peer: InstanceId; readonly version: number } | undefined;
  assembly: Assembly | undefined;
}

/** An edit that was taken from an operator and has no verdict yet. */
export interface PendingEdit {
  readonly editId: string;
  /** Commands that wait for the verdict; a repeated one joins the first. */
  readonly commandIds: string[];
  readonly author: string;
  readonly team: string;
  readonly keyHash: string;
  readonly baseVersion: number;
  /** What the operator sent, by section, to tell the lines of findings. */
  readonly section: string;
  readonly text: string;
  readonly takenAt: Millis;
  phase: 'syncing' | 'preparing' | 'appending' | 'settling';
  appendId: number | undefined;
  /** Shortened old and new texts for the audit trail. */
  before: string;
  after: string;
}

/** A checkpoint that this instance is writing. */
export interface CheckpointWriting {
  readonly id: string;
  readonly through: number;
  readonly parts: readonly string[];
  written: number;
  appendId: number;
  /** Offset of the first part. */
  offset: number | undefined;
}

export interface ConfigurationState {
  view: ConfigurationView | undefined;
  fold: FoldState;
  built: BuiltView | undefined;
  /** Offset after the last record that was read; records wait in `queue` to be folded. */
  intakeNext: number;
  readonly queue: StreamRecord[];
  job: Job | undefined;
  readonly jobs: Job[];
  isWorking: boolean;
  /** Whether the fold has moved since the view was built. */
  isViewStale: boolean;
  startedAt: Millis;
  /** Whether the highest of log, checkpoint and peers was reached once. */
  hasCaughtUp: boolean;
  readonly reading: ReadingState;
  readonly distribution: DistributionState;
  readonly publishing: Map<string, PendingEdit>;
  /** When a checkpoint was last seen, or this instance started. */
  checkpointedAt: Millis;
  writing: CheckpointWriting | undefined;
  writeRetryAt: Millis;
  nextAppendId: number;
  nextCheckpoint: number;
  /** Times of the latest failed operator keys. */
  keyFailures: readonly Millis[];
  /** Whether the stop at a later program's record was reported. */
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
