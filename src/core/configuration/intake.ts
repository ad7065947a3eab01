/** Receives records and checkpoints from the log or from a peer; each offset is processed once. */
import type { CoreContext } from '../context.js';
import type { StreamRecord } from '../types.js';
import type { CheckpointPart } from './checkpoint.js';
import { loadCheckpointSteps } from './checkpoint.js';
import type { CheckpointAssembly } from './configurationState.js';
import { enqueueJob } from './work.js';

/** Maximum number of recent records kept to answer peers. */
const MAX_RECENT_RECORDS = 512;
/** Maximum total length of those records. */
const MAX_RECENT_TEXT_LENGTH = 2 ** 20;

/**
 * Queues and returns the new ones among `records`, which cover the offsets from `from` up to but
 * excluding `next`. Returns `undefined` if records before `from` are missing.
 */
export function enqueueRecords(
  ctx: CoreContext,
  records: readonly StreamRecord[],
  from: number,
  next: number,
): readonly StreamRecord[] | undefined {
  const { configuration } = ctx.state;
  if (from > configuration.intakeNext) return undefined;
  const newRecords = records.filter(
    (record) => record.offset >= configuration.intakeNext && record.offset < next,
  );
  configuration.intakeNext = Math.max(configuration.intakeNext, next);
  if (newRecords.length === 0) return newRecords;
  configuration.queue.push(...newRecords);
  storeRecentRecords(ctx, newRecords);
  return newRecords;
}

function storeRecentRecords(ctx: CoreContext, newRecords: readonly StreamRecord[]): void {
  const { distribution } = ctx.state.configuration;
  const all = [...distribution.recent, ...newRecords];
  let first = all.length;
  let length = 0;
  while (first > 0 && all.length - first < MAX_RECENT_RECORDS) {
    length += all[first - 1]?.data.length ?? 0;
    if (length > MAX_RECENT_TEXT_LENGTH) break;
    first -= 1;
  }
  const dropped = all[first - 1];
  if (dropped !== undefined) distribution.recentFrom = dropped.offset + 1;
  distribution.recent = all.slice(first);
}

/**
 * Adds a part to its checkpoint; a part of another checkpoint replaces the incomplete one. Returns all
 * parts once none is missing.
 */
export function addCheckpointPart(
  current: CheckpointAssembly | undefined,
  part: CheckpointPart,
): {
  readonly assembly: CheckpointAssembly;
  readonly parts: readonly CheckpointPart[] | undefined;
} {
  const assembly: CheckpointAssembly =
    current?.id === part.id
      ? current
      : { id: part.id, parts: Array.from({ length: part.parts }), missing: part.parts };
  if (part.part < assembly.parts.length && assembly.parts[part.part] === undefined) {
    assembly.parts[part.part] = part;
    assembly.missing -= 1;
  }
  const parts = assembly.missing === 0 ? (assembly.parts as CheckpointPart[]) : undefined;
  return { assembly, parts };
}

/** Loads a checkpoint incrementally, unless the fold is already at or beyond it. */
export function loadCheckpoint(ctx: CoreContext, parts: readonly CheckpointPart[]): void {
  enqueueJob(
    ctx,
    (function* load() {
      const loaded = yield* loadCheckpointSteps(parts);
      return (completionCtx: CoreContext) => {
        const { configuration } = completionCtx.state;
        const { fold } = configuration;
        // Neither the offset nor the version of the fold ever decreases.
        if (loaded === undefined || loaded.next <= fold.next || loaded.version < fold.version)
          return;
        configuration.fold = loaded;
        while ((configuration.queue[0]?.offset ?? loaded.next) < loaded.next) {
          configuration.queue.shift();
        }
        if (configuration.intakeNext < loaded.next) {
          configuration.intakeNext = loaded.next;
          configuration.distribution.recent = [];
          configuration.distribution.recentFrom = loaded.next;
        }
        configuration.isViewStale = true;
        // Continues with the records after the checkpoint.
        configuration.reading.mode = { kind: 'follow' };
        configuration.reading.retryAt = completionCtx.now;
      };
    })(),
  );
}
