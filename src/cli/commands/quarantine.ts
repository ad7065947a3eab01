/** `quarantine`: requests that crashed upstreams and do not run any more. */
import { command, positional, string, subcommands } from 'cmd-ts';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import { createOperatorClient, operatorOptions, reportFailure } from '../operators/client.js';
import { partOf } from '../operators/statusPage.js';
import { printJson, printLine } from '../output.js';

const list = command({
  name: 'list',
  description: 'Lists suspected requests and those in quarantine.',
  args: operatorOptions,
  handler: async (options): Promise<ExitCode> => {
    const client = await createOperatorClient(options);
    const reply = await client.status();
    if (reply.kind !== 'done') return reportFailure(options.url, reply);
    printJson(partOf(reply.data, 'state', 'quarantine') ?? {});
    return EXIT_CODES.ok;
  },
});

const lift = command({
  name: 'lift',
  description: 'Lets a request run again. Example: quarantine lift 4f1c…',
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
  description: 'Lists and lifts the quarantine of requests.',
  cmds: { list, lift },
});
