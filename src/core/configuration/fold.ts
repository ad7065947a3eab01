/**
 * Folds the edits of the log into a document. Which edits are accepted depends on the records alone,
 * so all instances compute the same document, version and verdicts without further coordination.
 */
import { checkDocument } from '../../configuration/checks.js';
import { parseEntry } from '../../configuration/entry.js';
import { MAX_DIAGNOSTICS, MAX_SECTION_ENTRIES } from '../../configuration/bounds.js';
import { ID_PATTERN } from '../../configuration/schema.js';
import {
  runSteps,
  type ConfigurationDocument,
  type DocumentDiagnostic,
  type Entry,
  type SectionName,
  type Steps,
  type TeamEntry,
} from '../../configuration/types.js';
import { assignNumbers, type NumberAssignments } from '../../configuration/view.js';
import { Debug } from '../debug.js';
import { equalInConstantTime } from '../sha256.js';
import {
  MAX_EARLIER_TEXTS,
  MAX_HISTORY_EDITS,
  MAX_HISTORY_TEXT_LENGTH,
  MAX_VERDICTS,
  type AcceptedEdit,
  type ConflictingEdit,
  type EarlierTexts,
  type FoldState,
  type RefusalReason,
  type Verdict,
} from './foldState.js';
import {
  changedKeys,
  decodeRecordSteps,
  proofSteps,
  sectionsOf,
  type EditRecord,
  type SectionChange,
} from './records.js';

/**
 * Work of assigning numbers, in units of parsing one entry. It equals the work of a whole slice, so
 * the numbers are assigned at the start of a new slice.
 */
const ASSIGN_NUMBERS_WORK = 24;
const MAX_CONFLICTS = 20;
const MAX_CONFLICT_KEYS = 20;

/** The effect of one record on the state. */
export type FoldResult =
  | { readonly kind: 'ignored' }
  /** The record announces a checkpoint and changes nothing else. */
  | { readonly kind: 'checkpointNote' }
  | { readonly kind: 'blocked'; readonly schemaVersion: number }
  | { readonly kind: 'refused'; readonly verdict: Verdict }
  | {
      readonly kind: 'accepted';
      readonly verdict: Verdict;
      readonly document: ConfigurationDocument;
      readonly numbers: NumberAssignments;
      readonly edit: AcceptedEdit;
    };

/** Evaluates the record at `offset` incrementally, without changing the state. */
export function* evaluateRecordSteps(
  fold: FoldState,
  offset: number,
  data: string,
): Steps<FoldResult> {
  const record = yield* decodeRecordSteps(data);
  switch (record.kind) {
    case 'newer':
      return { kind: 'blocked', schemaVersion: record.schemaVersion };
    case 'edit':
      return fold.verdicts.has(record.editId)
        ? { kind: 'ignored' }
        : yield* evaluateEditSteps(fold, offset, record);
    case 'checkpoint':
      return { kind: 'checkpointNote' };
    case 'malformed':
      return { kind: 'ignored' };
    default:
      return Debug.assertNever(record);
  }
}

/** Applies the result of evaluating the record at `offset` to the state. */
export function applyFoldResult(fold: FoldState, offset: number, result: FoldResult): void {
  if (result.kind === 'blocked') {
    fold.blocked = { offset, schemaVersion: result.schemaVersion };
    return;
  }
  fold.next = offset + 1;
  if (result.kind === 'ignored' || result.kind === 'checkpointNote') return;
  storeVerdict(fold, result.verdict);
  if (result.kind === 'refused') return;
  fold.version = offset;
  fold.document = result.document;
  fold.numbers = result.numbers;
  result.verdict.sections.forEach((section) => fold.sectionVersions.set(section, offset));
  fold.history = trimHistory([...fold.history, result.edit]);
}

/** Evaluates one record and applies the result, without interruption. */
export function foldRecord(fold: FoldState, offset: number, data: string): FoldResult {
  const result = runSteps(evaluateRecordSteps(fold, offset, data));
  applyFoldResult(fold, offset, result);
  return result;
}

function storeVerdict(fold: FoldState, verdict: Verdict): void {
  fold.verdicts.set(verdict.editId, verdict);
  if (fold.verdicts.size <= MAX_VERDICTS) return;
  const [oldest] = fold.verdicts.keys();
  if (oldest !== undefined) fold.verdicts.delete(oldest);
}

/** Keeps the latest edits within the limits on their number and on the length of their texts. */
function trimHistory(history: readonly AcceptedEdit[]): readonly AcceptedEdit[] {
  let length = 0;
  let first = history.length;
  while (first > 0 && history.length - first < MAX_HISTORY_EDITS) {
    length += history[first - 1]?.length ?? 0;
    if (length > MAX_HISTORY_TEXT_LENGTH) break;
    first -= 1;
  }
  return first === 0 ? history : history.slice(first);
}

/** Checks an edit: its author, conflicts with later edits, its entries, then the whole document. */
function* evaluateEditSteps(fold: FoldState, offset: number, edit: EditRecord): Steps<FoldResult> {
  const refuse = (
    reason: RefusalReason,
    diagnostics: readonly DocumentDiagnostic[] = [],
    conflicts: readonly ConflictingEdit[] = [],
  ): FoldResult => {
    const verdict = createVerdict(edit, offset, {
      accepted: false,
      reason,
      diagnostics,
      conflicts,
    });
    return { kind: 'refused', verdict };
  };
  const authorRefusal = yield* checkAuthorSteps(fold, edit);
  if (authorRefusal !== undefined) return refuse(authorRefusal);
  if (edit.baseVersion > fold.version) return refuse('unknownBase');
  const conflicts = findConflicts(fold, edit);
  if (conflicts !== undefined) return refuse('conflict', [], conflicts);
  const applied = yield* applyChangesSteps(fold.document, edit.changes);
  if (applied.diagnostics.length > 0) return refuse('invalid', applied.diagnostics);
  const documentDiagnostics = yield* checkDocument(applied.document, sectionsOf(edit));
  if (documentDiagnostics.length > 0) return refuse('invalid', documentDiagnostics);
  if (sectionsOf(edit).some((section) => section === 'customers' || section === 'pools')) {
    yield ASSIGN_NUMBERS_WORK;
  }
  return {
    kind: 'accepted',
    verdict: createVerdict(edit, offset, { accepted: true, diagnostics: [], conflicts: [] }),
    document: applied.document,
    numbers: assignNumbers(applied.document, fold.numbers),
    edit: createAcceptedEdit(fold, offset, edit),
  };
}

type EditOutcome = Pick<Verdict, 'accepted' | 'reason' | 'diagnostics' | 'conflicts'>;

function createVerdict(edit: EditRecord, offset: number, outcome: EditOutcome): Verdict {
  const { editId, author, team, at } = edit;
  return { editId, offset, author, team, at, sections: sectionsOf(edit), ...outcome };
}

/**
 * Returns the reason to refuse the author, if any. The first edit of a fleet must define the teams;
 * every later one needs the proof of a team that owns all of its sections.
 */
function* checkAuthorSteps(fold: FoldState, edit: EditRecord): Steps<RefusalReason | undefined> {
  const sections = sectionsOf(edit);
  if (fold.document.teams.size === 0) return sections.includes('teams') ? undefined : 'bootstrap';
  const team = fold.document.teams.get(edit.team)?.value;
  if (team === undefined) return 'unknownTeam';
  if (!(yield* verifyProofSteps(team, edit))) return 'wrongProof';
  return sections.every((section) => team.sections.includes(section)) ? undefined : 'notOwner';
}

function* verifyProofSteps(team: TeamEntry, edit: EditRecord): Steps<boolean> {
  for (const keyHash of team.keyHashes) {
    if (equalInConstantTime(yield* proofSteps(keyHash, edit), edit.proof)) return true;
  }
  return false;
}

/**
 * Returns the edits of the same sections that were accepted after the base version, or `undefined` if
 * no section has changed since. The list and the history are bounded, so edits may be missing.
 */
function findConflicts(fold: FoldState, edit: EditRecord): readonly ConflictingEdit[] | undefined {
  const sections = sectionsOf(edit);
  const isStale = sections.some(
    (section) => (fold.sectionVersions.get(section) ?? -1) > edit.baseVersion,
  );
  if (!isStale) return undefined;
  return fold.history
    .filter((laterEdit) => laterEdit.version > edit.baseVersion)
    .flatMap((laterEdit) =>
      laterEdit.sections
        .filter((section) => sections.includes(section))
        .map((section) => createConflict(laterEdit, section)),
    )
    .slice(-MAX_CONFLICTS);
}

function createConflict(edit: AcceptedEdit, section: SectionName): ConflictingEdit {
  const { version, author, team, at } = edit;
  const texts = edit.earlier?.find((change) => change.section === section)?.texts ?? {};
  const keys = Object.keys(texts).slice(0, MAX_CONFLICT_KEYS);
  return { version, author, team, at, section, keys };
}

interface AppliedChanges {
  readonly document: ConfigurationDocument;
  readonly diagnostics: readonly DocumentDiagnostic[];
}

/** Applies changes incrementally; only the entries that are set are parsed. */
export function* applyChangesSteps(
  document: ConfigurationDocument,
  changes: readonly SectionChange[],
): Steps<AppliedChanges> {
  const diagnostics: DocumentDiagnostic[] = [];
  const sections: Partial<Record<string, ReadonlyMap<string, Entry>>> = {};
  for (const change of changes) {
    const entries = new Map<string, Entry>(document[change.section]);
    change.remove.forEach((key) => entries.delete(key));
    for (const [key, text] of Object.entries(change.set)) {
      if (diagnostics.length >= MAX_DIAGNOSTICS) break;
      const result = parseChangedEntry(change, key, text);
      if (result.kind === 'entry') entries.set(key, result.entry);
      else diagnostics.push(...result.diagnostics);
      yield 1;
    }
    if (entries.size > MAX_SECTION_ENTRIES) {
      const args = { section: change.section, limit: MAX_SECTION_ENTRIES };
      diagnostics.push({ code: 'tooManyEntries', args, line: 1, column: 1 });
    }
    sections[change.section] = entries;
  }
  return {
    document: { ...document, ...sections },
    diagnostics: diagnostics.slice(0, MAX_DIAGNOSTICS),
  };
}

function parseChangedEntry(change: SectionChange, key: string, text: string) {
  const { section } = change;
  if (ID_PATTERN.test(key)) return parseEntry(section, { key, text, line: 0 });
  const diagnostic: DocumentDiagnostic = {
    code: 'notAnEntry',
    args: { section },
    section,
    line: 1,
    column: 1,
  };
  return { kind: 'diagnostics', diagnostics: [diagnostic] } as const;
}

/** Creates the history item of an edit, with the texts that it replaces unless there are too many. */
function createAcceptedEdit(fold: FoldState, version: number, edit: EditRecord): AcceptedEdit {
  const { editId, author, team, at } = edit;
  const sections = sectionsOf(edit);
  const base = { version, editId, author, team, at, sections };
  const changes = edit.changes.map((change) => ({ change, keys: changedKeys(change) }));
  const changedCount = changes.reduce((sum, { keys }) => sum + keys.length, 0);
  if (changedCount > MAX_EARLIER_TEXTS) return { ...base, length: 0 };
  let length = 0;
  const earlier = changes.map(({ change: { section }, keys }): EarlierTexts => {
    const texts = keys.map((key): [string, string | null] => {
      const text = fold.document[section].get(key)?.text ?? null;
      length += key.length + (text?.length ?? 0);
      return [key, text];
    });
    return { section, texts: Object.fromEntries(texts) };
  });
  return { ...base, earlier, length };
}

/**
 * Returns the source texts of a section's entries at an earlier version, by key, or `undefined` if
 * the history does not reach back to it.
 */
export function entriesAt(
  fold: FoldState,
  section: SectionName,
  version: number,
): ReadonlyMap<string, string> | undefined {
  const current = new Map([...fold.document[section]].map(([key, { text }]) => [key, text]));
  if ((fold.sectionVersions.get(section) ?? -1) <= version) return current;
  const laterEdits = fold.history.filter((edit) => edit.version > version);
  const reachesVersion = fold.history.some((edit) => edit.version <= version);
  if (!reachesVersion && version >= 0) return undefined;
  for (const edit of [...laterEdits].reverse()) {
    if (edit.earlier === undefined) return undefined;
    edit.earlier
      .filter((change) => change.section === section)
      .forEach(({ texts }) => restoreTexts(current, texts));
  }
  return current;
}

function restoreTexts(
  entries: Map<string, string>,
  texts: Readonly<Record<string, string | null>>,
) {
  Object.entries(texts).forEach(([key, text]) => {
    if (text === null) entries.delete(key);
    else entries.set(key, text);
  });
}
