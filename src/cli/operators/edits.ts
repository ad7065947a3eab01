/** Edits individual entries of a section, retrying after conflicts with concurrent edits. */
import { splitSection } from '../../configuration/source.js';
import type { SectionName } from '../../configuration/types.js';
import type { OperatorClient, PublishResult, Reply, SectionContent } from './client.js';

/** Maximum number of attempts when concurrent edits conflict. */
const MAX_ATTEMPTS = 5;

/** Sources of a section's entries by key. */
export type EntrySources = Map<string, string>;

/** Reads the entries of a section and the version they belong to. */
export async function readEntries(
  client: OperatorClient,
  section: SectionName,
): Promise<Reply<{ readonly version: number; readonly entries: EntrySources }>> {
  const reply = await client.run<SectionContent>({ kind: 'getConfiguration', section });
  if (reply.kind !== 'done') return reply;
  const { parts } = splitSection(section, reply.data.text);
  const entries = new Map(parts.map((part) => [part.key, part.text]));
  return { kind: 'done', data: { version: reply.data.version, entries } };
}

/**
 * Edits entries of a section. `change` mutates the latest entries; after each conflict, the entries
 * are read again and `change` is called on them.
 */
export async function editEntries(
  client: OperatorClient,
  section: SectionName,
  author: string,
  change: (entries: EntrySources) => void,
): Promise<Reply<PublishResult>> {
  for (let attempt = 1; ; attempt += 1) {
    const current = await readEntries(client, section);
    if (current.kind !== 'done') return current;
    const { entries, version } = current.data;
    change(entries);
    const text = [...entries.values()].join('');
    const reply = await client.publish({ section, text, baseVersion: version, author });
    const isConflict = reply.kind === 'refused' && reply.status === 409;
    if (!isConflict || attempt === MAX_ATTEMPTS) return reply;
  }
}
