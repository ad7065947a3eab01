/** Edits of single entries of a section, repeated when another editor was first. */
import { splitSection } from '../../configuration/source.js';
import type { SectionName } from '../../configuration/types.js';
import type { OperatorClient, Published, Reply, SectionSource } from './client.js';

/** Tries of an edit that other editors race. */
const TRIES_MAX = 5;

/** Entries of a section: their sources by key. */
export type EntryTexts = Map<string, string>;

/** Reads a section's entries. */
export async function readEntries(
  client: OperatorClient,
  section: SectionName,
): Promise<Reply<{ readonly version: number; readonly entries: EntryTexts }>> {
  const reply = await client.run<SectionSource>({ kind: 'getConfiguration', section });
  if (reply.kind !== 'done') return reply;
  const { parts } = splitSection(section, reply.data.text);
  const entries = new Map(parts.map((part) => [part.key, part.text]));
  return { kind: 'done', data: { version: reply.data.version, entries } };
}

/**
 * Changes entries of a section. `change` is applied to the latest entries, again after a conflict.
 */
export async function editEntries(
  client: OperatorClient,
  section: SectionName,
  author: string,
  change: (entries: EntryTexts) => void,
): Promise<Reply<Published>> {
  for (let tries = 1; ; tries += 1) {
    const current = await readEntries(client, section);
    if (current.kind !== 'done') return current;
    const { entries, version } = current.data;
    change(entries);
    const text = [...entries.values()].join('');
    const reply = await client.publish({ section, text, baseVersion: version, author });
    const isConflict = reply.kind === 'refused' && reply.status === 409;
    if (!isConflict || tries === TRIES_MAX) return reply;
  }
}
