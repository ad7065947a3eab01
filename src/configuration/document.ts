/**
 * Parses the configuration document from source text into sections, entries, values and
 * diagnostics. All functions are pure, so that every instance computes the same result.
 */
import { formatDiagnostic } from '../core/diagnostics.js';
import { MAX_DIAGNOSTICS, MAX_DOCUMENT_LENGTH } from './bounds.js';
import { checkDocument } from './checks.js';
import { parseEntry } from './entry.js';
import {
  splitDocumentSteps,
  splitSection,
  splitSectionSteps,
  type EntrySource,
  type SectionSource,
} from './source.js';
import {
  emptyDocument,
  runSteps,
  SECTION_NAMES,
  type ConfigurationDocument,
  type DocumentDiagnostic,
  type EntriesOf,
  type Entry,
  type ParseResult,
  type SectionName,
  type Steps,
} from './types.js';

/** Cost of reusing an unchanged entry, relative to parsing one. */
const REUSED_ENTRY_COST = 0.005;

export interface SectionResult<S extends SectionName = SectionName> {
  readonly entries: EntriesOf<S>;
  readonly diagnostics: readonly DocumentDiagnostic[];
}

/** Parses and checks a whole document. */
export function parseDocument(source: string): ParseResult {
  return runSteps(parseDocumentSteps(source));
}

/** Parses and checks a whole document incrementally, reusing unchanged entries of `previous`. */
export function* parseDocumentSteps(
  source: string,
  previous: ConfigurationDocument = emptyDocument(),
): Steps<ParseResult> {
  if (source.length > MAX_DOCUMENT_LENGTH) {
    const args = { limit: MAX_DOCUMENT_LENGTH };
    return diagnosticsResult([{ code: 'documentTooLarge', args, line: 1, column: 1 }]);
  }
  const { parts, diagnostics } = yield* splitDocumentSteps(source);
  const allDiagnostics = [...diagnostics];
  const sections: Partial<Record<SectionName, ReadonlyMap<string, Entry>>> = {};
  for (const part of parts) {
    const result = yield* parseSectionSteps(part.name, part.text, previous[part.name]);
    sections[part.name] = result.entries;
    allDiagnostics.push(
      ...result.diagnostics.map((diagnostic) => toDocumentPosition(diagnostic, part)),
    );
  }
  if (allDiagnostics.length > 0) return diagnosticsResult(allDiagnostics);
  const document = { ...emptyDocument(), ...sections } as ConfigurationDocument;
  const crossSectionDiagnostics = yield* checkDocument(document);
  if (crossSectionDiagnostics.length === 0) return { kind: 'document', document };
  return diagnosticsResult(
    crossSectionDiagnostics.map((diagnostic) => locateInDocument(diagnostic, parts)),
  );
}

function diagnosticsResult(diagnostics: readonly DocumentDiagnostic[]): ParseResult {
  return { kind: 'diagnostics', diagnostics: diagnostics.slice(0, MAX_DIAGNOSTICS) };
}

/** Parses one section whose entries begin in the first column. */
export function* parseSectionSteps<S extends SectionName>(
  section: S,
  source: string,
  previous: ReadonlyMap<string, Entry> = new Map(),
): Steps<SectionResult<S>> {
  const split = yield* splitSectionSteps(section, source);
  const diagnostics: DocumentDiagnostic[] = split.diagnostics.map((diagnostic) => ({
    ...diagnostic,
    section,
  }));
  const entries = new Map<string, Entry>();
  for (const part of split.parts) {
    if (diagnostics.length >= MAX_DIAGNOSTICS) break;
    const reused = previous.get(part.key);
    if (reused?.text === part.text) {
      entries.set(part.key, reused);
      yield REUSED_ENTRY_COST;
    } else {
      const result = parseEntry(section, part);
      if (result.kind === 'entry') entries.set(part.key, result.entry);
      else diagnostics.push(...result.diagnostics.map((d) => toSectionPosition(d, part)));
      yield 1;
    }
  }
  return { entries: entries as unknown as EntriesOf<S>, diagnostics };
}

function toSectionPosition(diagnostic: DocumentDiagnostic, part: EntrySource): DocumentDiagnostic {
  return { ...diagnostic, line: diagnostic.line + part.line };
}

function toDocumentPosition(
  diagnostic: DocumentDiagnostic,
  part: SectionSource,
): DocumentDiagnostic {
  return {
    ...diagnostic,
    line: diagnostic.line + part.line,
    column: diagnostic.column + part.column,
  };
}

/** Sets the position of a cross-section diagnostic to that of its entry in the document. */
function locateInDocument(
  diagnostic: DocumentDiagnostic,
  parts: readonly SectionSource[],
): DocumentDiagnostic {
  const part = parts.find(({ name }) => name === diagnostic.section);
  if (part === undefined) return diagnostic;
  return toDocumentPosition(locateInSection(diagnostic, part.name, part.text), part);
}

/** Sets the position of a cross-section diagnostic to that of its entry in a section's source. */
export function locateInSection(
  diagnostic: DocumentDiagnostic,
  section: SectionName,
  source: string,
): DocumentDiagnostic {
  const entry = splitSection(section, source).parts.find(({ key }) => key === diagnostic.key);
  if (entry === undefined) return { ...diagnostic, line: 1, column: 1 };
  const firstContentLine = entry.text.split('\n').findIndex((line) => !/^\s*(#|$)/.test(line));
  return { ...diagnostic, line: entry.line + Math.max(firstContentLine, 0) + 1, column: 1 };
}

/** Concatenates the sources of a section's entries into the form in which it is published. */
export function formatSection(entries: ReadonlyMap<string, Entry>): string {
  return [...entries.values()].map((entry) => entry.text).join('');
}

/** Formats the source of a whole document; empty sections are omitted. */
export function formatDocument(document: ConfigurationDocument): string {
  return SECTION_NAMES.filter((name) => document[name].size > 0)
    .map((name) => `${name}:\n${indentLines(formatSection(document[name]))}`)
    .join('\n');
}

function indentLines(text: string): string {
  return text.replace(/^(?=.)/gm, '  ');
}

/** Formats a diagnostic as `line:column: section: text`; parts that are unknown are omitted. */
export function formatDocumentDiagnostic(diagnostic: DocumentDiagnostic): string {
  const position = diagnostic.line > 0 ? `${diagnostic.line}:${diagnostic.column}: ` : '';
  const sectionPrefix = diagnostic.section === undefined ? '' : `${diagnostic.section}: `;
  return `${position}${sectionPrefix}${formatDiagnostic(diagnostic.code, diagnostic.args)}`;
}
