/**
 * Parses and validates the settings file of an instance (YAML) before anything starts. Each
 * diagnostic has a line and a column and, for an unknown key, a spelling suggestion.
 */
import {
  isMap,
  isScalar,
  LineCounter,
  parseDocument,
  visit,
  type Alias,
  type Document,
  type Node,
} from 'yaml';
import * as z from 'zod';
import {
  diagnostics,
  formatDiagnostic,
  type DiagnosticArgs,
  type DiagnosticCode,
} from '../core/diagnostics.js';
import { nearestName } from './nearest.js';
import { settingsSchema, type Settings } from './settingsSchema.js';

export type { Settings } from './settingsSchema.js';

/** A diagnostic for a settings file; line and column are 1-based. */
export interface SettingsDiagnostic {
  readonly code: DiagnosticCode;
  readonly args: DiagnosticArgs;
  readonly line: number;
  readonly column: number;
}

export type SettingsResult =
  | { readonly kind: 'settings'; readonly settings: Settings }
  | { readonly kind: 'invalid'; readonly diagnostics: readonly SettingsDiagnostic[] };

type Path = readonly PropertyKey[];

interface SettingsSource {
  readonly doc: Document;
  readonly lines: LineCounter;
}

/** Parses and checks settings. */
export function parseSettings(text: string): SettingsResult {
  const lines = new LineCounter();
  const doc = parseDocument(text, { lineCounter: lines, schema: 'core', logLevel: 'silent' });
  const errors = [...doc.errors, ...doc.warnings];
  if (errors.length > 0) return { kind: 'invalid', diagnostics: errors.map(syntaxDiagnostic) };
  const alias = findAlias(doc);
  if (alias !== undefined) return { kind: 'invalid', diagnostics: [aliasDiagnostic(lines, alias)] };
  const value: unknown = doc.toJS() ?? {};
  const result = settingsSchema.safeParse(value);
  if (result.success) return { kind: 'settings', settings: result.data };
  const source = { doc, lines };
  const found = result.error.issues.flatMap((issue) => issueDiagnostics(source, issue));
  return { kind: 'invalid', diagnostics: found.sort(byPosition) };
}

/** Formats a diagnostic as `file:line:column: error 3003: text`. */
export function formatSettingsDiagnostic(file: string, diagnostic: SettingsDiagnostic): string {
  const { code, args, line, column } = diagnostic;
  const { category, code: number } = diagnostics[code];
  return `${file}:${line}:${column}: ${category} ${number}: ${formatDiagnostic(code, args)}`;
}

function byPosition(a: SettingsDiagnostic, b: SettingsDiagnostic): number {
  return a.line - b.line || a.column - b.column;
}

function syntaxDiagnostic(err: Document['errors'][number]): SettingsDiagnostic {
  const { line, col } = err.linePos?.[0] ?? { line: 1, col: 1 };
  if (err.code === 'DUPLICATE_KEY') {
    return { code: 'duplicateSetting', args: {}, line, column: col };
  }
  const reason = err.message.split('\n')[0]?.replace(/ at line \d+, column \d+:?$/, '') ?? '';
  return { code: 'settingsMalformed', args: { reason }, line, column: col };
}

/** Finds the first alias. Aliases are rejected because they can expand a small file without bound. */
function findAlias(doc: Document): Alias | undefined {
  let found: Alias | undefined;
  visit(doc, {
    Alias: (_key, node) => {
      found = node;
      return visit.BREAK;
    },
  });
  return found;
}

function aliasDiagnostic(lines: LineCounter, alias: Alias): SettingsDiagnostic {
  const args = { reason: 'Aliases are not allowed.' };
  return { code: 'settingsMalformed', args, ...positionAt(lines, alias.range?.[0] ?? 0) };
}

function issueDiagnostics(
  source: SettingsSource,
  issue: z.core.$ZodIssue,
): readonly SettingsDiagnostic[] {
  const { path } = issue;
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => unknownKeyDiagnostic(source, path, key));
  }
  const setting = path.map(String).join('.');
  if (nodeAt(source.doc, path) === undefined) {
    const code = path.length === 0 ? 'settingsMalformed' : 'missingSetting';
    const args = path.length === 0 ? { reason: issue.message } : { setting };
    return [{ code, args, ...positionOf(source, path.slice(0, -1)) }];
  }
  const args = { setting, reason: issue.message };
  return [{ code: 'invalidSetting', args, ...positionOf(source, path) }];
}

function unknownKeyDiagnostic(source: SettingsSource, path: Path, key: string): SettingsDiagnostic {
  const nearest = nearestName(key, knownKeysAt(path));
  const position = positionOfKey(source, path, key);
  if (nearest === undefined) return { code: 'unknownSetting', args: { key }, ...position };
  return { code: 'unknownSettingNear', args: { key, nearest }, ...position };
}

/** Returns the keys that the schema allows at a path. */
function knownKeysAt(path: Path): readonly string[] {
  let type: unknown = settingsSchema;
  for (const key of path) type = shapeOf(type)?.[String(key)];
  return Object.keys(shapeOf(type) ?? {});
}

/** Returns the fields of an object schema, unwrapping pipes, defaults and optional types. */
function shapeOf(type: unknown): Readonly<Record<string, unknown>> | undefined {
  if (type instanceof z.ZodObject) return type.shape;
  if (type instanceof z.ZodPipe) return shapeOf(type.in);
  const isWrapper =
    type instanceof z.ZodOptional || type instanceof z.ZodDefault || type instanceof z.ZodPrefault;
  return isWrapper ? shapeOf(type.unwrap()) : undefined;
}

function nodeAt(doc: Document, path: Path): unknown {
  return path.length === 0 ? (doc.contents ?? undefined) : doc.getIn(path, true);
}

function positionOf(source: SettingsSource, path: Path) {
  const node = nodeAt(source.doc, path) as Node | undefined;
  return positionAt(source.lines, node?.range?.[0] ?? 0);
}

function positionOfKey(source: SettingsSource, path: Path, key: string) {
  const map = nodeAt(source.doc, path);
  const items = isMap(map) ? map.items : [];
  const pair = items.find((item) => isScalar(item.key) && String(item.key.value) === key);
  return positionAt(source.lines, (pair?.key as Node | undefined)?.range?.[0] ?? 0);
}

function positionAt(lines: LineCounter, offset: number) {
  const { line, col } = lines.linePos(offset);
  return { line: Math.max(1, line), column: Math.max(1, col) };
}
