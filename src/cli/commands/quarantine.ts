/** The `quarantine` command: lists requests blocked for crashing upstreams, and unblocks them. */
import { command, positional, string, subcommands } from 'cmd-ts';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import { createOperatorClient, operatorOptions, reportFailure } from '../operators/client.js';
import { objectAt } from '../operators/statusPage.js';
import { printJson, printLine } from '../output.js';

const list = command({
  name: 'list',
  description: 'Lists suspected and quarantined requests.',
  args: operatorOptions,
  handler: async (options): Promise<ExitCode> => {
    const client = await createOperatorClient(options);
    const reply = await client.status();
    if (reply.kind !== 'done') return reportFailure(options.url, reply);
    printJson(objectAt(reply.data, 'state', 'quarantine') ?? {});
    return EXIT_CODES.ok;
  },
});

const lift = command({
  name: 'lift',
  description: 'Allows a quarantined request to run again. Example: quarantine lift 4f1c…',
  args: {
    ...operatorOptions,
    fingerprint: positional({ type: string, displayName: 'FINGERPRINT' }),
  },
  handler: async ({ fingerprint, ...options }): Promise<ExitCode> => {
    const client = await createOperatorClient(options);
    const reply = await client.run<{ readonly wasLifted: boolean }>({
      kind: 'liftQuarantine',
      fingerprint,
    });
    if (reply.kind !== 'done') return reportFailure(options.url, reply);
    printLine(reply.data.wasLifted ? 'lifted' : 'not in quarantine');
    return reply.data.wasLifted ? EXIT_CODES.ok : EXIT_CODES.failed;
  },
});

export const quarantine = subcommands({
  name: 'quarantine',
  description: 'Lists quarantined requests and lifts their quarantine.',
  cmds: { list, lift },
});
