/**
 * The fold of the log's edits: decides from the records alone which edits are accepted, so that all
 * instances come to the same document, version and verdicts without agreeing on anything else.
 */
import { checkDocument } from '../../configuration/checks.js';
import { parseEntry } from '../../configuration/entry.js';
import { DIAGNOSTICS_MAX, ENTRIES_MAX } from '../../configuration/bounds.js';
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
import { assignNumbers, type Numbers } from '../../configuration/view.js';
import { Debug } from '../debug.js';
import { equalInConstantTime } from '../sha256.js';
import {
  HISTORY_KEYS_MAX,
  HISTORY_MAX,
  HISTORY_TEXT_MAX,
  VERDICTS_MAX,
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

/** Work of assigning numbers, in units of parsing one entry; it begins a new slice. */
const ASSIGN_WORK = 24;
const CONFLICTS_MAX = 20;
const CONFLICT_KEYS_MAX = 20;

/** What one record does to the state. */
export type Judgement =
  | { readonly kind: 'ignored' }
  /** A note of a checkpoint. */
  | { readonly kind: 'noted' }
  | { readonly kind: 'blocked'; readonly schemaVersion: number }
  | { readonly kind: 'refused'; readonly verdict: Verdict }
  | {
      readonly kind: 'accepted';
      readonly verdict: Verdict;
      readonly document: ConfigurationDocument;
      readonly numbers: Numbers;
      readonly edit: AcceptedEdit;
    };

/** Judges the record at `offset` in pieces; does not change the state. */
export function* judgeSteps(fold: FoldState, offset: number, data: string): Steps<Judgement> {
  const record = yield* decodeRecordSteps(data);
  switch (record.kind) {
    case 'newer':
      return { kind: 'blocked', schemaVersion: record.schemaVersion };
    case 'edit':
      return fold.verdicts.has(record.editId)
        ? { kind: 'ignored' }
        : yield* judgeEdit(fold, offset, record);
    case 'checkpoint':
      return { kind: 'noted' };
    case 'malformed':
      return { kind: 'ignored' };
    default:
      return Debug.assertNever(record);
  }
}

/** Takes a judgement over into the state. */
export function settle(fold: FoldState, offset: number, judgement: Judgement): void {
  if (judgement.kind === 'blocked') {
    fold.blocked = { offset, schemaVersion: judgement.schemaVersion };
    return;
  }
  fold.next = offset + 1;
  if (judgement.kind === 'ignored' || judgement.kind === 'noted') return;
  keepVerdict(fold, judgement.verdict);
  if (judgement.kind === 'refused') return;
  fold.version = offset;
  fold.document = judgement.document;
  fold.numbers = judgement.numbers;
  judgement.verdict.sections.forEach((section) => fold.sectionVersions.set(section, offset));
  fold.history = boundHistory([...fold.history, judgement.edit]);
}

/** Judges and takes over one record at once. */
export function foldRecord(fold: FoldState, offset: number, data: string): Judgement {
  const judgement = runSteps(judgeSteps(fold, offset, data));
  settle(fold, offset, judgement);
  return judgement;
}

function keepVerdict(fold: FoldState, verdict: Verdict): void {
  fold.verdicts.set(verdict.editId, verdict);
  if (fold.verdicts.size <= VERDICTS_MAX) return;
  const [oldest] = fold.verdicts.keys();
  if (oldest !== undefined) fold.verdicts.delete(oldest);
}

function boundHistory(history: readonly AcceptedEdit[]): readonly AcceptedEdit[] {
  let length = 0;
  let first = history.length;
  while (first > 0 && history.length - first < HISTORY_MAX) {
    length += history[first - 1]?.length ?? 0;
    if (length > HISTORY_TEXT_MAX) break;
    first -= 1;
  }
  return first === 0 ? history : history.slice(first);
}

function* judgeEdit(fold: FoldState, offset: number, edit: EditRecord): Steps<Judgement> {
  const refuse = (
    reason: RefusalReason,
    diagnostics: readonly DocumentDiagnostic[] = [],
    conflicts: readonly ConflictingEdit[] = [],
  ): Judgement => {
    const verdict = verdictOf(edit, offset, { accepted: false, reason, diagnostics, conflicts });
    return { kind: 'refused', verdict };
  };
  const author = yield* checkAuthor(fold, edit);
  if (author !== undefined) return refuse(author);
  if (edit.baseVersion > fold.version) return refuse('unknownBase');
  const conflicts = conflictsOf(fold, edit);
  if (conflicts !== undefined) return refuse('conflict', [], conflicts);
  const changed = yield* applyChanges(fold.document, edit.changes);
  if (changed.diagnostics.length > 0) return refuse('invalid', changed.diagnostics);
  const crossed = yield* checkDocument(changed.document, sectionsOf(edit));
  if (crossed.length > 0) return refuse('invalid', crossed);
  if (sectionsOf(edit).some((section) => section === 'customers' || section === 'pools')) {
    yield ASSIGN_WORK;
  }
  return {
    kind: 'accepted',
    verdict: verdictOf(edit, offset, { accepted: true, diagnostics: [], conflicts: [] }),
    document: changed.document,
    numbers: assignNumbers(changed.document, fold.numbers),
    edit: acceptedEdit(fold, offset, edit),
  };
}

type Finding = Pick<Verdict, 'accepted' | 'reason' | 'diagnostics' | 'conflicts'>;

function verdictOf(edit: EditRecord, offset: number, finding: Finding): Verdict {
  const { editId, author, team, at } = edit;
  return { editId, offset, author, team, at, sections: sectionsOf(edit), ...finding };
}

/** The first edit of a fleet brings the teams; every later one needs an owner's proof. */
function* checkAuthor(fold: FoldState, edit: EditRecord): Steps<RefusalReason | undefined> {
  const sections = sectionsOf(edit);
  if (fold.document.teams.size === 0) return sections.includes('teams') ? undefined : 'bootstrap';
  const team = fold.document.teams.get(edit.team)?.value;
  if (team === undefined) return 'unknownTeam';
  if (!(yield* hasProof(team, edit))) return 'wrongProof';
  return sections.every((section) => team.sections.includes(section)) ? undefined : 'notOwner';
}

function* hasProof(team: TeamEntry, edit: EditRecord): Steps<boolean> {
  for (const keyHash of team.keyHashes) {
    if (equalInConstantTime(yield* proofSteps(keyHash, edit), edit.proof)) return true;
  }
  return false;
}

/** Later edits of the same sections, or `undefined` if there is none. */
function conflictsOf(fold: FoldState, edit: EditRecord): readonly ConflictingEdit[] | undefined {
  const sections = sectionsOf(edit);
  const isStale = sections.some(
    (section) => (fold.sectionVersions.get(section) ?? -1) > edit.baseVersion,
  );
  if (!isStale) return undefined;
  return fold.history
    .filter((later) => later.version > edit.baseVersion)
    .flatMap((later) =>
      later.sections
        .filter((section) => sections.includes(section))
        .map((section) => conflictOf(later, section)),
    )
    .slice(-CONFLICTS_MAX);
}

function conflictOf(edit: AcceptedEdit, section: SectionName): ConflictingEdit {
  const { version, author, team, at } = edit;
  const texts = edit.earlier?.find((change) => change.section === section)?.texts ?? {};
  const keys = Object.keys(texts).slice(0, CONFLICT_KEYS_MAX);
  return { version, author, team, at, section, keys };
}

interface Changed {
  readonly document: ConfigurationDocument;
  readonly diagnostics: readonly DocumentDiagnostic[];
}

/** Applies changes in pieces; only the entries that are set are parsed. */
export function* applyChanges(
  document: ConfigurationDocument,
  changes: readonly SectionChange[],
): Steps<Changed> {
  const diagnostics: DocumentDiagnostic[] = [];
  const sections: Partial<Record<string, ReadonlyMap<string, Entry>>> = {};
  for (const change of changes) {
    const entries = new Map<string, Entry>(document[change.section]);
    change.remove.forEach((key) => entries.delete(key));
    for (const [key, text] of Object.entries(change.set)) {
      if (diagnostics.length >= DIAGNOSTICS_MAX) break;
      const result = readEntry(change, key, text);
      if (result.kind === 'entry') entries.set(key, result.entry);
      else diagnostics.push(...result.diagnostics);
      yield 1;
    }
    if (entries.size > ENTRIES_MAX) {
      const args = { section: change.section, limit: ENTRIES_MAX };
      diagnostics.push({ code: 'tooManyEntries', args, line: 1, column: 1 });
    }
    sections[change.section] = entries;
  }
  return {
    document: { ...document, ...sections },
    diagnostics: diagnostics.slice(0, DIAGNOSTICS_MAX),
  };
}

function readEntry(change: SectionChange, key: string, text: string) {
  const { section } = change;
  if (ID_PATTERN.test(key)) return parseEntry(section, { key, text, line: 0 });
  const finding: DocumentDiagnostic = {
    code: 'notAnEntry',
    args: { section },
    section,
    line: 1,
    column: 1,
  };
  return { kind: 'diagnostics', diagnostics: [finding] } as const;
}

function acceptedEdit(fold: FoldState, version: number, edit: EditRecord): AcceptedEdit {
  const { editId, author, team, at } = edit;
  const sections = sectionsOf(edit);
  const base = { version, editId, author, team, at, sections };
  const changes = edit.changes.map((change) => ({ change, keys: changedKeys(change) }));
  const changed = changes.reduce((sum, { keys }) => sum + keys.length, 0);
  if (changed > HISTORY_KEYS_MAX) return { ...base, length: 0 };
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

/** Source of a section as it was at an earlier version, if the history reaches back to it. */
export function entriesAt(
  fold: FoldState,
  section: SectionName,
  version: number,
): ReadonlyMap<string, string> | undefined {
  const current = new Map([...fold.document[section]].map(([key, { text }]) => [key, text]));
  if ((fold.sectionVersions.get(section) ?? -1) <= version) return current;
  const later = fold.history.filter((edit) => edit.version > version);
  const isWhole = fold.history.some((edit) => edit.version <= version);
  if (!isWhole && version >= 0) return undefined;
  for (const edit of [...later].reverse()) {
    if (edit.earlier === undefined) return undefined;
    edit.earlier
      .filter((change) => change.section === section)
      .forEach(({ texts }) => restore(current, texts));
  }
  return current;
}

function restore(entries: Map<string, string>, texts: Readonly<Record<string, string | null>>) {
  Object.entries(texts).forEach(([key, text]) => {
    if (text === null) entries.delete(key);
    else entries.set(key, text);
  });
}
