/**
 * The `stop` command: manages planned stops of upstreams. Within seconds an upstream receives no new
 * requests; those already running there are not interrupted.
 */
import { command, option, positional, string, subcommands } from 'cmd-ts';
import { stringify } from 'yaml';
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

const upstream = positional({ type: string, displayName: 'UPSTREAM' });

const plan = command({
  name: 'plan',
  description:
    'Schedules the stop of an upstream. Example: stop plan engine-7 --reason "new disks"',
  args: {
    ...operatorOptions,
    upstream,
    reason: option({ type: string, long: 'reason', short: 'r' }),
    author: authorOption,
  },
  handler: async ({ upstream: id, reason, author, ...options }): Promise<ExitCode> =>
    editStops(options, author, (entries) => entries.set(id, stringify({ [id]: { reason } }))),
});

const cancel = command({
  name: 'cancel',
  description: 'Cancels a planned stop.',
  args: { ...operatorOptions, upstream, author: authorOption },
  handler: async ({ upstream: id, author, ...options }): Promise<ExitCode> =>
    editStops(options, author, (entries) => entries.delete(id)),
});

const list = command({
  name: 'list',
  description: 'Lists the planned stops.',
  args: operatorOptions,
  handler: async (options): Promise<ExitCode> => {
    const client = await createOperatorClient(options);
    const reply = await readEntries(client, 'plannedStops');
    if (reply.kind !== 'done') return reportFailure(options.url, reply);
    printLine([...reply.data.entries.values()].join('').trimEnd());
    return EXIT_CODES.ok;
  },
});

async function editStops(
  options: OperatorOptions,
  author: string,
  change: (entries: EntrySources) => void,
): Promise<ExitCode> {
  const client = await createOperatorClient(options);
  const reply = await editEntries(client, 'plannedStops', author, change);
  if (reply.kind !== 'done') return reportFailure(options.url, reply);
  printLine(`version ${reply.data.version}`);
  return EXIT_CODES.ok;
}

export const stop = subcommands({
  name: 'stop',
  description: 'Schedules, lists and cancels planned stops of upstreams.',
  cmds: { plan, list, cancel },
});
