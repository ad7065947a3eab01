/** Parses one entry of a section: YAML, bounds, schema. The result depends on the text alone. */
import { isMap, LineCounter, parseDocument, type Document, type ParsedNode } from 'yaml';
import type { z } from 'zod';
import { ALIASES_MAX, ENTRY_BYTES_MAX } from './bounds.js';
import { nearestName } from './nearest.js';
import { knownFieldsOf, fixedKeysOf, schemaOf } from './schema.js';
import { exceedsFlowDepth, type EntrySource } from './source.js';
import type { DocumentDiagnostic, Entry, SectionName } from './types.js';

export type EntryResult =
  | { readonly kind: 'entry'; readonly entry: Entry }
  | { readonly kind: 'diagnostics'; readonly diagnostics: readonly DocumentDiagnostic[] };

/** A place within an entry that findings can be attached to. */
interface EntryDocument {
  readonly section: SectionName;
  readonly key: string;
  readonly doc: Document<ParsedNode>;
  readonly lines: LineCounter;
}

/** Parses an entry. Lines of its diagnostics count from 1 within the entry's text. */
export function parseEntry(section: SectionName, source: EntrySource): EntryResult {
  const { key, text } = source;
  if (text.length > ENTRY_BYTES_MAX) {
    return failed(section, key, 'entryTooLarge', { key, limit: ENTRY_BYTES_MAX });
  }
  if (exceedsFlowDepth(text)) return failed(section, key, 'entryTooDeep', { key });
  const lines = new LineCounter();
  const doc = parseDocument(text, { lineCounter: lines, schema: 'core', logLevel: 'silent' });
  const [problem] = [...doc.errors, ...doc.warnings];
  if (problem !== undefined) return malformed(section, key, problem);
  return readValue({ section, key, doc, lines }, text);
}

function malformed(
  section: SectionName,
  key: string,
  problem: Document['errors'][number],
): EntryResult {
  const { line, col } = problem.linePos?.[0] ?? { line: 1, col: 1 };
  const reason = problem.message.split('\n')[0]?.replace(/ at line \d+, column \d+:?$/, '') ?? '';
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

function readValue(place: EntryDocument, text: string): EntryResult {
  const { section, key, doc } = place;
  if (!isMap(doc.contents) || doc.contents.items.length !== 1) {
    return failed(section, key, 'notAnEntry', { section });
  }
  const raw = toPlainValue(doc);
  if (raw.kind !== 'value') {
    const reason = 'an alias has no anchor in its entry';
    return raw.kind === 'excessive'
      ? failed(section, key, 'tooManyAliases', { key, limit: ALIASES_MAX })
      : failed(section, key, 'malformedYaml', { reason });
  }
  const schema = schemaOf(section, key);
  if (schema === undefined) {
    return { kind: 'diagnostics', diagnostics: [unknownField(place, [], key)] };
  }
  const parsed = schema.safeParse(raw.value[key]);
  if (parsed.success) return { kind: 'entry', entry: { key, text, value: parsed.data } };
  const diagnostics = parsed.error.issues.flatMap((issue) => describeIssue(place, issue));
  return { kind: 'diagnostics', diagnostics };
}

type PlainValue =
  | { readonly kind: 'value'; readonly value: Readonly<Record<string, unknown>> }
  | { readonly kind: 'unresolved' | 'excessive' };

/** Expands the aliases of an entry. */
function toPlainValue(doc: Document<ParsedNode>): PlainValue {
  try {
    const value = doc.toJS({ maxAliasCount: ALIASES_MAX }) as Readonly<Record<string, unknown>>;
    return { kind: 'value', value };
  } catch (err) {
    if (!(err instanceof ReferenceError)) throw err;
    return { kind: err.message.startsWith('Excessive') ? 'excessive' : 'unresolved' };
  }
}

function describeIssue(
  place: EntryDocument,
  issue: z.core.$ZodIssue,
): readonly DocumentDiagnostic[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((field) => unknownField(place, [...issue.path, field], field));
  }
  const path = [place.key, ...issue.path].map(String);
  const field = path.join('.');
  const isMissing = place.doc.getIn(path, true) === undefined;
  if (isMissing) return [at(place, issue.path, 'missingField', { field })];
  return [at(place, issue.path, 'invalidValue', { field, reason: issue.message })];
}

function unknownField(
  place: EntryDocument,
  path: readonly PropertyKey[],
  field: string,
): DocumentDiagnostic {
  const known = fixedKeysOf(place.section) ?? knownFieldsOf(place.section);
  const nearest = nearestName(field, known);
  return nearest === undefined
    ? at(place, path, 'unknownField', { field })
    : at(place, path, 'unknownFieldNear', { field, nearest });
}

/** Attaches a finding to the deepest node on `path` that exists. */
function at(
  place: EntryDocument,
  path: readonly PropertyKey[],
  code: DocumentDiagnostic['code'],
  args: DocumentDiagnostic['args'],
): DocumentDiagnostic {
  const { line, col } = positionOf(place, [place.key, ...path].map(String));
  return { code, args, section: place.section, key: place.key, line, column: col };
}

function positionOf(place: EntryDocument, path: readonly string[]) {
  let offset = 0;
  let node: unknown = place.doc.contents;
  for (const name of path) {
    const next = childOf(node, name);
    if (next === undefined) break;
    offset = next.offset ?? offset;
    node = next.node;
  }
  return place.lines.linePos(offset);
}

/** The child of a node under `name`, and the offset of its key, or of the child in a sequence. */
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

function failed(
  section: SectionName,
  key: string,
  code: DocumentDiagnostic['code'],
  args: DocumentDiagnostic['args'],
): EntryResult {
  return { kind: 'diagnostics', diagnostics: [{ code, args, section, key, line: 1, column: 1 }] };
}
