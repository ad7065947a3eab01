/**
 * Records of the streams `configuration` (edits and notes of checkpoints) and
 * `configuration-checkpoints` (parts of checkpoints). Every record is one JSON text.
 */
import { z } from 'zod';
import {
  isSectionName,
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

const changeSchema = z.object({
  section: z.enum(SECTION_NAMES),
  set: z.record(z.string(), z.string()),
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
    changes: z.array(changeSchema).max(SECTION_NAMES.length),
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

export function encodeRecord(record: EditRecord | CheckpointNote): string {
  return JSON.stringify(record);
}

export function decodeRecord(data: string): ConfigurationRecord {
  const value = parseJson(data);
  if (typeof value !== 'object' || value === null) return { kind: 'malformed' };
  const { schemaVersion } = value as { schemaVersion?: unknown };
  if (typeof schemaVersion === 'number' && schemaVersion > SCHEMA_VERSION) {
    return { kind: 'newer', schemaVersion };
  }
  const parsed = recordSchema.safeParse(value);
  if (!parsed.success) return { kind: 'malformed' };
  const record = parsed.data;
  if (record.kind === 'edit') {
    const sections = new Set(record.changes.map((change) => change.section));
    if (sections.size !== record.changes.length) return { kind: 'malformed' };
  }
  return record;
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
