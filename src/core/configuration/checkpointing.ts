/**
 * Writes checkpoints to the log well before its records expire. Rendezvous hashing over the fleet
 * ranks the writers; a lower-ranked writer takes over if no checkpoint appears in time. Concurrent
 * writers are harmless: an instance that has already folded the records in a checkpoint ignores it.
 */
import type { CoreContext } from '../context.js';
import { topByRendezvousScore, ownershipCandidates } from '../membership/memberIndex.js';
import type { AppendResult } from '../types.js';
import { encodeCheckpointSteps } from './checkpoint.js';
import type { CheckpointWrite } from './configurationState.js';
import {
  CONFIGURATION_CHECKPOINT_STREAM,
  CONFIGURATION_STREAM,
  encodeCheckpointNote,
  SCHEMA_VERSION,
} from './records.js';
import { enqueueJob } from './work.js';

/** Number of instances that may write a checkpoint, in order of rank. */
const WRITER_CANDIDATES = 4;
/** Delay for each rank before a writer takes over, as a share of the checkpoint interval. */
const TAKEOVER_DELAY_SHARE = 0.125;
/** Checkpoint parts in one append. */
const PARTS_PER_APPEND = 8;
/** Pause before the next attempt after a failed checkpoint, in multiples of `configurationRetryMs`. */
const RETRY_PAUSE_INTERVALS = 20;

/** Starts writing a checkpoint if one is due and it is this instance's turn. */
export function writeCheckpointIfDue(ctx: CoreContext): void {
  const { configuration, settings, self } = ctx.state;
  const { fold } = configuration;
  if (!configuration.hasCaughtUp || fold.version < 0 || fold.blocked !== undefined) return;
  if (configuration.writing !== undefined || ctx.now < configuration.writeRetryAt) return;
  const age = ctx.now - configuration.checkpointedAt;
  if (age < settings.checkpointMs) return;
  const writers = topByRendezvousScore(
    ownershipCandidates(ctx.state),
    'configuration checkpoint',
    WRITER_CANDIDATES,
  );
  const rank = writers.findIndex((member) => member.id === self.id);
  if (rank < 0 || age < settings.checkpointMs * (1 + rank * TAKEOVER_DELAY_SHARE)) return;
  beginCheckpoint(ctx);
}

function beginCheckpoint(ctx: CoreContext): void {
  const { configuration, self, settings } = ctx.state;
  const id = `${self.id}/${self.incarnation}/${configuration.nextCheckpoint}`;
  configuration.nextCheckpoint += 1;
  configuration.writeRetryAt = ctx.now + RETRY_PAUSE_INTERVALS * settings.configurationRetryMs;
  enqueueJob(
    ctx,
    (function* encode() {
      const through = configuration.fold.next;
      const parts = yield* encodeCheckpointSteps(configuration.fold, id);
      return (completionCtx: CoreContext) => {
        const writing = { id, through, parts, written: 0, appendId: 0, offset: undefined };
        configuration.writing = writing;
        appendNext(completionCtx, writing);
      };
    })(),
  );
}

/** Appends the next parts; after the last part, appends the note that announces the checkpoint. */
function appendNext(ctx: CoreContext, writing: CheckpointWrite): void {
  const { configuration } = ctx.state;
  writing.appendId = configuration.nextAppendId;
  configuration.nextAppendId += 1;
  const { id, through, offset, parts, written, appendId } = writing;
  const nextParts = parts.slice(written, written + PARTS_PER_APPEND);
  if (nextParts.length > 0) {
    ctx.emit({
      kind: 'appendLog',
      appendId,
      stream: CONFIGURATION_CHECKPOINT_STREAM,
      records: nextParts,
    });
    return;
  }
  const note = { kind: 'checkpoint', schemaVersion: SCHEMA_VERSION, id, through } as const;
  const records = [encodeCheckpointNote({ ...note, offset: offset ?? 0 })];
  ctx.emit({ kind: 'appendLog', appendId, stream: CONFIGURATION_STREAM, records });
}

/**
 * Continues a checkpoint after an append. If the append failed or its result is unknown, the
 * checkpoint is abandoned and a new one is written later.
 */
export function onCheckpointAppended(
  ctx: CoreContext,
  appendId: number,
  result: AppendResult,
): void {
  const { configuration } = ctx.state;
  const { writing } = configuration;
  if (writing?.appendId !== appendId) return;
  if (result.kind !== 'appended') {
    configuration.writing = undefined;
    return;
  }
  if (writing.written >= writing.parts.length) {
    configuration.writing = undefined;
    configuration.checkpointedAt = ctx.now;
    return;
  }
  writing.offset ??= result.offset;
  writing.written += PARTS_PER_APPEND;
  appendNext(ctx, writing);
}
