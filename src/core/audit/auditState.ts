/** State of the audit trail: entries that are not in the log yet, and operators that read it. */
import type { Millis } from '../clock.js';
import type { AuditEntry } from '../types.js';

/** A batch on its way into the log. */
export interface AuditBatch {
  readonly appendId: number;
  readonly entries: readonly AuditEntry[];
  readonly sentAt: Millis;
}

/** An operator's reading of the trail. */
export interface AuditReading {
  readonly commandIds: string[];
  limit: number;
  next: number;
  readonly batches: Map<string, readonly AuditEntry[]>;
  readonly startedAt: Millis;
}

export interface AuditState {
  pending: AuditEntry[];
  /** Entries that were given up because too many waited. */
  dropped: number;
  batch: AuditBatch | undefined;
  nextBatchAt: Millis;
  nextAppendId: number;
  reading: AuditReading | undefined;
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
