/** What every instance that has folded the same records of the log holds alike. */
import {
  emptyDocument,
  type ConfigurationDocument,
  type DocumentDiagnostic,
  type SectionName,
} from '../../configuration/types.js';
import { NO_NUMBERS, type Numbers } from '../../configuration/view.js';
import type { Millis } from '../clock.js';

/** Edits whose verdicts are kept, so that a repeated one gets the first verdict. */
export const VERDICTS_MAX = 1_024;
/** Accepted edits that are kept for hints, history and reverts. */
export const HISTORY_MAX = 500;
/** Entries of one edit whose earlier texts are kept; a larger edit ends the history before it. */
export const HISTORY_KEYS_MAX = 2_000;
/** Total length of the earlier texts in the history. */
export const HISTORY_TEXT_MAX = 2 ** 20;

/** An accepted edit that a refused one collided with. */
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

/** The judgement of an edit, the same on every instance. */
export interface Verdict {
  readonly editId: string;
  readonly offset: number;
  readonly accepted: boolean;
  readonly author: string;
  readonly team: string;
  readonly at: Millis;
  readonly sections: readonly SectionName[];
  readonly reason?: RefusalReason;
  /** Lines count from the beginning of the entry that a finding names. */
  readonly diagnostics: readonly DocumentDiagnostic[];
  /** What changed since the author's base version, and by whom. */
  readonly conflicts: readonly ConflictingEdit[];
}

/** Earlier texts of the entries that an edit changed; null where there was none. */
export interface EarlierTexts {
  readonly section: SectionName;
  readonly texts: Readonly<Record<string, string | null>>;
}

export interface AcceptedEdit {
  readonly version: number;
  readonly editId: string;
  readonly author: string;
  readonly team: string;
  readonly at: Millis;
  /** Absent if the edit changed too many entries. */
  readonly earlier?: readonly EarlierTexts[] | undefined;
  readonly sections: readonly SectionName[];
  /** Length of the earlier texts. */
  readonly length: number;
}

export interface FoldState {
  /** Offset of the next record to fold. */
  next: number;
  /** Offset of the last accepted edit, -1 before the first. */
  version: number;
  document: ConfigurationDocument;
  numbers: Numbers;
  readonly sectionVersions: Map<SectionName, number>;
  readonly verdicts: Map<string, Verdict>;
  history: readonly AcceptedEdit[];
  /** A record of a later program, at which this one stops. */
  blocked: { readonly offset: number; readonly schemaVersion: number } | undefined;
}

export function createFoldState(): FoldState {
  return {
    next: 0,
    version: -1,
    document: emptyDocument(),
    numbers: NO_NUMBERS,
    sectionVersions: new Map(),
    verdicts: new Map(),
    history: [],
    blocked: undefined,
  };
}
