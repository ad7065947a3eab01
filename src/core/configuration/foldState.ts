/** State of the fold, identical on all instances that have folded the same records of the log. */
import {
  emptyDocument,
  type ConfigurationDocument,
  type DocumentDiagnostic,
  type SectionName,
} from '../../configuration/types.js';
import { NO_ASSIGNMENTS, type NumberAssignments } from '../../configuration/view.js';
import type { Millis } from '../clock.js';

/** Maximum number of verdicts kept, so that a repeated edit gets its first verdict. */
export const MAX_VERDICTS = 1_024;
/** Maximum number of accepted edits kept to describe conflicts, list the history and revert edits. */
export const MAX_HISTORY_EDITS = 500;
/**
 * Maximum number of entries whose earlier texts are kept for one edit. For a larger edit no texts are
 * kept, so versions before it cannot be restored.
 */
export const MAX_EARLIER_TEXTS = 2_000;
/** Maximum total length of the earlier texts in the history. */
export const MAX_HISTORY_TEXT_LENGTH = 2 ** 20;

/** An accepted edit that conflicts with a refused one. */
export interface ConflictingEdit {
  readonly version: number;
  readonly author: string;
  readonly team: string;
  readonly at: Millis;
  readonly section: SectionName;
  readonly keys: readonly string[];
}

export type RefusalReason =
  'unknownTeam' | 'wrongProof' | 'notOwner' | 'unknownBase' | 'conflict' | 'invalid' | 'bootstrap';

/** Whether an edit was accepted, and why not; the same on every instance. */
export interface Verdict {
  readonly editId: string;
  readonly offset: number;
  readonly accepted: boolean;
  readonly author: string;
  readonly team: string;
  readonly at: Millis;
  readonly sections: readonly SectionName[];
  readonly reason?: RefusalReason;
  /** Lines are relative to the start of the entry that a diagnostic names. */
  readonly diagnostics: readonly DocumentDiagnostic[];
  /** Changes made since the author's base version, and their authors. */
  readonly conflicts: readonly ConflictingEdit[];
}

/** Earlier texts of the entries that an edit changed; null for an entry that did not exist. */
export interface EarlierTexts {
  readonly section: SectionName;
  readonly texts: Readonly<Record<string, string | null>>;
}

/** An accepted edit in the history. */
export interface AcceptedEdit {
  readonly version: number;
  readonly editId: string;
  readonly author: string;
  readonly team: string;
  readonly at: Millis;
  /** Absent if the edit changed more than MAX_EARLIER_TEXTS entries. */
  readonly earlier?: readonly EarlierTexts[] | undefined;
  readonly sections: readonly SectionName[];
  /** Total length of the keys and earlier texts. */
  readonly length: number;
}

export interface FoldState {
  /** Offset of the next record to fold. */
  next: number;
  /** Offset of the last accepted edit, -1 before the first. */
  version: number;
  document: ConfigurationDocument;
  numbers: NumberAssignments;
  /** Offset of the last accepted edit of each section. */
  readonly sectionVersions: Map<SectionName, number>;
  /** Verdicts by edit id, oldest first. */
  readonly verdicts: Map<string, Verdict>;
  history: readonly AcceptedEdit[];
  /** The record of a newer schema version at which the fold has stopped. */
  blocked: { readonly offset: number; readonly schemaVersion: number } | undefined;
}

export function createFoldState(): FoldState {
  return {
    next: 0,
    version: -1,
    document: emptyDocument(),
    numbers: NO_ASSIGNMENTS,
    sectionVersions: new Map(),
    verdicts: new Map(),
    history: [],
    blocked: undefined,
  };
}
