/**
 * Compares source text from an operator with the current document, and maps diagnostics back to
 * positions in that text.
 */
import { checkDocument } from '../../configuration/checks.js';
import {
  splitDocumentSteps,
  splitSection,
  splitSectionSteps,
  type EntrySource,
  type SectionSource,
  type SplitResult,
} from '../../configuration/source.js';
import {
  isSectionName,
  runSteps,
  SECTION_NAMES,
  type ConfigurationDocument,
  type DocumentDiagnostic,
  type Entry,
  type Steps,
} from '../../configuration/types.js';
import { applyChangesSteps } from './fold.js';
import type { SectionChange } from './records.js';

/** Stands for the whole document where a command names a section. */
export const WHOLE_DOCUMENT = 'document';
const COMPARISONS_PER_STEP = 512;
/** Work of COMPARISONS_PER_STEP comparisons, in units of parsing one entry. */
const COMPARE_STEP_WORK = 5;

export type DiffResult =
  | { readonly kind: 'changes'; readonly changes: readonly SectionChange[] }
  | { readonly kind: 'diagnostics'; readonly diagnostics: readonly DocumentDiagnostic[] };

/** Computes the changes that turn `document` into the given source of a section or document. */
export function* diffSourceSteps(
  document: ConfigurationDocument,
  section: string,
  text: string,
): Steps<DiffResult> {
  const split = yield* splitSourceSteps(section, text);
  if (split.diagnostics.length > 0) return { kind: 'diagnostics', diagnostics: split.diagnostics };
  const changes: SectionChange[] = [];
  for (const part of split.parts) {
    const { parts, diagnostics } = yield* splitSectionSteps(part.name, part.text);
    if (diagnostics.length > 0) {
      return {
        kind: 'diagnostics',
        diagnostics: diagnostics.map((d) => addSourcePosition(d, part)),
      };
    }
    const change = yield* diffSectionSteps(part, document[part.name], parts);
    if (change !== undefined) changes.push(change);
  }
  return { kind: 'changes', changes };
}

/** Splits the source into sections. A section that a whole document omits is taken as empty. */
function* splitSourceSteps(section: string, text: string): Steps<SplitResult<SectionSource>> {
  if (section !== WHOLE_DOCUMENT) {
    if (isSectionName(section)) {
      return { parts: [{ name: section, text, line: 0, column: 0 }], diagnostics: [] };
    }
    const args = { section };
    return {
      parts: [],
      diagnostics: [{ code: 'unknownSection', args, line: 0, column: 0 } as const],
    };
  }
  const { parts, diagnostics } = yield* splitDocumentSteps(text);
  const absent = SECTION_NAMES.filter((name) => !parts.some((part) => part.name === name));
  const emptied = absent.map((name) => ({ name, text: '', line: 0, column: 0 }));
  return { parts: [...parts, ...emptied], diagnostics };
}

/** Returns the changes of one section, or `undefined` if there are none. */
function* diffSectionSteps(
  source: SectionSource,
  entries: ReadonlyMap<string, Entry>,
  parts: readonly EntrySource[],
): Steps<SectionChange | undefined> {
  const set: Record<string, string> = {};
  const sourceKeys = new Set<string>();
  let changedCount = 0;
  for (const part of parts) {
    sourceKeys.add(part.key);
    if (entries.get(part.key)?.text !== part.text) {
      set[part.key] = part.text;
      changedCount += 1;
    }
    if (sourceKeys.size % COMPARISONS_PER_STEP === 0) yield COMPARE_STEP_WORK;
  }
  const remove = [...entries.keys()].filter((key) => !sourceKeys.has(key));
  if (changedCount === 0 && remove.length === 0) return undefined;
  return { section: source.name, set, remove };
}

/** Parses the source of a section or document and checks it together with the rest of `document`. */
export function* validateSourceSteps(
  document: ConfigurationDocument,
  section: string,
  text: string,
): Steps<readonly DocumentDiagnostic[]> {
  const result = yield* diffSourceSteps(document, section, text);
  if (result.kind === 'diagnostics') return result.diagnostics;
  const applied = yield* applyChangesSteps(document, result.changes);
  if (applied.diagnostics.length > 0) return toSourcePositions(applied.diagnostics, section, text);
  return toSourcePositions(yield* checkDocument(applied.document), section, text);
}

/** Converts positions relative to an entry into positions in the operator's source text. */
export function toSourcePositions(
  diagnostics: readonly DocumentDiagnostic[],
  section: string,
  text: string,
): readonly DocumentDiagnostic[] {
  if (diagnostics.length === 0) return [];
  const { parts } = runSteps(splitSourceSteps(section, text));
  return diagnostics.map((diagnostic) => {
    const part = parts.find(({ name }) => name === diagnostic.section);
    if (part === undefined) return diagnostic;
    const entry = splitSection(part.name, part.text).parts.find(
      ({ key }) => key === diagnostic.key,
    );
    if (entry === undefined) return diagnostic;
    const line = Math.max(diagnostic.line, firstContentLine(entry)) + entry.line;
    const column = Math.max(diagnostic.column, 1);
    return addSourcePosition({ ...diagnostic, line, column }, part);
  });
}

/** Returns the 1-based number of an entry's first line that is neither blank nor a comment. */
function firstContentLine(entry: EntrySource): number {
  return entry.text.split('\n').findIndex((line) => !/^\s*(#|$)/.test(line)) + 1;
}

/** Adds the position of a section within the source to a diagnostic. */
function addSourcePosition(
  diagnostic: DocumentDiagnostic,
  part: SectionSource,
): DocumentDiagnostic {
  return {
    ...diagnostic,
    section: part.name,
    line: diagnostic.line + part.line,
    column: diagnostic.column + part.column,
  };
}
