/** State of the audit trail: entries not yet in the log, and the operator query in progress. */
import type { Millis } from '../clock.js';
import type { AuditEntry } from '../types.js';

/** A batch whose append is not confirmed yet. */
export interface AuditBatch {
  readonly appendId: number;
  readonly entries: readonly AuditEntry[];
  readonly sentAt: Millis;
}

/** A read of the audit trail for one or more operator commands. */
export interface AuditQuery {
  /** Commands that are answered when the read ends. */
  readonly commandIds: string[];
  /** Largest limit among the commands. */
  limit: number;
  /** Log offset of the next read. */
  next: number;
  /** Entries by batch id; a batch that was appended twice is kept once. */
  readonly batches: Map<string, readonly AuditEntry[]>;
  readonly startedAt: Millis;
}

export interface AuditState {
  pending: AuditEntry[];
  /** Number of entries dropped because the buffer was full. */
  dropped: number;
  batch: AuditBatch | undefined;
  nextBatchAt: Millis;
  nextAppendId: number;
  reading: AuditQuery | undefined;
}

export function createAuditState(): AuditState {
  return {
    pending: [],
    dropped: 0,
    batch: undefined,
    nextBatchAt: 0,
    nextAppendId: 1,
    reading: undefined,
  };
}
