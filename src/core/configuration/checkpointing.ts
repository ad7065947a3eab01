/**
 * Writes checkpoints into the log well before its records expire. The writer is chosen by rendezvous
 * over the fleet; the next ones step in if its checkpoint does not show up. Two writers at once do
 * no harm: a checkpoint changes nothing for those who have passed it.
 */
import type { CoreContext } from '../context.js';
import { bestScored, owningMembers } from '../membership/memberIndex.js';
import type { AppendResult } from '../types.js';
import { encodeCheckpointSteps } from './checkpoint.js';
import type { CheckpointWriting } from './configurationState.js';
import { CHECKPOINT_STREAM, CONFIGURATION_STREAM, encodeNote, SCHEMA_VERSION } from './records.js';
import { addJob } from './work.js';

/** Instances that may write a checkpoint, one after another. */
const WRITERS = 4;
/** Share of the interval after which the next writer steps in. */
const STEP_IN_SHARE = 0.125;
/** Parts in one append. */
const PARTS_PER_APPEND = 8;
/** Pause after a checkpoint that failed, in intervals of retries. */
const FAILED_PAUSE = 20;

/** Begins a checkpoint if one is due and this instance is to write it. */
export function writeCheckpointIfDue(ctx: CoreContext): void {
  const { configuration, settings, self } = ctx.state;
  const { fold } = configuration;
  if (!configuration.hasCaughtUp || fold.version < 0 || fold.blocked !== undefined) return;
  if (configuration.writing !== undefined || ctx.now < configuration.writeRetryAt) return;
  const age = ctx.now - configuration.checkpointedAt;
  if (age < settings.checkpointMs) return;
  const writers = bestScored(owningMembers(ctx.state), 'configuration checkpoint', WRITERS);
  const rank = writers.findIndex((member) => member.id === self.id);
  if (rank < 0 || age < settings.checkpointMs * (1 + rank * STEP_IN_SHARE)) return;
  beginCheckpoint(ctx);
}

function beginCheckpoint(ctx: CoreContext): void {
  const { configuration, self, settings } = ctx.state;
  const id = `${self.id}/${self.incarnation}/${configuration.nextCheckpoint}`;
  configuration.nextCheckpoint += 1;
  configuration.writeRetryAt = ctx.now + FAILED_PAUSE * settings.configurationRetryMs;
  addJob(
    ctx,
    (function* encode() {
      const through = configuration.fold.next;
      const parts = yield* encodeCheckpointSteps(configuration.fold, id);
      return (later: CoreContext) => {
        const writing = { id, through, parts, written: 0, appendId: 0, offset: undefined };
        configuration.writing = writing;
        appendNext(later, writing);
      };
    })(),
  );
}

function appendNext(ctx: CoreContext, writing: CheckpointWriting): void {
  const { configuration } = ctx.state;
  writing.appendId = configuration.nextAppendId;
  configuration.nextAppendId += 1;
  const { id, through, offset, parts, written, appendId } = writing;
  const rest = parts.slice(written, written + PARTS_PER_APPEND);
  if (rest.length > 0) {
    ctx.emit({ kind: 'appendLog', appendId, stream: CHECKPOINT_STREAM, records: rest });
    return;
  }
  const note = { kind: 'checkpoint', schemaVersion: SCHEMA_VERSION, id, through } as const;
  const records = [encodeNote({ ...note, offset: offset ?? 0 })];
  ctx.emit({ kind: 'appendLog', appendId, stream: CONFIGURATION_STREAM, records });
}

/** Goes on with a checkpoint; one whose append is in doubt is given up and written anew later. */
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
