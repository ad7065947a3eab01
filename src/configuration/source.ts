/**
 * Splits the source of a document into sections and that of a section into entries, at lines that
 * begin in the first column. In YAML block style every other line belongs to the preceding entry,
 * so entries can be parsed independently and changing one entry requires parsing only that entry.
 */
import { parseDocument, stringify } from 'yaml';
import { MAX_ENTRY_LENGTH, MAX_SECTION_ENTRIES, MAX_SECTION_LENGTH } from './bounds.js';
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

/** Source text and key of one entry. */
export interface EntrySource {
  readonly key: string;
  readonly text: string;
  /** Zero-based line of the section's source on which `text` begins. */
  readonly line: number;
}

/** Source of one section, dedented so that its entries begin in the first column. */
export interface SectionSource {
  readonly name: SectionName;
  readonly text: string;
  /** Zero-based line and column of the document at which `text` begins. */
  readonly line: number;
  readonly column: number;
}

export interface SplitResult<T> {
  readonly parts: readonly T[];
  readonly diagnostics: readonly DocumentDiagnostic[];
}

const LINES_PER_STEP = 1_024;
/** Cost of scanning `LINES_PER_STEP` lines, relative to parsing one entry. */
const STEP_COST = 5;

const KEY_LINE = /^(["']?)([^\s"':#][^"':#]*?)\1\s*:(?:\s+(.*))?$/;
const BLANK_OR_COMMENT_LINE = /^\s*(#.*)?$/;
const DOCUMENT_START = /^---\s*$/;

/** Splits a document into its sections. */
export function splitDocument(source: string): SplitResult<SectionSource> {
  return runSteps(splitDocumentSteps(source));
}

/** Splits a document into its sections incrementally. */
export function* splitDocumentSteps(source: string): Steps<SplitResult<SectionSource>> {
  const lines = yield* splitLinesSteps(source);
  const parts: SectionSource[] = [];
  const diagnostics: DocumentDiagnostic[] = [];
  const seen = new Set<string>();
  let index = 0;
  while (index < lines.length) {
    const line = lines[index] ?? '';
    const start = index;
    index += 1;
    if (BLANK_OR_COMMENT_LINE.test(line) || (start === 0 && DOCUMENT_START.test(line))) continue;
    const name = KEY_LINE.exec(line)?.[2];
    if (name === undefined) {
      diagnostics.push(diagnosticAt('notASection', start, 0));
      continue;
    }
    while (index < lines.length && !isTopLevel(lines[index] ?? '')) {
      index += 1;
      if (index % LINES_PER_STEP === 0) yield STEP_COST;
    }
    if (!isSectionName(name)) {
      diagnostics.push(unknownSection(name, start));
    } else if (seen.has(name)) {
      diagnostics.push(diagnosticAt('duplicateKey', start, 0, { key: name }));
    } else {
      seen.add(name);
      parts.push(yield* extractSectionSteps(name, lines, start, index));
    }
  }
  return { parts, diagnostics };
}

function unknownSection(name: string, line: number): DocumentDiagnostic {
  const nearest = nearestName(name, SECTION_NAMES);
  return nearest === undefined
    ? diagnosticAt('unknownSection', line, 0, { section: name })
    : diagnosticAt('unknownSectionNear', line, 0, { section: name, nearest });
}

/** Splits text into lines incrementally; accepts LF and CRLF. */
function* splitLinesSteps(source: string): Steps<readonly string[]> {
  const lines: string[] = [];
  let begin = 0;
  while (begin <= source.length) {
    const newline = source.indexOf('\n', begin);
    const end = newline < 0 ? source.length : newline;
    lines.push(source.slice(begin, source[end - 1] === '\r' ? end - 1 : end));
    begin = end + 1;
    if (lines.length % LINES_PER_STEP === 0) yield STEP_COST;
  }
  return lines;
}

/** Extracts the lines of one section from a document and dedents them. */
function* extractSectionSteps(
  name: SectionName,
  lines: readonly string[],
  start: number,
  end: number,
): Steps<SectionSource> {
  const inlineValue = stripComment(KEY_LINE.exec(lines[start] ?? '')?.[3] ?? '');
  if (inlineValue !== '') {
    const text = [inlineValue, ...lines.slice(start + 1, end)].join('\n');
    return { name, text, line: start, column: 0 };
  }
  let indent: string | undefined;
  const dedentedLines: string[] = [];
  for (let i = start + 1; i < end; i += 1) {
    const line = lines[i] ?? '';
    if (indent === undefined && !BLANK_OR_COMMENT_LINE.test(line)) indent = /^\s*/.exec(line)?.[0];
    dedentedLines.push(dedentLine(line, indent));
    if (i % LINES_PER_STEP === 0) yield STEP_COST;
  }
  return { name, text: joinTrimmed(dedentedLines), line: start + 1, column: indent?.length ?? 0 };
}

/**
 * Removes the indentation of a section from a line. A line with less indentation is not part of the
 * mapping; it is prefixed with `? ` so that it is reported as a malformed entry.
 */
function dedentLine(line: string, indent: string | undefined): string {
  if (indent !== undefined && line.startsWith(indent)) return line.slice(indent.length);
  return BLANK_OR_COMMENT_LINE.test(line) ? line.trimStart() : `? ${line.trimStart()}`;
}

function joinTrimmed(lines: readonly string[]): string {
  const joined = lines.join('\n').trimEnd();
  return joined === '' ? '' : `${joined}\n`;
}

/** Splits a section into its entries. */
export function splitSection(section: SectionName, source: string): SplitResult<EntrySource> {
  return runSteps(splitSectionSteps(section, source));
}

/** Splits a section into its entries incrementally. Comments before an entry belong to it. */
export function* splitSectionSteps(
  section: SectionName,
  source: string,
): Steps<SplitResult<EntrySource>> {
  if (source.length > MAX_SECTION_LENGTH) {
    const args = { section, limit: MAX_SECTION_LENGTH };
    return { parts: [], diagnostics: [diagnosticAt('sectionTooLarge', 0, 0, args)] };
  }
  if (/^[{[]/.test(source.trimStart())) return splitFlowSection(section, source);
  const lines = yield* splitLinesSteps(source);
  const diagnostics: DocumentDiagnostic[] = [];
  const parts: EntrySource[] = [];
  const seen = new Set<string>();
  let start = 0;
  let key: string | undefined;
  let commentStart: number | undefined;
  const finishEntry = (end: number) => {
    if (key === undefined) return;
    if (seen.has(key)) diagnostics.push(diagnosticAt('duplicateKey', start, 0, { key }));
    seen.add(key);
    parts.push({ key, text: entryText(lines.slice(start, end)), line: start });
  };
  for (let i = 0; i < lines.length; i += 1) {
    if (i % LINES_PER_STEP === 0) yield STEP_COST;
    const line = lines[i] ?? '';
    if (BLANK_OR_COMMENT_LINE.test(line)) {
      if (line.startsWith('#')) commentStart ??= i;
    } else if (isTopLevel(line)) {
      const next = KEY_LINE.exec(line)?.[2];
      if (next === undefined || !ID_PATTERN.test(next)) {
        diagnostics.push(diagnosticAt('notAnEntry', i, 0, { section }));
      } else {
        const begin = commentStart ?? i;
        finishEntry(begin);
        key = next;
        start = begin;
      }
      commentStart = undefined;
    } else {
      if (key === undefined) diagnostics.push(diagnosticAt('notAnEntry', i, 0, { section }));
      commentStart = undefined;
    }
  }
  finishEntry(lines.length);
  if (parts.length > MAX_SECTION_ENTRIES) {
    diagnostics.push(diagnosticAt('tooManyEntries', 0, 0, { section, limit: MAX_SECTION_ENTRIES }));
  }
  return { parts, diagnostics };
}

/** Splits a section in flow style (`{...}`), converting each entry to block style. */
function splitFlowSection(section: SectionName, source: string): SplitResult<EntrySource> {
  const tooLarge = source.length > MAX_ENTRY_LENGTH || exceedsMaxNesting(source);
  if (tooLarge)
    return { parts: [], diagnostics: [diagnosticAt('flowSectionTooLarge', 0, 0, { section })] };
  const doc = parseDocument(source, { schema: 'core', logLevel: 'silent' });
  const value: unknown = doc.errors.length === 0 ? doc.toJS({ maxAliasCount: 0 }) : undefined;
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return { parts: [], diagnostics: [diagnosticAt('notAnEntry', 0, 0, { section })] };
  }
  const parts = Object.entries(value).map(([key, item], line) => ({
    key,
    text: stringify({ [key]: item as unknown }),
    line,
  }));
  const invalidParts = parts.filter((part) => !ID_PATTERN.test(part.key));
  return {
    parts,
    diagnostics: invalidParts.map(() => diagnosticAt('notAnEntry', 0, 0, { section })),
  };
}

/**
 * Whether brackets or compact sequences are nested too deeply. Quotes are not taken into account, so
 * brackets within strings count as well.
 */
export function exceedsMaxNesting(source: string, limit = 16): boolean {
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

function diagnosticAt(
  code: DocumentDiagnostic['code'],
  line: number,
  column: number,
  args: DocumentDiagnostic['args'] = {},
): DocumentDiagnostic {
  return { code, args, line: line + 1, column: column + 1 };
}
