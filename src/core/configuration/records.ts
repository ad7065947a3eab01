/**
 * Records of the streams `configuration` (edits and notes of checkpoints) and
 * `configuration-checkpoints` (parts of checkpoints). Every record is one JSON text.
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
export const CHECKPOINT_STREAM = 'configuration-checkpoints';

/** Version of the document's schema and of the fold's rules. A later one is not judged. */
export const SCHEMA_VERSION = 1;

/** Changes of one section: entries that are set, by key, and keys that are removed. */
export interface SectionChange {
  readonly section: SectionName;
  readonly set: Readonly<Record<string, string>>;
  readonly remove: readonly string[];
}

/** What an edit says, without its proof. */
export interface EditContent {
  readonly editId: string;
  /** Version that the author had read. */
  readonly baseVersion: number;
  readonly author: string;
  readonly team: string;
  /** Time of the instance that took the edit; information only. */
  readonly at: Millis;
  readonly changes: readonly SectionChange[];
}

export interface EditRecord extends EditContent {
  readonly kind: 'edit';
  readonly schemaVersion: number;
  /** HMAC of the content under the stored hash of the author's key. */
  readonly proof: string;
}

/** Says that a whole checkpoint has been appended. */
export interface CheckpointNote {
  readonly kind: 'checkpoint';
  readonly schemaVersion: number;
  readonly id: string;
  /** Records before this offset are in the checkpoint. */
  readonly through: number;
  /** Offset of its first part in the stream of checkpoints. */
  readonly offset: number;
}

/** A record as it was read. */
export type ConfigurationRecord =
  | EditRecord
  | CheckpointNote
  /** Written by a later program; it must not be passed over. */
  | { readonly kind: 'newer'; readonly schemaVersion: number }
  | { readonly kind: 'malformed' };

const id = z.string().min(1).max(128);
const offset = z.int().min(-1);

const LINES_PER_STEP = 256;
/** Work of encoding or decoding so many lines, in units of parsing one entry. */
const LINES_WORK = 4;

const changeSchema = z.object({
  section: z.enum(SECTION_NAMES),
  remove: z.array(z.string()),
});

const recordSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('edit'),
    schemaVersion: z.int(),
    editId: id,
    baseVersion: offset,
    author: z.string().max(256),
    team: z.string().max(128),
    at: z.number(),
    proof: z.string(),
  }),
  z.object({
    kind: z.literal('checkpoint'),
    schemaVersion: z.int(),
    id,
    through: offset,
    offset,
  }),
]);

/** Encodes a note of a checkpoint. */
export function encodeNote(note: CheckpointNote): string {
  return JSON.stringify(note);
}

/** Encodes an edit at once. */
export function encodeEdit(record: EditRecord): string {
  return runSteps(encodeEditSteps(record));
}

/**
 * Encodes an edit in pieces. Its first line is a JSON object with all but the changes; for each
 * change follow a line `{"section":..,"remove":[..]}` and a line `[key,text]` for each entry that is
 * set, so that a long record is read and written line by line.
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

/** Decodes a record at once. */
export function decodeRecord(data: string): ConfigurationRecord {
  return runSteps(decodeRecordSteps(data));
}

/** Decodes a record in pieces; an edit may set thousands of entries. */
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

/** Reads the lines behind the head; `undefined` if one is malformed or a section comes twice. */
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
      const change = changeSchema.safeParse(value);
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
 * Computes the proof of an edit: an HMAC under the stored hash of the author's key. Whoever can read
 * the configuration could compute it too, so it binds an edit to a team against mistakes and
 * against writers that cannot read the log, not against a writer that can do both.
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

/** Sections that an edit changes. */
export function sectionsOf(content: Pick<EditContent, 'changes'>): readonly SectionName[] {
  return content.changes.map((change) => change.section).filter(isSectionName);
}

/** Keys that a change touches. */
export function changedKeys(change: SectionChange): readonly string[] {
  return [...Object.keys(change.set), ...change.remove];
}
