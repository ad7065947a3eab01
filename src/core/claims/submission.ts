/**
 * Appends records to the claims stream.
 *
 * Records are batched. An instance appends its own records as long as its share of the fleet's
 * append budget allows. In a fleet of more than `claimWriters` instances, it sends the excess to
 * one of a few writers, which are chosen by rendezvous hashing and have a larger share of the
 * budget. Appends are not acknowledged: a record counts when its author has read it back. If that
 * takes too long, because a message, a writer or a reply of the log was lost, the author appends
 * the record again. Duplicate records in the log have no further effect.
 */
import { MS_PER_SECOND, type Millis } from '../clock.js';
import { sendToInstance, setTimer, type CoreContext } from '../context.js';
import { rendezvousScore } from '../hash.js';
import type { CoreState } from '../state.js';
import type { AppendResult, InstanceId, Member } from '../types.js';
import { encodeRecord, type ClaimsRecord, type CheckpointRecord } from './records.js';

export const CLAIMS_STREAM = 'claims';
export const CLAIM_CHECKPOINT_STREAM = 'claims-checkpoints';

const MAX_RECORDS_PER_APPEND = 500;
/** In a large fleet, the writers share half of the append budget, and all others the other half. */
const BUDGET_SHARE_PER_GROUP = 0.5;
/** Limit of the exponential backoff between appends of the same record. */
const MAX_BACKOFF_DOUBLINGS = 3;

/** Submits a record of this instance. It is resubmitted until it has been read back. */
export function submitRecord(ctx: CoreContext, record: ClaimsRecord): void {
  ctx.state.claims.unseen.set(recordIdOf(record), { record, sentAt: ctx.now, sends: 1 });
  const writer = selectWriter(ctx);
  if (writer === ctx.state.self.id) {
    ctx.state.claims.toAppend.add(encodeRecord(record));
    flushAppends(ctx);
    return;
  }
  sendToInstance(ctx, writer, {
    $case: 'claimSubmission',
    value: { records: [encodeRecord(record)] },
  });
}

/** Stops submitting a record that is not needed in the log any more. */
export function withdrawRecord(state: CoreState, record: ClaimsRecord): void {
  state.claims.unseen.delete(recordIdOf(record));
  state.claims.toAppend.delete(encodeRecord(record));
}

/** Stops resubmitting a record that has been read back. */
export function confirmRecord(state: CoreState, record: ClaimsRecord): void {
  state.claims.unseen.delete(recordIdOf(record));
}

/** Adds records submitted by another instance to the next append. */
export function onClaimSubmission(ctx: CoreContext, records: readonly string[]): void {
  records.forEach((record) => ctx.state.claims.toAppend.add(record));
  flushAppends(ctx);
}

/** Resubmits records that have not been read back in time. */
export function resubmitUnconfirmed(ctx: CoreContext): void {
  const { claims, settings } = ctx.state;
  claims.unseen.forEach((entry) => {
    const doublings = Math.min(entry.sends - 1, MAX_BACKOFF_DOUBLINGS);
    if (ctx.now - entry.sentAt < settings.claimResubmitMs * 2 ** doublings) return;
    entry.sentAt = ctx.now;
    entry.sends += 1;
    claims.toAppend.add(encodeRecord(entry.record));
  });
  flushAppends(ctx);
}

/** Appends the waiting records in one batch, or sets a timer if the budget is used up. */
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
  claims.nextAppendAt = ctx.now + appendInterval(ctx.state);
  if (claims.toAppend.size > 0) setTimer(ctx, 'claimAppend', claims.nextAppendAt - ctx.now);
}

export function appendCheckpoint(ctx: CoreContext, record: CheckpointRecord): void {
  emitAppend(ctx, CLAIM_CHECKPOINT_STREAM, [encodeRecord(record)]);
}

/**
 * Records a failed append. A lost reply needs no action, since reading settles what was appended.
 */
export function onClaimsAppended(ctx: CoreContext, result: AppendResult): void {
  const { claims } = ctx.state;
  if (result.kind === 'appended') return;
  claims.failingSince ??= ctx.now;
}

/** Returns the instances that append for others. Equal membership views give equal writers. */
export function selectClaimWriters(state: CoreState): readonly InstanceId[] {
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

function selectWriter(ctx: CoreContext): InstanceId {
  const { state } = ctx;
  const { self, membership, settings, claims } = state;
  const canAppendNow = claims.toAppend.size === 0 && ctx.now >= claims.nextAppendAt;
  if (canAppendNow || membership.members.size <= settings.claimWriters) return self.id;
  let best = self.id;
  let bestScore = -Infinity;
  selectClaimWriters(state).forEach((writer) => {
    const score = writer === self.id ? Infinity : rendezvousScore(self.id, writer);
    if (score <= bestScore) return;
    best = writer;
    bestScore = score;
  });
  return best;
}

/** Minimum time between two appends of this instance. */
function appendInterval(state: CoreState): Millis {
  const { membership, settings } = state;
  const instances = membership.members.size;
  const perSecond = settings.claimAppendsPerSecond;
  if (instances <= settings.claimWriters) return (MS_PER_SECOND * instances) / perSecond;
  const isWriter = selectClaimWriters(state).includes(state.self.id);
  const budgetShares = isWriter ? settings.claimWriters : instances;
  return (MS_PER_SECOND * budgetShares) / (perSecond * BUDGET_SHARE_PER_GROUP);
}

function emitAppend(ctx: CoreContext, stream: string, records: readonly string[]): void {
  const { claims } = ctx.state;
  ctx.emit({ kind: 'appendLog', appendId: claims.nextAppendId, stream, records });
  claims.nextAppendId += 1;
}

function recordIdOf(record: ClaimsRecord): string {
  return `${record.type}:${record.id}`;
}
