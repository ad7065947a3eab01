/** The `customer` command: lists, adds and removes customers and sets their weights. */
import { createHash } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { command, number, option, positional, string, subcommands } from 'cmd-ts';
import { parse, stringify } from 'yaml';
import type { SectionName } from '../../configuration/types.js';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import { authorOption } from '../operators/author.js';
import {
  createOperatorClient,
  operatorOptions,
  reportFailure,
  type OperatorOptions,
} from '../operators/client.js';
import { editEntries, readEntries, type EntrySources } from '../operators/edits.js';
import { printLine } from '../output.js';

const customerId = positional({ type: string, displayName: 'CUSTOMER' });

const list = command({
  name: 'list',
  description: 'Lists the customers.',
  args: operatorOptions,
  handler: async (options): Promise<ExitCode> => {
    const client = await createOperatorClient(options);
    const reply = await readEntries(client, 'customers');
    if (reply.kind !== 'done') return reportFailure(options.url, reply);
    [...reply.data.entries.keys()].forEach(printLine);
    return EXIT_CODES.ok;
  },
});

const show = command({
  name: 'show',
  description: 'Shows a customer and its weights.',
  args: { ...operatorOptions, customer: customerId },
  handler: async ({ customer: id, ...options }): Promise<ExitCode> => {
    const client = await createOperatorClient(options);
    const customers = await readEntries(client, 'customers');
    if (customers.kind !== 'done') return reportFailure(options.url, customers);
    const weights = await readEntries(client, 'entitlements');
    if (weights.kind !== 'done') return reportFailure(options.url, weights);
    const text = customers.data.entries.get(id);
    if (text === undefined) return EXIT_CODES.failed;
    printLine(`customers:\n${text}entitlements:\n${weights.data.entries.get(id) ?? ''}`.trimEnd());
    return EXIT_CODES.ok;
  },
});

const add = command({
  name: 'add',
  description:
    'Adds a customer, or another key to an existing one. Only the hash of the key is sent.',
  args: {
    ...operatorOptions,
    customer: customerId,
    callerKey: option({
      type: string,
      long: 'caller-key-file',
      description: "file with the customer's key",
    }),
    author: authorOption,
  },
  handler: async ({ customer: id, callerKey, author, ...options }): Promise<ExitCode> => {
    const key = (await readFile(callerKey, 'utf8')).trim();
    const hash = createHash('sha256').update(key).digest('hex');
    return editSection(options, 'customers', author, (entries) => {
      const existing = parseEntryValue(entries, id);
      const hashes = (existing.keyHashes ?? []) as readonly string[];
      const keyHashes = [...new Set([...hashes, hash])];
      entries.set(id, stringify({ [id]: { ...existing, keyHashes } }));
    });
  },
});

const remove = command({
  name: 'remove',
  description: 'Removes a customer. Its running requests are not interrupted.',
  args: { ...operatorOptions, customer: customerId, author: authorOption },
  handler: async ({ customer: id, author, ...options }): Promise<ExitCode> => {
    const code = await editSection(options, 'entitlements', author, (entries) =>
      entries.delete(id),
    );
    if (code !== EXIT_CODES.ok) return code;
    return editSection(options, 'customers', author, (entries) => entries.delete(id));
  },
});

const weight = command({
  name: 'weight',
  description: 'Sets a weight. Example: customer weight orchard-north hire-assistant 2',
  args: {
    ...operatorOptions,
    customer: customerId,
    pool: positional({ type: string, displayName: 'POOL' }),
    weight: positional({ type: number, displayName: 'WEIGHT' }),
    author: authorOption,
  },
  handler: async ({ customer: id, pool, weight: value, author, ...options }): Promise<ExitCode> =>
    editSection(options, 'entitlements', author, (entries) => {
      entries.set(id, stringify({ [id]: { ...parseEntryValue(entries, id), [pool]: value } }));
    }),
});

/** Parses the value of an entry; returns an empty object if the entry does not exist. */
function parseEntryValue(entries: EntrySources, id: string): Readonly<Record<string, unknown>> {
  const document = parse(entries.get(id) ?? '{}') as Readonly<Record<string, unknown>>;
  return (document[id] ?? {}) as Readonly<Record<string, unknown>>;
}

async function editSection(
  options: OperatorOptions,
  section: SectionName,
  author: string,
  change: (entries: EntrySources) => void,
): Promise<ExitCode> {
  const client = await createOperatorClient(options);
  const reply = await editEntries(client, section, author, change);
  if (reply.kind !== 'done') return reportFailure(options.url, reply);
  printLine(`version ${reply.data.version}`);
  return EXIT_CODES.ok;
}

export const customer = subcommands({
  name: 'customer',
  description: 'Lists, adds and removes customers and sets their weights.',
  cmds: { list, show, add, remove, weight },
});
