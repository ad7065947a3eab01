/**
 * Writes the audit trail to the log and reads it for operators. Entries are collected from the
 * effects of every event and appended in batches. The append rate of an instance decreases with the
 * number of instances, so that the rate of the fleet is bounded. While the log is unavailable, the
 * latest entries are buffered and older ones are dropped; every entry is also in the instance's own
 * log lines. A batch whose append has an unknown result is appended again with the same id, and
 * readers remove the duplicate.
 */
import type { CoreContext } from '../context.js';
import { formatDiagnostic } from '../diagnostics.js';
import type { CoreState } from '../state.js';
import type { AppendResult, AuditEntry, CoreEvent, Effect, OperatorResult } from '../types.js';
import type { AuditQuery } from './auditState.js';

export const AUDIT_STREAM = 'audit';

/** Maximum number of buffered entries; the oldest are dropped above it. */
const MAX_PENDING_ENTRIES = 500;
/** Maximum number of entries in one record of the log. */
const MAX_BATCH_ENTRIES = 50;
/** Maximum number of audit appends per second by the whole fleet. */
const FLEET_APPENDS_PER_SECOND = 20;
const BATCH_INTERVAL_MS = 1_000;
const APPEND_TIMEOUT_MS = 10_000;
const READ_TIMEOUT_MS = 10_000;
const RECORDS_PER_READ = 256;
/** Maximum number of entries returned to an operator. */
const MAX_RETURNED_ENTRIES = 1_000;

type LogReadEvent = Extract<CoreEvent, { readonly kind: 'logRead' }>;

interface BatchRecord {
  readonly id: string;
  readonly entries: readonly AuditEntry[];
}

/** Buffers the audit entries among the effects of an event. */
export function collectAuditEntries(state: CoreState, effects: readonly Effect[]): void {
  const { audit } = state;
  effects.forEach((effect) => {
    if (effect.kind === 'audit') audit.pending.push(effect.entry);
  });
  const excess = audit.pending.length - MAX_PENDING_ENTRIES;
  if (excess <= 0) return;
  audit.pending.splice(0, excess);
  audit.dropped += excess;
}

/** Appends the next batch if one is due, and ends a query that has timed out. */
export function onAuditTimer(ctx: CoreContext): void {
  const { audit } = ctx.state;
  finishTimedOutReading(ctx);
  if (audit.batch !== undefined) {
    if (ctx.now - audit.batch.sentAt > APPEND_TIMEOUT_MS) appendBatch(ctx, audit.batch);
    return;
  }
  if (audit.pending.length === 0 || ctx.now < audit.nextBatchAt) return;
  const entries = audit.pending.splice(0, MAX_BATCH_ENTRIES);
  const appendId = audit.nextAppendId;
  audit.nextAppendId += 1;
  appendBatch(ctx, { appendId, entries, sentAt: ctx.now });
}

function appendBatch(
  ctx: CoreContext,
  batch: { readonly appendId: number; readonly entries: readonly AuditEntry[]; sentAt: number },
): void {
  const { audit, self, membership } = ctx.state;
  audit.batch = { ...batch, sentAt: ctx.now };
  const fleetIntervalMs = (membership.members.size * 1_000) / FLEET_APPENDS_PER_SECOND;
  audit.nextBatchAt = ctx.now + Math.max(BATCH_INTERVAL_MS, fleetIntervalMs);
  const id = `${self.id}/${self.incarnation}/${batch.appendId}`;
  const records = [JSON.stringify({ id, entries: batch.entries })];
  ctx.emit({ kind: 'appendLog', appendId: batch.appendId, stream: AUDIT_STREAM, records });
}

/** Clears the batch once it is in the log; otherwise the timer appends it again after the timeout. */
export function onAuditAppended(ctx: CoreContext, appendId: number, result: AppendResult): void {
  const { audit } = ctx.state;
  if (audit.batch?.appendId === appendId && result.kind === 'appended') audit.batch = undefined;
}

/**
 * Starts reading the audit trail for an operator, who gets the latest `limit` entries. A command that
 * arrives during a read joins it.
 */
export function onReadAudit(ctx: CoreContext, commandId: string, limit: number): void {
  const { audit } = ctx.state;
  const boundedLimit = Math.min(Math.max(limit, 1), MAX_RETURNED_ENTRIES);
  if (audit.reading !== undefined) {
    audit.reading.commandIds.push(commandId);
    audit.reading.limit = Math.max(audit.reading.limit, boundedLimit);
    return;
  }
  const commandIds = [commandId];
  const reading = {
    commandIds,
    limit: boundedLimit,
    next: 0,
    batches: new Map(),
    startedAt: ctx.now,
  };
  audit.reading = reading;
  requestNextRecords(ctx, reading);
}

function requestNextRecords(ctx: CoreContext, reading: AuditQuery): void {
  const { next } = reading;
  ctx.emit({
    kind: 'readLog',
    stream: AUDIT_STREAM,
    from: next,
    limit: RECORDS_PER_READ,
    waitMs: 0,
  });
}

export function onAuditRead(ctx: CoreContext, event: LogReadEvent): void {
  const { reading } = ctx.state.audit;
  if (reading?.next !== event.from) return;
  const { result } = event;
  if (result.kind === 'failed') {
    finishReading(ctx, createReadProblem(result.detail));
  } else if (result.kind === 'expired') {
    reading.next = result.oldest;
    requestNextRecords(ctx, reading);
  } else {
    result.records.forEach((record) => addBatch(reading, record.data));
    reading.next = result.next;
    if (result.records.length === RECORDS_PER_READ) requestNextRecords(ctx, reading);
    else finishReading(ctx, { kind: 'done', data: { entries: latestEntries(reading) } });
  }
}

function addBatch(reading: AuditQuery, data: string): void {
  const batch = decodeBatch(data);
  if (batch === undefined) return;
  reading.batches.set(batch.id, batch.entries);
  // The last `limit` batches hold at least `limit` entries, so older batches are not needed.
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

function latestEntries(reading: AuditQuery): readonly AuditEntry[] {
  const entries = [...reading.batches.values()].flat();
  return entries.sort((a, b) => a.at - b.at).slice(-reading.limit);
}

function finishTimedOutReading(ctx: CoreContext): void {
  const { reading } = ctx.state.audit;
  if (reading === undefined || ctx.now - reading.startedAt < READ_TIMEOUT_MS) return;
  finishReading(ctx, createReadProblem('timeout'));
}

function createReadProblem(reason: string): OperatorResult {
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
