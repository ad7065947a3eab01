/** Differences between what an operator sent and the document that the fold holds. */
import { checkDocument } from '../../configuration/checks.js';
import {
  splitDocumentSteps,
  splitSection,
  splitSectionSteps,
  type EntrySource,
  type SectionSource,
  type Split,
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
import { applyChanges } from './fold.js';
import type { SectionChange } from './records.js';

/** Name under which a whole document is published. */
export const WHOLE_DOCUMENT = 'document';
const COMPARED_PER_STEP = 512;
/** Work of comparing so many entries, in units of parsing one. */
const COMPARE_WORK = 5;

export type ChangesResult =
  | { readonly kind: 'changes'; readonly changes: readonly SectionChange[] }
  | { readonly kind: 'diagnostics'; readonly diagnostics: readonly DocumentDiagnostic[] };

/** Compares a section's or document's source with `document`; only what differs is a change. */
export function* changesSteps(
  document: ConfigurationDocument,
  section: string,
  text: string,
): Steps<ChangesResult> {
  const split = yield* splitSourceSteps(section, text);
  if (split.diagnostics.length > 0) return { kind: 'diagnostics', diagnostics: split.diagnostics };
  const changes: SectionChange[] = [];
  for (const part of split.parts) {
    const { parts, diagnostics } = yield* splitSectionSteps(part.name, part.text);
    if (diagnostics.length > 0) {
      return { kind: 'diagnostics', diagnostics: diagnostics.map((d) => inSource(d, part)) };
    }
    const change = yield* compareSteps(part, document[part.name], parts);
    if (change !== undefined) changes.push(change);
  }
  return { kind: 'changes', changes };
}

/** A whole document that lacks a section empties it. */
function* splitSourceSteps(section: string, text: string): Steps<Split<SectionSource>> {
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

function* compareSteps(
  source: SectionSource,
  entries: ReadonlyMap<string, Entry>,
  parts: readonly EntrySource[],
): Steps<SectionChange | undefined> {
  const set: Record<string, string> = {};
  const kept = new Set<string>();
  let changed = 0;
  for (const part of parts) {
    kept.add(part.key);
    if (entries.get(part.key)?.text !== part.text) {
      set[part.key] = part.text;
      changed += 1;
    }
    if (kept.size % COMPARED_PER_STEP === 0) yield COMPARE_WORK;
  }
  const remove = [...entries.keys()].filter((key) => !kept.has(key));
  if (changed === 0 && remove.length === 0) return undefined;
  return { section: source.name, set, remove };
}

/** Parses and checks a section's or document's source against the rest of `document`. */
export function* checkSteps(
  document: ConfigurationDocument,
  section: string,
  text: string,
): Steps<readonly DocumentDiagnostic[]> {
  const result = yield* changesSteps(document, section, text);
  if (result.kind === 'diagnostics') return result.diagnostics;
  const applied = yield* applyChanges(document, result.changes);
  if (applied.diagnostics.length > 0) return locate(applied.diagnostics, section, text);
  return locate(yield* checkDocument(applied.document), section, text);
}

/** Turns lines within entries into lines of what the operator sent. */
export function locate(
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
    const line = Math.max(diagnostic.line, firstLineOf(entry)) + entry.line;
    const column = Math.max(diagnostic.column, 1);
    return inSource({ ...diagnostic, line, column }, part);
  });
}

/** Number of the line, from 1, on which an entry begins behind its comments. */
function firstLineOf(entry: EntrySource): number {
  return entry.text.split('\n').findIndex((line) => !/^\s*(#|$)/.test(line)) + 1;
}

function inSource(diagnostic: DocumentDiagnostic, part: SectionSource): DocumentDiagnostic {
  return {
    ...diagnostic,
    section: part.name,
    line: diagnostic.line + part.line,
    column: diagnostic.column + part.column,
  };
}
