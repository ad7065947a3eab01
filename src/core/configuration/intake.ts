/** Takes records of the log in, from the log itself or from a peer, each offset once. */
import type { CoreContext } from '../context.js';
import type { StreamRecord } from '../types.js';
import type { CheckpointPart } from './checkpoint.js';
import { loadCheckpointSteps } from './checkpoint.js';
import type { Assembly } from './configurationState.js';
import { addJob } from './work.js';

/** Records that are kept to answer peers. */
const RECENT_MAX = 512;
/** Total length of those records. */
const RECENT_TEXT_MAX = 2 ** 20;

/**
 * Takes in all records from `from` on before `next`. Returns the new ones, or `undefined` if records
 * between those that are known and `from` are missing.
 */
export function takeRecords(
  ctx: CoreContext,
  records: readonly StreamRecord[],
  from: number,
  next: number,
): readonly StreamRecord[] | undefined {
  const { configuration } = ctx.state;
  if (from > configuration.intakeNext) return undefined;
  const fresh = records.filter(
    (record) => record.offset >= configuration.intakeNext && record.offset < next,
  );
  configuration.intakeNext = Math.max(configuration.intakeNext, next);
  if (fresh.length === 0) return fresh;
  configuration.queue.push(...fresh);
  keepRecent(ctx, fresh);
  return fresh;
}

function keepRecent(ctx: CoreContext, fresh: readonly StreamRecord[]): void {
  const { distribution } = ctx.state.configuration;
  const all = [...distribution.recent, ...fresh];
  let first = all.length;
  let length = 0;
  while (first > 0 && all.length - first < RECENT_MAX) {
    length += all[first - 1]?.data.length ?? 0;
    if (length > RECENT_TEXT_MAX) break;
    first -= 1;
  }
  const dropped = all[first - 1];
  if (dropped !== undefined) distribution.recentFrom = dropped.offset + 1;
  distribution.recent = all.slice(first);
}

/** Adds a part; returns the parts once they are complete. */
export function assemble(
  current: Assembly | undefined,
  part: CheckpointPart,
): { readonly assembly: Assembly; readonly parts: readonly CheckpointPart[] | undefined } {
  const assembly: Assembly =
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

/** Loads a checkpoint in pieces, unless the fold has passed it. */
export function loadCheckpoint(ctx: CoreContext, parts: readonly CheckpointPart[]): void {
  addJob(
    ctx,
    (function* load() {
      const loaded = yield* loadCheckpointSteps(parts);
      return (later: CoreContext) => {
        const { configuration } = later.state;
        const { fold } = configuration;
        // Neither the fold nor the version ever goes back.
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
        // Records behind the checkpoint are read next.
        configuration.reading.mode = { kind: 'follow' };
        configuration.reading.retryAt = later.now;
      };
    })(),
  );
}
