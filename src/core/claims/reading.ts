/**
 * Reading: follows the claims stream. A starting instance first reads the short stream of
 * checkpoints, then the claims from the offset that the latest one names, so that it reads no more
 * than what is still remembered. Until it has read past its own claims, none of them is won.
 *
 * At most one read is outstanding. The log holds it back while there is nothing new, so a record is
 * read as soon as it is appended; while no claim of this instance is pending, reads are rarer.
 */
import { logLine, setTimer, type CoreContext } from '../context.js';
import { Debug } from '../debug.js';
import type { CoreState } from '../state.js';
import type { LogReadResult, StreamRecord } from '../types.js';
import { abandonAll, onRecordRead } from './claims.js';
import { READ_LIMIT, requestRead, streamOf } from './logReader.js';
import { oldestOffset } from './knownKeys.js';
import { decodeCheckpoint, decodeRecord } from './records.js';
import { appendCheckpoint, CHECKPOINTS_STREAM, CLAIMS_STREAM, claimWriters } from './submission.js';

/** Begins with the checkpoints. */
export function startReading(ctx: CoreContext): void {
  ctx.state.claims.lastCheckpointAt = ctx.now;
  requestRead(ctx);
  setTimer(ctx, 'claims', ctx.state.settings.claimTickMs);
}

export function onClaimsLogRead(
  ctx: CoreContext,
  stream: string,
  from: number,
  result: LogReadResult,
): void {
  const { claims } = ctx.state;
  const isExpected = claims.read?.stream === stream && claims.read.from === from;
  // A late result of a read that was given up is as good as a new one, if it begins where we are.
  if (from !== claims.next || streamOf(ctx.state) !== stream) {
    if (isExpected) claims.read = undefined;
    return;
  }
  const sentAt = claims.read?.sentAt ?? ctx.now;
  claims.read = undefined;
  switch (result.kind) {
    case 'failed':
      noteFailure(ctx);
      return;
    case 'expired':
      claims.failingSince = undefined;
      onExpired(ctx, stream, result.oldest);
      return;
    case 'records':
      claims.failingSince = undefined;
      if (stream === CHECKPOINTS_STREAM) readCheckpoints(ctx, result.records, result.next);
      else readClaims(ctx, result.records, result.next, sentAt);
      break;
    default:
      Debug.assertNever(result);
  }
}

/** Gives up a read that was not answered and sends the next one when it is due. */
export function continueReading(ctx: CoreContext): void {
  const { claims, settings } = ctx.state;
  if (claims.read !== undefined) {
    const patience = settings.claimReadWaitMs + settings.claimTimeoutMs / 2;
    if (ctx.now - claims.read.sentAt < patience) return;
    claims.read = undefined;
    claims.failingSince ??= ctx.now;
  }
  if (ctx.now >= claims.nextReadAt) requestRead(ctx);
}

/** One instance appends the offset before which no reader needs to begin. */
export function writeCheckpoint(ctx: CoreContext): void {
  const { claims, settings, self } = ctx.state;
  if (ctx.now - claims.lastCheckpointAt < settings.claimCheckpointMs) return;
  claims.lastCheckpointAt = ctx.now;
  if (claims.phase !== 'following' || claimWriters(ctx.state)[0] !== self.id) return;
  const from = oldestOffset(claims);
  if (from <= claims.checkpoint) return;
  claims.checkpoint = from;
  appendCheckpoint(ctx, { type: 'checkpoint', from });
}

function readCheckpoints(ctx: CoreContext, records: readonly StreamRecord[], next: number): void {
  const { claims } = ctx.state;
  records.forEach(({ data }) => {
    claims.checkpoint = Math.max(claims.checkpoint, decodeCheckpoint(data)?.from ?? 0);
  });
  if (records.length > 0) claims.next = Math.max(next, claims.next);
  else startFollowing(ctx.state);
  requestRead(ctx);
}

function readClaims(
  ctx: CoreContext,
  records: readonly StreamRecord[],
  next: number,
  sentAt: number,
): void {
  const { claims, settings } = ctx.state;
  claims.hasRead = true;
  for (const { offset, data } of records) {
    const record = offset >= claims.next ? decodeRecord(data) : undefined;
    if (offset >= claims.next) claims.next = offset + 1;
    if (record !== undefined) onRecordRead(ctx, record, offset);
  }
  claims.next = Math.max(next, claims.next);
  const wasHeldBack = ctx.now - sentAt >= settings.claimReadWaitMs / 2;
  const isWaited = records.length > 0 || wasHeldBack;
  if (isWaited && (claims.unseen.size > 0 || records.length === READ_LIMIT)) {
    requestRead(ctx);
    return;
  }
  claims.nextReadAt = claims.unseen.size > 0 ? ctx.now : ctx.now + settings.claimReadIdleMs;
}

/**
 * Records were lost to this reader. What it has claimed is older than the log's retention by now and
 * may have been claimed by others since, so it dispatches none of it.
 */
function onExpired(ctx: CoreContext, stream: string, oldest: number): void {
  const { claims } = ctx.state;
  const isGap = stream === CLAIMS_STREAM && claims.hasRead;
  claims.next = Math.max(oldest, claims.next);
  if (isGap) {
    logLine(ctx, 'warn', 'claims', 'claimsGap', { offset: oldest });
    abandonAll(ctx);
  }
  requestRead(ctx);
}

function startFollowing(state: CoreState): void {
  state.claims.phase = 'following';
  state.claims.next = state.claims.checkpoint;
}

function noteFailure(ctx: CoreContext): void {
  const { claims, settings } = ctx.state;
  claims.failingSince ??= ctx.now;
  claims.nextReadAt = ctx.now + settings.claimReadIdleMs;
}
