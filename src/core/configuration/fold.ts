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
  type Steps,
  type TeamEntry,
} from '../../configuration/types.js';
import { assignNumbers, type Numbers } from '../../configuration/view.js';
import { equalInConstantTime } from '../sha256.js';
import {
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
  decodeRecord,
  proofSteps,
  sectionsOf,
  type EditRecord,
  type SectionChange,
} from './records.js';

/** Characters of a record that are decoded in the time of parsing one entry. */
const DECODED_PER_WORK = 16_384;
const CONFLICTS_MAX = 20;
const CONFLICT_KEYS_MAX = 20;

/** What one record does to the state. */
export type Judgement =
  | { readonly kind: 'ignored' }
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
  const record = decodeRecord(data);
  yield data.length / DECODED_PER_WORK;
  switch (record.kind) {
    case 'newer':
      return { kind: 'blocked', schemaVersion: record.schemaVersion };
    case 'edit':
      return fold.verdicts.has(record.editId)
        ? { kind: 'ignored' }
        : yield* judgeEdit(fold, offset, record);
    default:
      return { kind: 'ignored' };
  }
}

/** Takes a judgement over into the state. */
export function settle(fold: FoldState, offset: number, judgement: Judgement): void {
  if (judgement.kind === 'blocked') {
    fold.blocked = { offset, schemaVersion: judgement.schemaVersion };
    return;
  }
  fold.next = offset + 1;
  if (judgement.kind === 'ignored') return;
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
    length += textLength(history[first - 1] as AcceptedEdit);
    if (length > HISTORY_TEXT_MAX) break;
    first -= 1;
  }
  return history.slice(first);
}

function textLength(edit: AcceptedEdit): number {
  return edit.earlier
    .flatMap(({ texts }) => Object.entries(texts))
    .reduce((sum, [key, text]) => sum + key.length + (text?.length ?? 0), 0);
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
  const crossed = yield* checkDocument(changed.document);
  if (crossed.length > 0) return refuse('invalid', crossed);
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
      later.earlier
        .filter(({ section }) => sections.includes(section))
        .map(({ section, texts }) => conflictOf(later, { section, texts })),
    )
    .slice(-CONFLICTS_MAX);
}

function conflictOf(edit: AcceptedEdit, change: EarlierTexts): ConflictingEdit {
  const { version, author, team, at } = edit;
  const keys = Object.keys(change.texts).slice(0, CONFLICT_KEYS_MAX);
  return { version, author, team, at, section: change.section, keys };
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
  const earlier = edit.changes.map((change) => ({
    section: change.section,
    texts: Object.fromEntries(
      changedKeys(change).map((key) => [key, fold.document[change.section].get(key)?.text ?? null]),
    ),
  }));
  return { version, editId, author, team, at, earlier };
}

/** Source of a section as it was at an earlier version, if the history reaches back to it. */
export function entriesAt(
  fold: FoldState,
  section: EditRecord['changes'][number]['section'],
  version: number,
): ReadonlyMap<string, string> | undefined {
  const current = new Map([...fold.document[section]].map(([key, { text }]) => [key, text]));
  if ((fold.sectionVersions.get(section) ?? -1) <= version) return current;
  const later = fold.history.filter((edit) => edit.version > version);
  const isWhole = fold.history.some((edit) => edit.version <= version);
  if (!isWhole && version >= 0) return undefined;
  for (const edit of [...later].reverse()) {
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
