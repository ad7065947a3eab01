/**
 * Encodes and decodes the records of the `configuration` stream: edits and checkpoint notes. The
 * parts of checkpoints are in the stream `configuration-checkpoints`; see checkpoint.ts. A checkpoint
 * note is a single JSON text. An edit is a sequence of JSON texts, one per line.
 */
import * as z from 'zod';
import {
  isSectionName,
  runSteps,
  SECTION_NAMES,
  type SectionName,
  type Steps,
} from '../../configuration/types.js';
import type { Millis } from '../clock.js';
import { createHmac } from '../sha256.js';
import type { KeyHash } from '../types.js';

export const CONFIGURATION_STREAM = 'configuration';
export const CONFIGURATION_CHECKPOINT_STREAM = 'configuration-checkpoints';

/** Version of the document schema and of the rules of the fold. Records of a newer version stop the fold. */
export const SCHEMA_VERSION = 1;

/** Changes of one section: source texts of the entries that are set, by key, and the removed keys. */
export interface SectionChange {
  readonly section: SectionName;
  readonly set: Readonly<Record<string, string>>;
  readonly remove: readonly string[];
}

/** Content of an edit, without its proof. */
export interface EditContent {
  readonly editId: string;
  /** Version on which the author based the edit. */
  readonly baseVersion: number;
  readonly author: string;
  readonly team: string;
  /** Time at the instance that received the edit; for information only. */
  readonly at: Millis;
  readonly changes: readonly SectionChange[];
}

export interface EditRecord extends EditContent {
  readonly kind: 'edit';
  readonly schemaVersion: number;
  /** HMAC of the content, keyed with the stored hash of the author's key. */
  readonly proof: string;
}

/** Announces that all parts of a checkpoint have been appended. */
export interface CheckpointNote {
  readonly kind: 'checkpoint';
  readonly schemaVersion: number;
  readonly id: string;
  /** The checkpoint includes all records before this offset. */
  readonly through: number;
  /** Offset of the first part in the checkpoint stream. */
  readonly offset: number;
}

/** A decoded record. */
export type ConfigurationRecord =
  | EditRecord
  | CheckpointNote
  /** Has a newer schema version; the fold must stop here rather than skip it. */
  | { readonly kind: 'newer'; readonly schemaVersion: number }
  | { readonly kind: 'malformed' };

const idSchema = z.string().min(1).max(128);
const offsetSchema = z.int().min(-1);

const LINES_PER_STEP = 256;
/** Work of encoding or decoding LINES_PER_STEP lines, in units of parsing one entry. */
const LINES_WORK = 4;

const changeHeadSchema = z.object({
  section: z.enum(SECTION_NAMES),
  remove: z.array(z.string()),
});

const recordSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('edit'),
    schemaVersion: z.int(),
    editId: idSchema,
    baseVersion: offsetSchema,
    author: z.string().max(256),
    team: z.string().max(128),
    at: z.number(),
    proof: z.string(),
  }),
  z.object({
    kind: z.literal('checkpoint'),
    schemaVersion: z.int(),
    id: idSchema,
    through: offsetSchema,
    offset: offsetSchema,
  }),
]);

/** Encodes a checkpoint note. */
export function encodeCheckpointNote(note: CheckpointNote): string {
  return JSON.stringify(note);
}

/** Encodes an edit without interruption. */
export function encodeEdit(record: EditRecord): string {
  return runSteps(encodeEditSteps(record));
}

/**
 * Encodes an edit incrementally. The first line is a JSON object with all fields but the changes. For
 * each change, a line `{"section":..,"remove":[..]}` follows, then a line `[key,text]` for each entry
 * that is set, so that a long record can be read and written line by line.
 */
export function* encodeEditSteps(record: EditRecord): Steps<string> {
  const { changes, ...head } = record;
  const lines = [JSON.stringify(head)];
  for (const { section, set, remove } of changes) {
    lines.push(JSON.stringify({ section, remove }));
    for (const [key, text] of Object.entries(set)) {
      lines.push(JSON.stringify([key, text]));
      if (lines.length % LINES_PER_STEP === 0) yield LINES_WORK;
    }
  }
  yield lines.length / LINES_PER_STEP;
  return lines.join('\n');
}

/** Decodes a record without interruption. */
export function decodeRecord(data: string): ConfigurationRecord {
  return runSteps(decodeRecordSteps(data));
}

/** Decodes a record incrementally, because an edit may set thousands of entries. */
export function* decodeRecordSteps(data: string): Steps<ConfigurationRecord> {
  const end = data.indexOf('\n');
  const value = parseJson(end < 0 ? data : data.slice(0, end));
  if (typeof value !== 'object' || value === null) return { kind: 'malformed' };
  const { schemaVersion } = value as { schemaVersion?: unknown };
  if (typeof schemaVersion === 'number' && schemaVersion > SCHEMA_VERSION) {
    return { kind: 'newer', schemaVersion };
  }
  const parsed = recordSchema.safeParse(value);
  if (!parsed.success) return { kind: 'malformed' };
  if (parsed.data.kind === 'checkpoint') return parsed.data;
  const changes = yield* decodeChangesSteps(data, end);
  return changes === undefined ? { kind: 'malformed' } : { ...parsed.data, changes };
}

interface MutableChange {
  readonly section: SectionName;
  readonly set: Record<string, string>;
  readonly remove: readonly string[];
}

/** Decodes the lines after the head; returns `undefined` if one is malformed or a section occurs twice. */
function* decodeChangesSteps(
  data: string,
  headEnd: number,
): Steps<readonly SectionChange[] | undefined> {
  const changes: MutableChange[] = [];
  let end = headEnd;
  let lines = 0;
  while (end >= 0) {
    const start = end + 1;
    end = data.indexOf('\n', start);
    const value = parseJson(data.slice(start, end < 0 ? data.length : end));
    if (Array.isArray(value)) {
      const [key, text] = value as readonly unknown[];
      const change = changes.at(-1);
      const isEntry = typeof key === 'string' && typeof text === 'string';
      if (change === undefined || !isEntry) return undefined;
      change.set[key] = text;
    } else {
      const change = changeHeadSchema.safeParse(value);
      if (!change.success) return undefined;
      const { section, remove } = change.data;
      if (changes.some((earlier) => earlier.section === section)) return undefined;
      changes.push({ section, set: {}, remove });
    }
    lines += 1;
    if (lines % LINES_PER_STEP === 0) yield LINES_WORK;
  }
  return changes;
}

/** Parses JSON; returns `undefined` for invalid text. */
export function parseJson(data: string): unknown {
  try {
    return JSON.parse(data) as unknown;
  } catch {
    return undefined;
  }
}

/** Work of hashing one entry, in units of parsing one. */
const HASH_WORK = 0.05;

/**
 * Computes the proof of an edit: an HMAC keyed with the stored hash of the author's key. Anyone who
 * can read the configuration could compute it too. It therefore binds an edit to a team against
 * mistakes and against writers that cannot read the log, but not against a writer that can both read
 * and write it.
 */
export function* proofSteps(keyHash: KeyHash, content: EditContent): Steps<string> {
  const { editId, baseVersion, author, team, at, changes } = content;
  const hmac = createHmac(keyHash);
  hmac.update(JSON.stringify([SCHEMA_VERSION, editId, baseVersion, author, team, at]));
  for (const change of changes) {
    hmac.update(JSON.stringify([change.section, change.remove]));
    for (const [key, text] of Object.entries(change.set)) {
      hmac.update(JSON.stringify([key, text]));
      yield HASH_WORK;
    }
  }
  return hmac.digest();
}

/** Returns the sections that an edit changes. */
export function sectionsOf(content: Pick<EditContent, 'changes'>): readonly SectionName[] {
  return content.changes.map((change) => change.section).filter(isSectionName);
}

/** Returns the keys that a change sets or removes. */
export function changedKeys(change: SectionChange): readonly string[] {
  return [...Object.keys(change.set), ...change.remove];
}
