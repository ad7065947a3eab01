/**
 * Reads the configuration log. Two instances of each failure domain, chosen by rendezvous hashing,
 * follow it with long polling. The others read it only at startup, while they publish an edit, or
 * when records that they need have expired. At most one read is outstanding.
 *
 * If the next records have expired, the instance searches for the last checkpoint note, reads the
 * parts of that checkpoint, and then the records after it.
 */
import { emitLog, type CoreContext } from '../context.js';
import { relaysOf } from '../membership/memberIndex.js';
import type { CoreState } from '../state.js';
import type { CoreEvent, InstanceId, LogReadResult } from '../types.js';
import { decodePart } from './checkpoint.js';
import type { OutstandingRead, ReadingMode } from './configurationState.js';
import { pushRecords } from './distribution.js';
import { addCheckpointPart, loadCheckpoint, enqueueRecords } from './intake.js';
import { CONFIGURATION_CHECKPOINT_STREAM, CONFIGURATION_STREAM, decodeRecord } from './records.js';

/** Records requested in one read; fewer for checkpoint parts, which are larger. */
const RECORDS_PER_READ = 256;
const PARTS_PER_READ = 16;
/** Long-polling time of a read by an instance that does not follow the log. */
const SHORT_POLL_MS = 1_000;
/** Pause between reads of an instance that has a configuration but is not a reader, while the log is empty. */
const IDLE_PAUSE_MS = 5_000;

type LogReadEvent = Extract<CoreEvent, { readonly kind: 'logRead' }>;
type RecordsResult = Extract<LogReadResult, { readonly kind: 'records' }>;
type LocateMode = Extract<ReadingMode, { readonly kind: 'locate' }>;
type LoadMode = Extract<ReadingMode, { readonly kind: 'load' }>;

/** Returns the instances of this domain that follow the log; the first one distributes its records. */
export function readersOf(state: CoreState): readonly InstanceId[] {
  return relaysOf(state, state.self.domain, 'configuration').map((member) => member.id);
}

/** Sends the next read if one is due and none is outstanding. */
export function requestRead(ctx: CoreContext): void {
  const { reading } = ctx.state.configuration;
  discardTimedOutRead(ctx);
  if (reading.outstanding !== undefined || ctx.now < reading.retryAt) return;
  const isReader = readersOf(ctx.state).includes(ctx.state.self.id);
  if (!isReader && !needsRead(ctx)) return;
  if (!ctx.state.configuration.hasCaughtUp && isWaitingForPeers(ctx)) return;
  const read = createNextRead(ctx, isReader);
  const limit = read.stream === CONFIGURATION_CHECKPOINT_STREAM ? PARTS_PER_READ : RECORDS_PER_READ;
  reading.outstanding = read;
  const { stream, from, waitMs } = read;
  ctx.emit({ kind: 'readLog', stream, from, limit, waitMs });
}

/** Discards the outstanding read if its reply is overdue, so that another one can be sent. */
function discardTimedOutRead(ctx: CoreContext): void {
  const { reading } = ctx.state.configuration;
  const read = reading.outstanding;
  if (read === undefined) return;
  const limit = read.waitMs + ctx.state.settings.configurationPollMs;
  if (ctx.now - read.sentAt > limit) reading.outstanding = undefined;
}

/** Whether an instance that does not follow the log has to read it. */
function needsRead(ctx: CoreContext): boolean {
  const { configuration } = ctx.state;
  if (configuration.reading.mode.kind !== 'follow' || !configuration.hasCaughtUp) return true;
  return configuration.publishing.size > 0;
}

/** Whether a new instance still waits for a snapshot from a peer, which saves reading the log. */
function isWaitingForPeers(ctx: CoreContext): boolean {
  const { configuration, settings } = ctx.state;
  const hasState = configuration.fold.next > 0;
  return !hasState && ctx.now - configuration.startedAt < settings.configurationPeerWaitMs;
}

function createNextRead(ctx: CoreContext, isReader: boolean): OutstandingRead {
  const { configuration, settings } = ctx.state;
  const { mode, atEndAt } = configuration.reading;
  const sentAt = ctx.now;
  if (mode.kind === 'load') {
    return { stream: CONFIGURATION_CHECKPOINT_STREAM, from: mode.next, sentAt, waitMs: 0 };
  }
  const from = mode.kind === 'locate' ? mode.next : configuration.intakeNext;
  const followWaitMs = isReader ? settings.configurationPollMs : SHORT_POLL_MS;
  const waitMs = mode.kind === 'follow' && atEndAt !== undefined ? followWaitMs : 0;
  return { stream: CONFIGURATION_STREAM, from, sentAt, waitMs };
}

/** Handles a reply of the log; a reply to any read but the outstanding one is ignored. */
export function onConfigurationRead(ctx: CoreContext, event: LogReadEvent): void {
  const { reading } = ctx.state.configuration;
  const read = reading.outstanding;
  if (read?.stream !== event.stream || read.from !== event.from) return;
  reading.outstanding = undefined;
  const { result } = event;
  if (result.kind === 'failed') {
    reading.failingSince ??= ctx.now;
    reading.retryAt = ctx.now + ctx.state.settings.configurationRetryMs;
    return;
  }
  reading.failingSince = undefined;
  if (result.kind === 'expired') onExpired(ctx, result.oldest);
  else if (reading.mode.kind === 'follow') onRecordsRead(ctx, event.from, result);
  else if (reading.mode.kind === 'locate') onNotesRead(ctx, reading.mode, result);
  else onPartsRead(ctx, reading.mode, result);
}

/** Starts searching for a checkpoint note after records or checkpoint parts have expired. */
function onExpired(ctx: CoreContext, oldest: number): void {
  const { reading } = ctx.state.configuration;
  const next = reading.mode.kind === 'load' ? ctx.state.configuration.intakeNext : oldest;
  reading.mode = { kind: 'locate', next, note: undefined };
  reading.atEndAt = undefined;
  reading.retryAt = ctx.now + (reading.mode.next === oldest ? 0 : retryMs(ctx));
}

function retryMs(ctx: CoreContext): number {
  return ctx.state.settings.configurationRetryMs;
}

function onRecordsRead(ctx: CoreContext, from: number, result: RecordsResult): void {
  const { reading } = ctx.state.configuration;
  const newRecords = enqueueRecords(ctx, result.records, from, result.next) ?? [];
  if (result.records.length < RECORDS_PER_READ) reading.atEndAt = ctx.now;
  const [first] = readersOf(ctx.state);
  if (newRecords.length > 0 && first === ctx.state.self.id) pushRecords(ctx, from, newRecords);
  // An instance that already has a configuration need not poll an empty log frequently.
  const { view, publishing } = ctx.state.configuration;
  const isIdle = result.records.length === 0 && view !== undefined && publishing.size === 0;
  if (isIdle && !readersOf(ctx.state).includes(ctx.state.self.id)) {
    reading.retryAt = ctx.now + IDLE_PAUSE_MS;
  }
}

function onNotesRead(ctx: CoreContext, mode: LocateMode, result: RecordsResult): void {
  const { reading } = ctx.state.configuration;
  for (const record of result.records) {
    const decoded = decodeRecord(record.data);
    if (decoded.kind === 'checkpoint') mode.note = decoded;
  }
  mode.next = result.next;
  if (result.records.length === RECORDS_PER_READ) return;
  if (mode.note === undefined) {
    // An instance that still has the configuration will write a checkpoint or send a snapshot.
    emitLog(ctx, 'error', 'configuration', 'configurationLost');
    reading.retryAt = ctx.now + retryMs(ctx);
    return;
  }
  reading.mode = { kind: 'load', note: mode.note, next: mode.note.offset };
}

function onPartsRead(ctx: CoreContext, mode: LoadMode, result: RecordsResult): void {
  const { distribution, reading } = ctx.state.configuration;
  mode.next = result.next;
  for (const record of result.records) {
    const part = decodePart(record.data);
    if (part?.id === mode.note.id) {
      const { assembly, parts } = addCheckpointPart(distribution.assembly, part);
      distribution.assembly = parts === undefined ? assembly : undefined;
      if (parts !== undefined) {
        loadCheckpoint(ctx, parts);
        reading.mode = { kind: 'follow' };
        reading.retryAt = ctx.now + retryMs(ctx);
        return;
      }
    }
  }
  if (result.records.length > 0) return;
  // Parts are appended before their note, so missing parts have expired.
  reading.mode = { kind: 'locate', next: mode.note.through, note: undefined };
  reading.retryAt = ctx.now + retryMs(ctx);
}
