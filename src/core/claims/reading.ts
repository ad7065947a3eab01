/**
 * Follows the claims stream. A starting instance first reads the short checkpoints stream and then
 * the claims from the largest offset in it, so that it reads only records that are still needed.
 * A claim of this instance is won only when it has been read back.
 *
 * At most one read is outstanding. Reads are long polls, so a record is read as soon as it is
 * appended; while no record of this instance is waiting to be read back, reads are less frequent.
 */
import { emitLog, setTimer, type CoreContext } from '../context.js';
import { Debug } from '../debug.js';
import type { CoreState } from '../state.js';
import type { LogReadResult, StreamRecord } from '../types.js';
import { abandonPendingClaims, onRecordRead } from './claims.js';
import { READ_LIMIT, requestRead, currentStream } from './logReader.js';
import { oldestRetainedOffset } from './knownKeys.js';
import { decodeCheckpoint, decodeRecord } from './records.js';
import {
  appendCheckpoint,
  CLAIM_CHECKPOINT_STREAM,
  CLAIMS_STREAM,
  selectClaimWriters,
} from './submission.js';

/** Starts reading with the checkpoints stream. */
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
  const isCurrentRead = claims.read?.stream === stream && claims.read.from === from;
  // A late result of an abandoned read is still valid if it begins at the current offset.
  if (from !== claims.next || currentStream(ctx.state) !== stream) {
    if (isCurrentRead) claims.read = undefined;
    return;
  }
  const sentAt = claims.read?.sentAt ?? ctx.now;
  claims.read = undefined;
  switch (result.kind) {
    case 'failed':
      recordReadFailure(ctx);
      return;
    case 'expired':
      claims.failingSince = undefined;
      handleExpiredRecords(ctx, stream, result.oldest);
      return;
    case 'records':
      claims.failingSince = undefined;
      if (stream === CLAIM_CHECKPOINT_STREAM) applyCheckpoints(ctx, result.records, result.next);
      else applyClaims(ctx, result.records, result.next, sentAt);
      break;
    default:
      Debug.assertNever(result);
  }
}

/** Abandons a read that has timed out, and sends the next one when it is due. */
export function continueReading(ctx: CoreContext): void {
  const { claims, settings } = ctx.state;
  if (claims.read !== undefined) {
    const readTimeoutMs = settings.claimReadWaitMs + settings.claimTimeoutMs / 2;
    if (ctx.now - claims.read.sentAt < readTimeoutMs) return;
    claims.read = undefined;
    claims.failingSince ??= ctx.now;
  }
  if (ctx.now >= claims.nextReadAt) requestRead(ctx);
}

/** Appends a checkpoint, the offset at which readers may start. Only the first writer does so. */
export function writeCheckpoint(ctx: CoreContext): void {
  const { claims, settings, self } = ctx.state;
  if (ctx.now - claims.lastCheckpointAt < settings.claimCheckpointMs) return;
  claims.lastCheckpointAt = ctx.now;
  if (claims.phase !== 'following' || selectClaimWriters(ctx.state)[0] !== self.id) return;
  const from = oldestRetainedOffset(claims);
  if (from <= claims.checkpoint) return;
  claims.checkpoint = from;
  appendCheckpoint(ctx, { type: 'checkpoint', from });
}

function applyCheckpoints(ctx: CoreContext, records: readonly StreamRecord[], next: number): void {
  const { claims } = ctx.state;
  records.forEach(({ data }) => {
    claims.checkpoint = Math.max(claims.checkpoint, decodeCheckpoint(data)?.from ?? 0);
  });
  if (records.length > 0) claims.next = Math.max(next, claims.next);
  else startFollowing(ctx.state);
  requestRead(ctx);
}

function applyClaims(
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
  const wasLongPolled = ctx.now - sentAt >= settings.claimReadWaitMs / 2;
  const mayReadAtOnce = records.length > 0 || wasLongPolled;
  if (mayReadAtOnce && (claims.unseen.size > 0 || records.length === READ_LIMIT)) {
    requestRead(ctx);
    return;
  }
  claims.nextReadAt = claims.unseen.size > 0 ? ctx.now : ctx.now + settings.claimReadIdleMs;
}

/**
 * Skips records that expired before they were read. Pending claims are older than the log's
 * retention by now, and other instances may have claimed their keys since, so they are abandoned.
 */
function handleExpiredRecords(ctx: CoreContext, stream: string, oldest: number): void {
  const { claims } = ctx.state;
  const hasGap = stream === CLAIMS_STREAM && claims.hasRead;
  claims.next = Math.max(oldest, claims.next);
  if (hasGap) {
    emitLog(ctx, 'warn', 'claims', 'claimsGap', { offset: oldest });
    abandonPendingClaims(ctx);
  }
  requestRead(ctx);
}

function startFollowing(state: CoreState): void {
  state.claims.phase = 'following';
  state.claims.next = state.claims.checkpoint;
}

function recordReadFailure(ctx: CoreContext): void {
  const { claims, settings } = ctx.state;
  claims.failingSince ??= ctx.now;
  claims.nextReadAt = ctx.now + settings.claimReadIdleMs;
}
