/**
 * The fold of the configuration under exhaustive exploration: two operators edit the same entry from
 * the same version through two instances, with lost replies, failed reads and empty restarts.
 */
import { splitDocument, splitSection } from '../configuration/source.js';
import { runSteps, SECTION_NAMES } from '../configuration/types.js';
import {
  CONFIGURATION_STREAM,
  decodeRecord,
  encodeEdit,
  proofSteps,
  SCHEMA_VERSION,
  type EditContent,
  type SectionChange,
} from '../core/configuration/records.js';
import { sha256Hex } from '../core/sha256.js';
import type { CoreEvent, StreamRecord } from '../core/types.js';
import type { ExploreOptions } from './explore.js';
import { createFleetSystem, type LogLens, type Observed } from './fleetSystem.js';

export interface ConfigurationCheckOptions {
  readonly instances: number;
  readonly faults: number;
  readonly maxDepth: number;
  /** Switches off the check of the base version: each edit looks as if based on the one before. */
  readonly withoutBaseCheck?: boolean;
}

const KEY_HASH = sha256Hex('platform-secret');
const BASE_VERSION = 0;
const DOCUMENT = `teams:
  platform:
    keyHashes: [${KEY_HASH}]
    sections: [${SECTION_NAMES.join(', ')}]
customers:
  c1: { keyHashes: [${sha256Hex('caller-1')}] }
pools:
  chat: { kind: model }
upstreams:
  e1: { pool: chat, url: 'http://127.0.0.1:9', domain: d0, region: r0, slots: 2 }
`;

/** Shows each edit with the version before its own offset as its base, and a proof to match. */
const rebaseAll: LogLens = (records, _, stream) => {
  if (stream !== CONFIGURATION_STREAM) return records;
  return records.map((record, i): StreamRecord => {
    const edit = decodeRecord(record.data);
    if (i === 0 || edit.kind !== 'edit') return record;
    const { kind, schemaVersion, proof, ...content } = edit;
    const baseVersion = records[i - 1]?.offset ?? BASE_VERSION;
    return { offset: record.offset, data: encode({ ...content, baseVersion }) };
  });
};

/** Creates an exploration of racing edits. */
export function createConfigurationCheck(options: ConfigurationCheckOptions): ExploreOptions {
  const { instances, faults, maxDepth, withoutBaseCheck = false } = options;
  const arrivals = Array.from({ length: instances }, (_, instance) => ({
    instance,
    event: publish(instance),
  }));
  const preload = { [CONFIGURATION_STREAM]: [createRecord('base', -1, documentChanges())] };
  const lens = withoutBaseCheck ? { lens: rebaseAll } : {};
  const matters = ['configuration'];
  return {
    create: () =>
      createFleetSystem({
        instances,
        arrivals,
        faults,
        preload,
        restarts: true,
        matters,
        streams: [CONFIGURATION_STREAM],
        judge,
        ...lens,
      }),
    maxDepth,
  };
}

function publish(editor: number): CoreEvent {
  return {
    kind: 'operatorCommand',
    commandId: `command-${editor}`,
    command: {
      kind: 'publish',
      editId: `edit-${editor}`,
      section: 'plannedStops',
      baseVersion: BASE_VERSION,
      text: `e1: { reason: editor ${editor} }\n`,
      author: `editor-${editor}`,
      keyHash: KEY_HASH,
    },
  };
}

/** What must hold in every state: one winner, the same verdicts everywhere, versions that only rise. */
function judge(observed: Observed): string | undefined {
  const isRising = observed.versions.every((seen) =>
    seen.every((version, i) => i === 0 || version > (seen[i - 1] ?? -1)),
  );
  if (!isRising) return 'a version went back';
  const accepted = new Map<string, boolean>();
  for (const { state } of observed.cores) {
    for (const verdict of state.configuration.fold.verdicts.values()) {
      const known = accepted.get(verdict.editId);
      if (known !== undefined && known !== verdict.accepted) return 'two verdicts on one edit';
      accepted.set(verdict.editId, verdict.accepted);
    }
  }
  const winners = [...accepted].filter(([id, isAccepted]) => isAccepted && id !== 'base');
  return winners.length > 1 ? 'two edits from one base version were accepted' : undefined;
}

function createRecord(
  editId: string,
  baseVersion: number,
  changes: readonly SectionChange[],
): string {
  return encode({ editId, baseVersion, author: editId, team: 'platform', at: 0, changes });
}

function encode(content: EditContent): string {
  const proof = runSteps(proofSteps(KEY_HASH, content));
  return encodeEdit({ kind: 'edit', schemaVersion: SCHEMA_VERSION, ...content, proof });
}

function documentChanges(): readonly SectionChange[] {
  return splitDocument(DOCUMENT).parts.map(({ name, text }) => ({
    section: name,
    set: Object.fromEntries(splitSection(name, text).parts.map((part) => [part.key, part.text])),
    remove: [],
  }));
}
