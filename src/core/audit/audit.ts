/**
 * The audit trail in the log: entries are collected from the effects of every event and appended in
 * batches at a bounded rate, which falls with the number of instances. While the log is down the
 * latest entries wait; each is in the instance's own log lines in any case. A batch whose append is
 * in doubt is appended again under the same id, and readers count it once.
 */
import type { CoreContext } from '../context.js';
import { formatDiagnostic } from '../diagnostics.js';
import type { CoreState } from '../state.js';
import type { AppendResult, AuditEntry, CoreEvent, Effect, OperatorResult } from '../types.js';
import type { AuditReading } from './auditState.js';

export const AUDIT_STREAM = 'audit';

const PENDING_MAX = 500;
const BATCH_MAX = 50;
/** Appends a second that the whole fleet may spend on the trail. */
const FLEET_APPENDS_PER_S = 20;
const BATCH_INTERVAL_MS = 1_000;
const APPEND_TIMEOUT_MS = 10_000;
const READ_TIMEOUT_MS = 10_000;
const READ_LIMIT = 256;
const LIMIT_MAX = 1_000;

type LogReadEvent = Extract<CoreEvent, { readonly kind: 'logRead' }>;

interface BatchRecord {
  readonly id: string;
  readonly entries: readonly AuditEntry[];
}

/** Collects the audit entries among the effects of an event. */
export function keepAudit(state: CoreState, effects: readonly Effect[]): void {
  const { audit } = state;
  effects.forEach((effect) => {
    if (effect.kind === 'audit') audit.pending.push(effect.entry);
  });
  const excess = audit.pending.length - PENDING_MAX;
  if (excess <= 0) return;
  audit.pending.splice(0, excess);
  audit.dropped += excess;
}

/** Appends the next batch if it is due. */
export function onAuditTimer(ctx: CoreContext): void {
  const { audit } = ctx.state;
  expireReading(ctx);
  if (audit.batch !== undefined) {
    if (ctx.now - audit.batch.sentAt > APPEND_TIMEOUT_MS) sendBatch(ctx, audit.batch);
    return;
  }
  if (audit.pending.length === 0 || ctx.now < audit.nextBatchAt) return;
  const entries = audit.pending.splice(0, BATCH_MAX);
  const appendId = audit.nextAppendId;
  audit.nextAppendId += 1;
  sendBatch(ctx, { appendId, entries, sentAt: ctx.now });
}

function sendBatch(
  ctx: CoreContext,
  batch: { readonly appendId: number; readonly entries: readonly AuditEntry[]; sentAt: number },
): void {
  const { audit, self, membership } = ctx.state;
  audit.batch = { ...batch, sentAt: ctx.now };
  const share = (membership.members.size * 1_000) / FLEET_APPENDS_PER_S;
  audit.nextBatchAt = ctx.now + Math.max(BATCH_INTERVAL_MS, share);
  const id = `${self.id}/${self.incarnation}/${batch.appendId}`;
  const records = [JSON.stringify({ id, entries: batch.entries })];
  ctx.emit({ kind: 'appendLog', appendId: batch.appendId, stream: AUDIT_STREAM, records });
}

/** A batch that is not certainly in the log is sent again after the time limit. */
export function onAuditAppended(ctx: CoreContext, appendId: number, result: AppendResult): void {
  const { audit } = ctx.state;
  if (audit.batch?.appendId === appendId && result.kind === 'appended') audit.batch = undefined;
}

/** Begins to read the trail for an operator; the latest entries are returned. */
export function onReadAudit(ctx: CoreContext, commandId: string, limit: number): void {
  const { audit } = ctx.state;
  const bounded = Math.min(Math.max(limit, 1), LIMIT_MAX);
  if (audit.reading !== undefined) {
    audit.reading.commandIds.push(commandId);
    audit.reading.limit = Math.max(audit.reading.limit, bounded);
    return;
  }
  const commandIds = [commandId];
  const reading = { commandIds, limit: bounded, next: 0, batches: new Map(), startedAt: ctx.now };
  audit.reading = reading;
  readNext(ctx, reading);
}

function readNext(ctx: CoreContext, reading: AuditReading): void {
  const { next } = reading;
  ctx.emit({ kind: 'readLog', stream: AUDIT_STREAM, from: next, limit: READ_LIMIT, waitMs: 0 });
}

export function onAuditRead(ctx: CoreContext, event: LogReadEvent): void {
  const { reading } = ctx.state.audit;
  if (reading?.next !== event.from) return;
  const { result } = event;
  if (result.kind === 'failed') {
    finishReading(ctx, unread(result.detail));
  } else if (result.kind === 'expired') {
    reading.next = result.oldest;
    readNext(ctx, reading);
  } else {
    result.records.forEach((record) => keepBatch(reading, record.data));
    reading.next = result.next;
    if (result.records.length === READ_LIMIT) readNext(ctx, reading);
    else finishReading(ctx, { kind: 'done', data: { entries: latest(reading) } });
  }
}

function keepBatch(reading: AuditReading, data: string): void {
  const batch = decodeBatch(data);
  if (batch === undefined) return;
  reading.batches.set(batch.id, batch.entries);
  // Older batches cannot be among the latest entries any more.
  while (reading.batches.size > reading.limit) {
    const [oldest] = reading.batches.keys();
    if (oldest === undefined) return;
    reading.batches.delete(oldest);
  }
}

function decodeBatch(data: string): BatchRecord | undefined {
  try {
    const value = JSON.parse(data) as Partial<BatchRecord> | null;
    const isBatch = typeof value?.id === 'string' && Array.isArray(value.entries);
    return isBatch ? (value as BatchRecord) : undefined;
  } catch {
    return undefined;
  }
}

function latest(reading: AuditReading): readonly AuditEntry[] {
  const entries = [...reading.batches.values()].flat();
  return entries.sort((a, b) => a.at - b.at).slice(-reading.limit);
}

function expireReading(ctx: CoreContext): void {
  const { reading } = ctx.state.audit;
  if (reading === undefined || ctx.now - reading.startedAt < READ_TIMEOUT_MS) return;
  finishReading(ctx, unread('timeout'));
}

function unread(reason: string): OperatorResult {
  return {
    kind: 'rejected',
    problem: {
      code: 'auditUnread',
      status: 503,
      executed: 'no',
      step: 'read',
      peer: { kind: 'platform', part: 'log' },
      detail: `${formatDiagnostic('auditUnread')} (${reason})`,
    },
  };
}

function finishReading(ctx: CoreContext, result: OperatorResult): void {
  const { audit } = ctx.state;
  audit.reading?.commandIds.forEach((commandId) => {
    ctx.emit({ kind: 'operatorReply', commandId, result });
  });
  audit.reading = undefined;
}
