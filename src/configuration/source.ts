/**
 * Splits the source of a document into sections and that of a section into entries, by lines that
 * begin in the first column. In YAML's block style every other line belongs to the entry before it,
 * so each entry can be parsed by itself and a change of one entry costs the parsing of one.
 */
import { parseDocument, stringify } from 'yaml';
import { ENTRY_BYTES_MAX, ENTRIES_MAX, SECTION_BYTES_MAX } from './bounds.js';
import { nearestName } from './nearest.js';
import { ID_PATTERN } from './schema.js';
import {
  isSectionName,
  runSteps,
  SECTION_NAMES,
  type DocumentDiagnostic,
  type SectionName,
  type Steps,
} from './types.js';

/** Source of one entry. */
export interface EntrySource {
  readonly key: string;
  readonly text: string;
  /** Line of the section's source on which `text` begins, from 0. */
  readonly line: number;
}

/** Source of one section, its entries in the first column. */
export interface SectionSource {
  readonly name: SectionName;
  readonly text: string;
  /** Line and column of the document at which `text` begins, from 0. */
  readonly line: number;
  readonly column: number;
}

export interface Split<T> {
  readonly parts: readonly T[];
  readonly diagnostics: readonly DocumentDiagnostic[];
}

const LINES_PER_STEP = 1_024;
/** Work of one such step, in units of parsing one entry. */
const STEP_WORK = 5;

const KEY_LINE = /^(["']?)([^\s"':#][^"':#]*?)\1\s*:(?:\s+(.*))?$/;
const IGNORED_LINE = /^\s*(#.*)?$/;
const DOCUMENT_START = /^---\s*$/;

/** Splits a document into its sections at once. */
export function splitDocument(source: string): Split<SectionSource> {
  return runSteps(splitDocumentSteps(source));
}

/** Splits a document into its sections, in pieces. */
export function* splitDocumentSteps(source: string): Steps<Split<SectionSource>> {
  const lines = yield* splitLinesSteps(source);
  const parts: SectionSource[] = [];
  const diagnostics: DocumentDiagnostic[] = [];
  const seen = new Set<string>();
  let index = 0;
  while (index < lines.length) {
    const line = lines[index] ?? '';
    const start = index;
    index += 1;
    if (IGNORED_LINE.test(line) || (start === 0 && DOCUMENT_START.test(line))) continue;
    const name = KEY_LINE.exec(line)?.[2];
    if (name === undefined) {
      diagnostics.push(at('notASection', start, 0));
      continue;
    }
    while (index < lines.length && !isTopLevel(lines[index] ?? '')) {
      index += 1;
      if (index % LINES_PER_STEP === 0) yield STEP_WORK;
    }
    if (!isSectionName(name)) {
      diagnostics.push(unknownSection(name, start));
    } else if (seen.has(name)) {
      diagnostics.push(at('duplicateKey', start, 0, { key: name }));
    } else {
      seen.add(name);
      parts.push(yield* sectionSteps(name, lines, start, index));
    }
  }
  return { parts, diagnostics };
}

function unknownSection(name: string, line: number): DocumentDiagnostic {
  const nearest = nearestName(name, SECTION_NAMES);
  return nearest === undefined
    ? at('unknownSection', line, 0, { section: name })
    : at('unknownSectionNear', line, 0, { section: name, nearest });
}

/** Splits at the ends of lines, in pieces. */
function* splitLinesSteps(source: string): Steps<readonly string[]> {
  const lines: string[] = [];
  let begin = 0;
  while (begin <= source.length) {
    const found = source.indexOf('\n', begin);
    const end = found < 0 ? source.length : found;
    lines.push(source.slice(begin, source[end - 1] === '\r' ? end - 1 : end));
    begin = end + 1;
    if (lines.length % LINES_PER_STEP === 0) yield STEP_WORK;
  }
  return lines;
}

/** Cuts the lines of one section out of a document and moves them to the first column. */
function* sectionSteps(
  name: SectionName,
  lines: readonly string[],
  start: number,
  end: number,
): Steps<SectionSource> {
  const rest = stripComment(KEY_LINE.exec(lines[start] ?? '')?.[3] ?? '');
  if (rest !== '') {
    const text = [rest, ...lines.slice(start + 1, end)].join('\n');
    return { name, text, line: start, column: 0 };
  }
  let indent: string | undefined;
  const moved: string[] = [];
  for (let i = start + 1; i < end; i += 1) {
    const line = lines[i] ?? '';
    if (indent === undefined && !IGNORED_LINE.test(line)) indent = /^\s*/.exec(line)?.[0];
    moved.push(moveLine(line, indent));
    if (i % LINES_PER_STEP === 0) yield STEP_WORK;
  }
  return { name, text: trimEnd(moved), line: start + 1, column: indent?.length ?? 0 };
}

/**
 * Removes the indent of a section. A line that is indented less is no part of the mapping: it is
 * marked so that it is reported as a malformed entry.
 */
function moveLine(line: string, indent: string | undefined): string {
  if (indent !== undefined && line.startsWith(indent)) return line.slice(indent.length);
  return IGNORED_LINE.test(line) ? line.trimStart() : `? ${line.trimStart()}`;
}

function trimEnd(lines: readonly string[]): string {
  const joined = lines.join('\n').trimEnd();
  return joined === '' ? '' : `${joined}\n`;
}

/** Splits a section into its entries at once. */
export function splitSection(section: SectionName, source: string): Split<EntrySource> {
  return runSteps(splitSectionSteps(section, source));
}

/** Splits a section into its entries, in pieces. Comments before an entry belong to it. */
export function* splitSectionSteps(
  section: SectionName,
  source: string,
): Steps<Split<EntrySource>> {
  if (source.length > SECTION_BYTES_MAX) {
    const args = { section, limit: SECTION_BYTES_MAX };
    return { parts: [], diagnostics: [at('sectionTooLarge', 0, 0, args)] };
  }
  if (/^[{[]/.test(source.trimStart())) return splitFlowSection(section, source);
  const lines = yield* splitLinesSteps(source);
  const diagnostics: DocumentDiagnostic[] = [];
  const parts: EntrySource[] = [];
  const seen = new Set<string>();
  let start = 0;
  let key: string | undefined;
  let commentStart: number | undefined;
  const close = (end: number) => {
    if (key === undefined) return;
    if (seen.has(key)) diagnostics.push(at('duplicateKey', start, 0, { key }));
    seen.add(key);
    parts.push({ key, text: entryText(lines.slice(start, end)), line: start });
  };
  for (let i = 0; i < lines.length; i += 1) {
    if (i % LINES_PER_STEP === 0) yield STEP_WORK;
    const line = lines[i] ?? '';
    if (IGNORED_LINE.test(line)) {
      if (line.startsWith('#')) commentStart ??= i;
    } else if (isTopLevel(line)) {
      const next = KEY_LINE.exec(line)?.[2];
      if (next === undefined || !ID_PATTERN.test(next)) {
        diagnostics.push(at('notAnEntry', i, 0, { section }));
      } else {
        const begin = commentStart ?? i;
        close(begin);
        key = next;
        start = begin;
      }
      commentStart = undefined;
    } else {
      if (key === undefined) diagnostics.push(at('notAnEntry', i, 0, { section }));
      commentStart = undefined;
    }
  }
  close(lines.length);
  if (parts.length > ENTRIES_MAX) {
    diagnostics.push(at('tooManyEntries', 0, 0, { section, limit: ENTRIES_MAX }));
  }
  return { parts, diagnostics };
}

/** A section in flow style (`{...}`); it is brought into block style, entry by entry. */
function splitFlowSection(section: SectionName, source: string): Split<EntrySource> {
  const tooLarge = source.length > ENTRY_BYTES_MAX || exceedsFlowDepth(source);
  if (tooLarge) return { parts: [], diagnostics: [at('flowSectionTooLarge', 0, 0, { section })] };
  const doc = parseDocument(source, { schema: 'core', logLevel: 'silent' });
  const value: unknown = doc.errors.length === 0 ? doc.toJS({ maxAliasCount: 0 }) : undefined;
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return { parts: [], diagnostics: [at('notAnEntry', 0, 0, { section })] };
  }
  const parts = Object.entries(value).map(([key, item], line) => ({
    key,
    text: stringify({ [key]: item as unknown }),
    line,
  }));
  const wrong = parts.filter((part) => !ID_PATTERN.test(part.key));
  return { parts, diagnostics: wrong.map(() => at('notAnEntry', 0, 0, { section })) };
}

/** Nesting of brackets and of compact sequences, counted without regard to quotes. */
export function exceedsFlowDepth(source: string, limit = 16): boolean {
  let depth = 0;
  for (const char of source) {
    if (char === '[' || char === '{') depth += 1;
    else if (char === ']' || char === '}') depth = Math.max(0, depth - 1);
    if (depth > limit) return true;
  }
  return /(?:[-?][ \t]+){16}/.test(source);
}

function entryText(lines: readonly string[]): string {
  return `${lines.join('\n').trimEnd()}\n`;
}

function isTopLevel(line: string): boolean {
  return line !== '' && !/^[\s#]/.test(line);
}

function stripComment(text: string): string {
  return text.startsWith('#') ? '' : text.trim();
}

function at(
  code: DocumentDiagnostic['code'],
  line: number,
  column: number,
  args: DocumentDiagnostic['args'] = {},
): DocumentDiagnostic {
  return { code, args, line: line + 1, column: column + 1 };
}
