/**
 * Reads the log of the configuration. Two instances of each failure domain, by rendezvous, follow it
 * with long reads; the others read it only as they start, while an edit of theirs is under way, or
 * when the records that they need have expired. There is one outstanding read at a time.
 *
 * After the records that follow the known ones have expired, the last note of a checkpoint is
 * looked for, then its parts are read, then the records behind it.
 */
import { logLine, type CoreContext } from '../context.js';
import { relaysOf } from '../membership/memberIndex.js';
import type { CoreState } from '../state.js';
import type { CoreEvent, InstanceId, LogReadResult } from '../types.js';
import { decodePart } from './checkpoint.js';
import type { OutstandingRead, ReadingMode } from './configurationState.js';
import { pushRecords } from './distribution.js';
import { assemble, loadCheckpoint, takeRecords } from './intake.js';
import { CHECKPOINT_STREAM, CONFIGURATION_STREAM, decodeRecord } from './records.js';

/** Records of one read; parts of checkpoints are larger. */
const READ_LIMIT = 256;
const PARTS_LIMIT = 16;
/** Longest wait of a read by an instance that does not follow the log. */
const BRIEF_POLL_MS = 1_000;
/** Pause between reads of an instance that waits for the first document of the log. */
const IDLE_PAUSE_MS = 5_000;

type LogReadEvent = Extract<CoreEvent, { readonly kind: 'logRead' }>;
type RecordsResult = Extract<LogReadResult, { readonly kind: 'records' }>;
type LocateMode = Extract<ReadingMode, { readonly kind: 'locate' }>;
type LoadMode = Extract<ReadingMode, { readonly kind: 'load' }>;

/** Returns the instances of this domain that follow the log, the one that passes it on first. */
export function readersOf(state: CoreState): readonly InstanceId[] {
  return relaysOf(state, state.self.domain, 'configuration').map((member) => member.id);
}

/** Sends the next read if one is due and none is outstanding. */
export function requestRead(ctx: CoreContext): void {
  const { reading } = ctx.state.configuration;
  forgetLostRead(ctx);
  if (reading.outstanding !== undefined || ctx.now < reading.retryAt) return;
  const isReader = readersOf(ctx.state).includes(ctx.state.self.id);
  if (!isReader && !needsRead(ctx)) return;
  if (!ctx.state.configuration.hasCaughtUp && awaitsPeers(ctx)) return;
  const read = nextRead(ctx, isReader);
  const limit = read.stream === CHECKPOINT_STREAM ? PARTS_LIMIT : READ_LIMIT;
  reading.outstanding = read;
  const { stream, from, waitMs } = read;
  ctx.emit({ kind: 'readLog', stream, from, limit, waitMs });
}

/** A read whose reply never came counts as failed. */
function forgetLostRead(ctx: CoreContext): void {
  const { reading } = ctx.state.configuration;
  const read = reading.outstanding;
  if (read === undefined) return;
  const limit = read.waitMs + ctx.state.settings.configurationPollMs;
  if (ctx.now - read.sentAt > limit) reading.outstanding = undefined;
}

function needsRead(ctx: CoreContext): boolean {
  const { configuration } = ctx.state;
  if (configuration.reading.mode.kind !== 'follow' || !configuration.hasCaughtUp) return true;
  return configuration.publishing.size > 0;
}

/** A new instance gives the peers some time: their snapshot spares the log. */
function awaitsPeers(ctx: CoreContext): boolean {
  const { configuration, settings } = ctx.state;
  const hasState = configuration.fold.next > 0;
  return !hasState && ctx.now - configuration.startedAt < settings.configurationPeerWaitMs;
}

function nextRead(ctx: CoreContext, isReader: boolean): OutstandingRead {
  const { configuration, settings } = ctx.state;
  const { mode, atEndAt } = configuration.reading;
  const sentAt = ctx.now;
  if (mode.kind === 'load') {
    return { stream: CHECKPOINT_STREAM, from: mode.next, sentAt, waitMs: 0 };
  }
  const from = mode.kind === 'locate' ? mode.next : configuration.intakeNext;
  const longest = isReader ? settings.configurationPollMs : BRIEF_POLL_MS;
  const waitMs = mode.kind === 'follow' && atEndAt !== undefined ? longest : 0;
  return { stream: CONFIGURATION_STREAM, from, sentAt, waitMs };
}

/** Takes a reply of the log; one that nobody waits for any more is dropped. */
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
  else if (reading.mode.kind === 'follow') onFollowed(ctx, event.from, result);
  else if (reading.mode.kind === 'locate') onLocated(ctx, reading.mode, result);
  else onPartsRead(ctx, reading.mode, result);
}

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

function onFollowed(ctx: CoreContext, from: number, result: RecordsResult): void {
  const { reading } = ctx.state.configuration;
  const fresh = takeRecords(ctx, result.records, from, result.next) ?? [];
  if (result.records.length < READ_LIMIT) reading.atEndAt = ctx.now;
  const [first] = readersOf(ctx.state);
  if (fresh.length > 0 && first === ctx.state.self.id) pushRecords(ctx, from, fresh);
  // With a document of its own and an empty log there is nothing to hurry for.
  const { view, publishing } = ctx.state.configuration;
  const isIdle = result.records.length === 0 && view !== undefined && publishing.size === 0;
  if (isIdle && !readersOf(ctx.state).includes(ctx.state.self.id)) {
    reading.retryAt = ctx.now + IDLE_PAUSE_MS;
  }
}

function onLocated(ctx: CoreContext, mode: LocateMode, result: RecordsResult): void {
  const { reading } = ctx.state.configuration;
  for (const record of result.records) {
    const decoded = decodeRecord(record.data);
    if (decoded.kind === 'checkpoint') mode.note = decoded;
  }
  mode.next = result.next;
  if (result.records.length === READ_LIMIT) return;
  if (mode.note === undefined) {
    // Someone who still has the configuration writes a checkpoint, or answers as a peer.
    logLine(ctx, 'error', 'configuration', 'configurationLost');
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
      const { assembly, parts } = assemble(distribution.assembly, part);
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
  // The note was written after the parts, so they have expired.
  reading.mode = { kind: 'locate', next: mode.note.through, note: undefined };
  reading.retryAt = ctx.now + retryMs(ctx);
}
