/**
 * Parses one entry of a section: size limits, YAML and schema. The result depends only on the
 * section and the entry's source.
 */
import { isMap, LineCounter, parseDocument, type Document, type ParsedNode } from 'yaml';
import type { z } from 'zod';
import { MAX_ALIASES, MAX_ENTRY_LENGTH } from './bounds.js';
import { nearestName } from './nearest.js';
import { fieldNamesOf, fixedKeysOf, schemaOf } from './schema.js';
import { exceedsMaxNesting, type EntrySource } from './source.js';
import type { DocumentDiagnostic, Entry, SectionName } from './types.js';

export type EntryResult =
  | { readonly kind: 'entry'; readonly entry: Entry }
  | { readonly kind: 'diagnostics'; readonly diagnostics: readonly DocumentDiagnostic[] };

/** The YAML syntax tree of an entry, with what is needed to position diagnostics in it. */
interface ParsedEntry {
  readonly section: SectionName;
  readonly key: string;
  readonly doc: Document<ParsedNode>;
  readonly lines: LineCounter;
}

/** Parses an entry. Lines in its diagnostics are 1-based and relative to the entry's text. */
export function parseEntry(section: SectionName, source: EntrySource): EntryResult {
  const { key, text } = source;
  if (text.length > MAX_ENTRY_LENGTH) {
    return invalidEntry(section, key, 'entryTooLarge', { key, limit: MAX_ENTRY_LENGTH });
  }
  if (exceedsMaxNesting(text)) return invalidEntry(section, key, 'entryTooDeep', { key });
  const lines = new LineCounter();
  const doc = parseDocument(text, { lineCounter: lines, schema: 'core', logLevel: 'silent' });
  const [syntaxError] = [...doc.errors, ...doc.warnings];
  if (syntaxError !== undefined) return malformedYaml(section, key, syntaxError);
  return validateEntry({ section, key, doc, lines }, text);
}

function malformedYaml(
  section: SectionName,
  key: string,
  syntaxError: Document['errors'][number],
): EntryResult {
  const { line, col } = syntaxError.linePos?.[0] ?? { line: 1, col: 1 };
  const reason =
    syntaxError.message.split('\n')[0]?.replace(/ at line \d+, column \d+:?$/, '') ?? '';
  const diagnostic: DocumentDiagnostic = {
    code: 'malformedYaml',
    args: { reason },
    section,
    key,
    line,
    column: col,
  };
  return { kind: 'diagnostics', diagnostics: [diagnostic] };
}

function validateEntry(entry: ParsedEntry, text: string): EntryResult {
  const { section, key, doc } = entry;
  if (!isMap(doc.contents) || doc.contents.items.length !== 1) {
    return invalidEntry(section, key, 'notAnEntry', { section });
  }
  const raw = expandAliases(doc);
  if (raw.kind !== 'value') {
    const reason = 'an alias has no anchor in its entry';
    return raw.kind === 'excessive'
      ? invalidEntry(section, key, 'tooManyAliases', { key, limit: MAX_ALIASES })
      : invalidEntry(section, key, 'malformedYaml', { reason });
  }
  const schema = schemaOf(section, key);
  if (schema === undefined) {
    return { kind: 'diagnostics', diagnostics: [unknownField(entry, [], key)] };
  }
  const parsed = schema.safeParse(raw.value[key]);
  if (parsed.success) return { kind: 'entry', entry: { key, text, value: parsed.data } };
  const diagnostics = parsed.error.issues.flatMap((issue) => describeIssue(entry, issue));
  return { kind: 'diagnostics', diagnostics };
}

type ExpansionResult =
  | { readonly kind: 'value'; readonly value: Readonly<Record<string, unknown>> }
  | { readonly kind: 'unresolved' | 'excessive' };

/** Converts an entry to plain data with its aliases expanded. */
function expandAliases(doc: Document<ParsedNode>): ExpansionResult {
  try {
    const value = doc.toJS({ maxAliasCount: MAX_ALIASES }) as Readonly<Record<string, unknown>>;
    return { kind: 'value', value };
  } catch (err) {
    if (!(err instanceof ReferenceError)) throw err;
    return { kind: err.message.startsWith('Excessive') ? 'excessive' : 'unresolved' };
  }
}

function describeIssue(entry: ParsedEntry, issue: z.core.$ZodIssue): readonly DocumentDiagnostic[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((field) => unknownField(entry, [...issue.path, field], field));
  }
  const path = [entry.key, ...issue.path].map(String);
  const field = path.join('.');
  const isMissing = entry.doc.getIn(path, true) === undefined;
  if (isMissing) return [diagnosticAt(entry, issue.path, 'missingField', { field })];
  return [diagnosticAt(entry, issue.path, 'invalidValue', { field, reason: issue.message })];
}

function unknownField(
  entry: ParsedEntry,
  path: readonly PropertyKey[],
  field: string,
): DocumentDiagnostic {
  const known = fixedKeysOf(entry.section) ?? fieldNamesOf(entry.section);
  const nearest = nearestName(field, known);
  return nearest === undefined
    ? diagnosticAt(entry, path, 'unknownField', { field })
    : diagnosticAt(entry, path, 'unknownFieldNear', { field, nearest });
}

/** Creates a diagnostic positioned at the deepest existing node on `path`. */
function diagnosticAt(
  entry: ParsedEntry,
  path: readonly PropertyKey[],
  code: DocumentDiagnostic['code'],
  args: DocumentDiagnostic['args'],
): DocumentDiagnostic {
  const { line, col } = positionOf(entry, [entry.key, ...path].map(String));
  return { code, args, section: entry.section, key: entry.key, line, column: col };
}

function positionOf(entry: ParsedEntry, path: readonly string[]) {
  let offset = 0;
  let node: unknown = entry.doc.contents;
  for (const name of path) {
    const next = childOf(node, name);
    if (next === undefined) break;
    offset = next.offset ?? offset;
    node = next.node;
  }
  return entry.lines.linePos(offset);
}

/** Returns the child of a node under `name` with the offset of its key, or of the sequence item. */
function childOf(node: unknown, name: string): { offset?: number; node: unknown } | undefined {
  if (isMap(node)) {
    const pair = node.items.find((item) => String(item.key) === name);
    const offset = (pair?.key as ParsedNode | undefined)?.range?.[0];
    return pair && { ...(offset !== undefined && { offset }), node: pair.value };
  }
  const items = (node as { items?: readonly ParsedNode[] } | null)?.items;
  const item = items?.[Number(name)];
  const offset = item?.range?.[0];
  return item && { ...(offset !== undefined && { offset }), node: item };
}

function invalidEntry(
  section: SectionName,
  key: string,
  code: DocumentDiagnostic['code'],
  args: DocumentDiagnostic['args'],
): EntryResult {
  return { kind: 'diagnostics', diagnostics: [{ code, args, section, key, line: 1, column: 1 }] };
}
