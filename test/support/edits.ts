/** Creates configuration edits for tests. */
import { sha256Hex } from '../../src/core/sha256.js';
import {
  encodeEdit,
  proofSteps,
  SCHEMA_VERSION,
  type EditContent,
  type SectionChange,
} from '../../src/core/configuration/records.js';
import { splitDocument, splitSection } from '../../src/configuration/source.js';
import { runSteps, SECTION_NAMES } from '../../src/configuration/types.js';

export const PLATFORM_KEY = 'platform-secret';
export const ACCOUNTS_KEY = 'accounts-secret';
export const PLATFORM_HASH = sha256Hex(PLATFORM_KEY);
export const ACCOUNTS_HASH = sha256Hex(ACCOUNTS_KEY);

const platformSections = SECTION_NAMES.filter(
  (name) => name !== 'customers' && name !== 'entitlements',
);

/** A document with two teams, two customers, one pool and one upstream. */
export const BASE_DOCUMENT = `teams:
  platform:
    keyHashes: [${PLATFORM_HASH}]
    sections: [${platformSections.join(', ')}]
  accounts:
    keyHashes: [${ACCOUNTS_HASH}]
    sections: [customers, entitlements]
customers:
  c1: { keyHashes: [${sha256Hex('caller-1')}] }
  c2: { keyHashes: [${sha256Hex('caller-2')}] }
pools:
  chat: { kind: model }
upstreams:
  e1: { pool: chat, url: 'http://127.0.0.1:9', domain: d1, region: r1, slots: 2 }
`;

/** Returns the changes that publish the base document. */
export function baseChanges(): SectionChange[] {
  return splitDocument(BASE_DOCUMENT).parts.map(({ name, text }) => ({
    section: name,
    set: Object.fromEntries(splitSection(name, text).parts.map((part) => [part.key, part.text])),
    remove: [],
  }));
}

/** Returns a change that plans a stop of the upstream `key`. */
export function plannedStopChange(key: string, reason = 'r'): SectionChange {
  return { section: 'plannedStops', set: { [key]: `${key}: { reason: ${reason} }\n` }, remove: [] };
}

export interface EditOptions {
  readonly team?: string;
  readonly keyHash?: string;
  readonly at?: number;
}

/** Returns the encoded log record of an edit, with a proof derived from the key hash of its team. */
export function editRecord(
  editId: string,
  baseVersion: number,
  changes: readonly SectionChange[],
  options: EditOptions = {},
): string {
  const team = options.team ?? 'platform';
  const content: EditContent = {
    editId,
    baseVersion,
    author: `author-${editId}`,
    team,
    at: options.at ?? 0,
    changes,
  };
  const keyHash = options.keyHash ?? (team === 'platform' ? PLATFORM_HASH : ACCOUNTS_HASH);
  const proof = runSteps(proofSteps(keyHash, content));
  return encodeEdit({ kind: 'edit', schemaVersion: SCHEMA_VERSION, ...content, proof });
}
