/**
 * Reads the configuration document: source to sections, entries, values and findings. Everything
 * here is pure, so that all instances come to the same result.
 */
import { formatDiagnostic } from '../core/diagnostics.js';
import { DIAGNOSTICS_MAX, DOCUMENT_BYTES_MAX } from './bounds.js';
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

/** Work of taking an entry over unchanged, in units of parsing one. */
const REUSED_ENTRY_WORK = 0.005;

export interface SectionResult<S extends SectionName = SectionName> {
  readonly entries: EntriesOf<S>;
  readonly diagnostics: readonly DocumentDiagnostic[];
}

/** Parses and checks a whole document. */
export function parseDocument(source: string): ParseResult {
  return runSteps(parseDocumentSteps(source));
}

/** Parses and checks a whole document in pieces. `known` saves parsing what has not changed. */
export function* parseDocumentSteps(
  source: string,
  known: ConfigurationDocument = emptyDocument(),
): Steps<ParseResult> {
  if (source.length > DOCUMENT_BYTES_MAX) {
    const args = { limit: DOCUMENT_BYTES_MAX };
    return rejected([{ code: 'documentTooLarge', args, line: 1, column: 1 }]);
  }
  const { parts, diagnostics } = yield* splitDocumentSteps(source);
  const found = [...diagnostics];
  const sections: Partial<Record<SectionName, ReadonlyMap<string, Entry>>> = {};
  for (const part of parts) {
    const result = yield* parseSectionSteps(part.name, part.text, known[part.name]);
    sections[part.name] = result.entries;
    found.push(...result.diagnostics.map((diagnostic) => inDocument(diagnostic, part)));
  }
  if (found.length > 0) return rejected(found);
  const document = { ...emptyDocument(), ...sections } as ConfigurationDocument;
  const crossed = yield* checkDocument(document);
  if (crossed.length === 0) return { kind: 'document', document };
  return rejected(crossed.map((diagnostic) => locateInDocument(diagnostic, parts)));
}

function rejected(diagnostics: readonly DocumentDiagnostic[]): ParseResult {
  return { kind: 'diagnostics', diagnostics: diagnostics.slice(0, DIAGNOSTICS_MAX) };
}

/** Parses one section, its entries beginning in the first column. */
export function* parseSectionSteps<S extends SectionName>(
  section: S,
  source: string,
  known: ReadonlyMap<string, Entry> = new Map(),
): Steps<SectionResult<S>> {
  const split = yield* splitSectionSteps(section, source);
  const diagnostics: DocumentDiagnostic[] = split.diagnostics.map((diagnostic) => ({
    ...diagnostic,
    section,
  }));
  const entries = new Map<string, Entry>();
  for (const part of split.parts) {
    if (diagnostics.length >= DIAGNOSTICS_MAX) break;
    const reused = known.get(part.key);
    if (reused?.text === part.text) {
      entries.set(part.key, reused);
      yield REUSED_ENTRY_WORK;
    } else {
      const result = parseEntry(section, part);
      if (result.kind === 'entry') entries.set(part.key, result.entry);
      else diagnostics.push(...result.diagnostics.map((d) => inSection(d, part)));
      yield 1;
    }
  }
  return { entries: entries as unknown as EntriesOf<S>, diagnostics };
}

function inSection(diagnostic: DocumentDiagnostic, part: EntrySource): DocumentDiagnostic {
  return { ...diagnostic, line: diagnostic.line + part.line };
}

function inDocument(diagnostic: DocumentDiagnostic, part: SectionSource): DocumentDiagnostic {
  return {
    ...diagnostic,
    line: diagnostic.line + part.line,
    column: diagnostic.column + part.column,
  };
}

/** Gives a finding of the checks across sections the place of its entry. */
function locateInDocument(
  diagnostic: DocumentDiagnostic,
  parts: readonly SectionSource[],
): DocumentDiagnostic {
  const part = parts.find(({ name }) => name === diagnostic.section);
  if (part === undefined) return diagnostic;
  return inDocument(locateInSection(diagnostic, part.name, part.text), part);
}

/** As above, for the source of one section. */
export function locateInSection(
  diagnostic: DocumentDiagnostic,
  section: SectionName,
  source: string,
): DocumentDiagnostic {
  const entry = splitSection(section, source).parts.find(({ key }) => key === diagnostic.key);
  if (entry === undefined) return { ...diagnostic, line: 1, column: 1 };
  const comments = entry.text.split('\n').findIndex((line) => !/^\s*(#|$)/.test(line));
  return { ...diagnostic, line: entry.line + Math.max(comments, 0) + 1, column: 1 };
}

/** Source of a section as it is published, one entry after another. */
export function sectionText(entries: ReadonlyMap<string, Entry>): string {
  return [...entries.values()].map((entry) => entry.text).join('');
}

/** Source of a whole document. */
export function documentText(document: ConfigurationDocument): string {
  return SECTION_NAMES.filter((name) => document[name].size > 0)
    .map((name) => `${name}:\n${indent(sectionText(document[name]))}`)
    .join('\n');
}

function indent(text: string): string {
  return text.replace(/^(?=.)/gm, '  ');
}

/** One line for a finding, `line:column code: text`. */
export function formatDocumentDiagnostic(diagnostic: DocumentDiagnostic): string {
  const place = diagnostic.line > 0 ? `${diagnostic.line}:${diagnostic.column}: ` : '';
  const where = diagnostic.section === undefined ? '' : `${diagnostic.section}: `;
  return `${place}${where}${formatDiagnostic(diagnostic.code, diagnostic.args)}`;
}
