/** The `audit` command: prints the latest entries of the audit trail. */
import { command, flag, number, option } from 'cmd-ts';
import type { AuditEntry } from '../../core/types.js';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import { createOperatorClient, operatorOptions, reportFailure } from '../operators/client.js';
import { printJson, printLine } from '../output.js';

const DEFAULT_LIMIT = 50;

export const audit = command({
  name: 'audit',
  description: 'Shows who changed what and when, and what was refused and why.',
  args: {
    ...operatorOptions,
    limit: option({ type: number, long: 'limit', defaultValue: () => DEFAULT_LIMIT }),
    json: flag({ long: 'json', description: 'print the entries as JSON' }),
  },
  handler: async ({ limit, json, ...options }): Promise<ExitCode> => {
    const client = await createOperatorClient(options);
    const reply = await client.run<{ readonly entries: readonly AuditEntry[] }>({
      kind: 'readAudit',
      limit,
    });
    if (reply.kind !== 'done') return reportFailure(options.url, reply);
    if (json) printJson(reply.data.entries);
    else reply.data.entries.flatMap(formatEntry).forEach(printLine);
    return EXIT_CODES.ok;
  },
});

function formatEntry(entry: AuditEntry): readonly string[] {
  const verdict = entry.accepted ? 'accepted' : 'refused';
  const { at, who, action, subject, detail } = entry;
  const line = `${new Date(at).toISOString()} ${who} ${action} ${subject} ${verdict}: ${detail}`;
  return [line, ...prefixLines('-', entry.before), ...prefixLines('+', entry.after)];
}

function prefixLines(marker: string, text = ''): readonly string[] {
  return text
    .split('\n')
    .filter(Boolean)
    .map((line) => `    ${marker} ${line}`);
}
