/**
 * Model checking of how instances apply configuration edits: operators edit the same entry from the
 * same base version through different instances, with lost replies, failed reads and restarts that
 * lose all state.
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
import { createFleetSystem, type LogTransform, type FleetObservation } from './fleetSystem.js';

export interface ConfigurationCheckOptions {
  readonly instances: number;
  readonly faults: number;
  readonly maxDepth: number;
  /** Disables the check of the base version: each edit appears to be based on the previous one. */
  readonly withoutBaseCheck?: boolean;
}

const TEAM_KEY_HASH = sha256Hex('platform-secret');
const BASE_VERSION = 0;
const DOCUMENT = `teams:
  platform:
    keyHashes: [${TEAM_KEY_HASH}]
    sections: [${SECTION_NAMES.join(', ')}]
customers:
  c1: { keyHashes: [${sha256Hex('caller-1')}] }
pools:
  chat: { kind: model }
upstreams:
  e1: { pool: chat, url: 'http://127.0.0.1:9', domain: d0, region: r0, slots: 2 }
`;

/** Sets the base version of each edit to the offset of the previous record and recomputes its proof. */
const rebaseEdits: LogTransform = (records, _, stream) => {
  if (stream !== CONFIGURATION_STREAM) return records;
  return records.map((record, i): StreamRecord => {
    const edit = decodeRecord(record.data);
    if (i === 0 || edit.kind !== 'edit') return record;
    const { kind, schemaVersion, proof, ...content } = edit;
    const baseVersion = records[i - 1]?.offset ?? BASE_VERSION;
    return { offset: record.offset, data: encode({ ...content, baseVersion }) };
  });
};

/** Creates the exploration options for concurrent edits. */
export function createConfigurationCheck(options: ConfigurationCheckOptions): ExploreOptions {
  const { instances, faults, maxDepth, withoutBaseCheck = false } = options;
  const arrivals = Array.from({ length: instances }, (_, instance) => ({
    instance,
    event: createPublishCommand(instance),
  }));
  const initialRecords = { [CONFIGURATION_STREAM]: [createRecord('base', -1, documentChanges())] };
  const logOptions = withoutBaseCheck ? { transformLog: rebaseEdits } : {};
  const stateMembers = ['configuration'];
  return {
    create: () =>
      createFleetSystem({
        instances,
        arrivals,
        faults,
        initialRecords,
        restarts: true,
        stateMembers,
        controlledStreams: [CONFIGURATION_STREAM],
        findViolation,
        ...logOptions,
      }),
    maxDepth,
  };
}

function createPublishCommand(editor: number): CoreEvent {
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
      keyHash: TEAM_KEY_HASH,
    },
  };
}

/**
 * Invariants of every state: at most one edit is accepted, all instances agree on the verdict of
 * each edit, and the version in force on an instance increases until the instance restarts.
 */
function findViolation(observed: FleetObservation): string | undefined {
  const isIncreasing = observed.versions.every((seen) =>
    seen.every((version, i) => i === 0 || version > (seen[i - 1] ?? -1)),
  );
  if (!isIncreasing) return 'a configuration version decreased';
  const accepted = new Map<string, boolean>();
  for (const { state } of observed.cores) {
    for (const verdict of state.configuration.fold.verdicts.values()) {
      const known = accepted.get(verdict.editId);
      if (known !== undefined && known !== verdict.accepted)
        return 'instances disagree on the verdict of an edit';
      accepted.set(verdict.editId, verdict.accepted);
    }
  }
  const acceptedEdits = [...accepted].filter(([id, isAccepted]) => isAccepted && id !== 'base');
  return acceptedEdits.length > 1 ? 'two edits of the same base version were accepted' : undefined;
}

function createRecord(
  editId: string,
  baseVersion: number,
  changes: readonly SectionChange[],
): string {
  return encode({ editId, baseVersion, author: editId, team: 'platform', at: 0, changes });
}

function encode(content: EditContent): string {
  const proof = runSteps(proofSteps(TEAM_KEY_HASH, content));
  return encodeEdit({ kind: 'edit', schemaVersion: SCHEMA_VERSION, ...content, proof });
}

function documentChanges(): readonly SectionChange[] {
  return splitDocument(DOCUMENT).parts.map(({ name, text }) => ({
    section: name,
    set: Object.fromEntries(splitSection(name, text).parts.map((part) => [part.key, part.text])),
    remove: [],
  }));
}
