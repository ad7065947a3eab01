/**
 * Submission: how records get into the claims stream.
 *
 * Many records share one append. An instance appends by itself as long as its part of the fleet's
 * append budget allows; in a fleet of more than `claimWriters` instances, what is beyond that goes to
 * one of few writers, chosen by rendezvous hashing, each with a larger part of the budget. Nothing is confirmed: a record counts once its author has read it back. What is not
 * read back in time is appended again by the author itself, whether a message, a writer or a reply of
 * the log was lost; a record that is in the log twice counts once.
 */
import { MS_PER_SECOND, type Millis } from '../clock.js';
import { sendTo, setTimer, type CoreContext } from '../context.js';
import { rendezvousScore } from '../hash.js';
import type { CoreState } from '../state.js';
import type { AppendResult, InstanceId, Member } from '../types.js';
import { encodeRecord, type ClaimsRecord, type CheckpointRecord } from './records.js';

export const CLAIMS_STREAM = 'claims';
export const CHECKPOINTS_STREAM = 'claims-checkpoints';

const MAX_RECORDS_PER_APPEND = 500;
/** In a large fleet the writers share one half of the budget, and all others the other half. */
const HALF_OF_THE_BUDGET = 0.5;
/** Doublings of the time after which a record is appended again. */
const MAX_DOUBLINGS = 3;

/** Has a record of this instance appended, again and again until it is read back. */
export function submitRecord(ctx: CoreContext, record: ClaimsRecord): void {
  ctx.state.claims.unseen.set(unseenId(record), { record, sentAt: ctx.now, sends: 1 });
  const writer = writerFor(ctx);
  if (writer === ctx.state.self.id) {
    ctx.state.claims.toAppend.add(encodeRecord(record));
    flushAppends(ctx);
    return;
  }
  sendTo(ctx, writer, { $case: 'claimSubmission', value: { records: [encodeRecord(record)] } });
}

/** Drops a record of this instance that need not reach the log any more. */
export function withdrawRecord(state: CoreState, record: ClaimsRecord): void {
  state.claims.unseen.delete(unseenId(record));
  state.claims.toAppend.delete(encodeRecord(record));
}

/** Takes a record that was read back off the list. */
export function noteSeen(state: CoreState, record: ClaimsRecord): void {
  state.claims.unseen.delete(unseenId(record));
}

/** Takes records of other instances into the next append. */
export function onClaimSubmission(ctx: CoreContext, records: readonly string[]): void {
  records.forEach((record) => ctx.state.claims.toAppend.add(record));
  flushAppends(ctx);
}

/** Appends again what has not been read back in time. */
export function resubmitUnseen(ctx: CoreContext): void {
  const { claims, settings } = ctx.state;
  claims.unseen.forEach((unseen) => {
    const doublings = Math.min(unseen.sends - 1, MAX_DOUBLINGS);
    if (ctx.now - unseen.sentAt < settings.claimResubmitMs * 2 ** doublings) return;
    unseen.sentAt = ctx.now;
    unseen.sends += 1;
    claims.toAppend.add(encodeRecord(unseen.record));
  });
  flushAppends(ctx);
}

/** Makes one append of what waits, unless the budget has the instance wait too. */
export function flushAppends(ctx: CoreContext): void {
  const { claims } = ctx.state;
  if (claims.toAppend.size === 0) return;
  if (ctx.now < claims.nextAppendAt) {
    setTimer(ctx, 'claimAppend', claims.nextAppendAt - ctx.now);
    return;
  }
  const records = [...claims.toAppend].slice(0, MAX_RECORDS_PER_APPEND);
  records.forEach((record) => claims.toAppend.delete(record));
  emitAppend(ctx, CLAIMS_STREAM, records);
  claims.nextAppendAt = ctx.now + appendSpacing(ctx.state);
  if (claims.toAppend.size > 0) setTimer(ctx, 'claimAppend', claims.nextAppendAt - ctx.now);
}

export function appendCheckpoint(ctx: CoreContext, record: CheckpointRecord): void {
  emitAppend(ctx, CHECKPOINTS_STREAM, [encodeRecord(record)]);
}

/** Notes whether the log takes appends. A lost reply needs no action: reading settles it. */
export function onClaimsAppended(ctx: CoreContext, result: AppendResult): void {
  const { claims } = ctx.state;
  if (result.kind === 'appended') return;
  claims.failingSince ??= ctx.now;
}

/** Members that append claims for the others, the same for all who know the same members. */
export function claimWriters(state: CoreState): readonly InstanceId[] {
  const candidates: Member[] = [];
  state.membership.members.forEach((member) => {
    if (member.phase !== 'leaving' || member.id === state.self.id) candidates.push(member);
  });
  return candidates
    .map((member) => ({ id: member.id, score: rendezvousScore(CLAIMS_STREAM, member.id) }))
    .sort((a, b) => b.score - a.score)
    .slice(0, state.settings.claimWriters)
    .map((writer) => writer.id);
}

function writerFor(ctx: CoreContext): InstanceId {
  const { state } = ctx;
  const { self, membership, settings, claims } = state;
  const isFree = claims.toAppend.size === 0 && ctx.now >= claims.nextAppendAt;
  if (isFree || membership.members.size <= settings.claimWriters) return self.id;
  let best = self.id;
  let bestScore = -Infinity;
  claimWriters(state).forEach((writer) => {
    const score = writer === self.id ? Infinity : rendezvousScore(self.id, writer);
    if (score <= bestScore) return;
    best = writer;
    bestScore = score;
  });
  return best;
}

/** Time between two appends of this instance. */
function appendSpacing(state: CoreState): Millis {
  const { membership, settings } = state;
  const instances = membership.members.size;
  const perSecond = settings.claimAppendsPerSecond;
  if (instances <= settings.claimWriters) return (MS_PER_SECOND * instances) / perSecond;
  const isWriter = claimWriters(state).includes(state.self.id);
  const sharers = isWriter ? settings.claimWriters : instances;
  return (MS_PER_SECOND * sharers) / (perSecond * HALF_OF_THE_BUDGET);
}

function emitAppend(ctx: CoreContext, stream: string, records: readonly string[]): void {
  const { claims } = ctx.state;
  ctx.emit({ kind: 'appendLog', appendId: claims.nextAppendId, stream, records });
  claims.nextAppendId += 1;
}

function unseenId(record: ClaimsRecord): string {
  return `${record.type}:${record.id}`;
}
