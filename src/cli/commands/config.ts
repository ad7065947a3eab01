/** The `config` command: reads, validates, publishes and reverts the configuration. */
import { writeFile } from 'node:fs/promises';
import { command, number, option, optional, positional, string, subcommands } from 'cmd-ts';
import type { DocumentDiagnostic } from '../../configuration/types.js';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import { readText, UNREADABLE_EXIT_CODE } from '../files.js';
import { authorOption } from '../operators/author.js';
import {
  createOperatorClient,
  formatFileDiagnostic,
  operatorOptions,
  reportFailure,
  type OperatorClient,
  type SectionContent,
} from '../operators/client.js';
import { describeDifferences } from '../operators/differences.js';
import { parseExport, formatExport } from '../operators/exported.js';
import { formatColumns, printDiagnostic, printError, printLine } from '../output.js';

const WHOLE_DOCUMENT = 'document';

const section = option({
  type: optional(string),
  long: 'section',
  short: 's',
  description: 'section; defaults to the one named in the file, or to the whole document',
});
const file = positional({ type: string, displayName: 'FILE', description: 'YAML source' });
const version = option({
  type: optional(number),
  long: 'version',
  description: 'an earlier version instead of the current one',
});

const get = command({
  name: 'get',
  description: 'Prints the source of a section or of the whole document.',
  args: {
    ...operatorOptions,
    section: positional({ type: optional(string), displayName: 'SECTION' }),
    version,
    output: option({
      type: optional(string),
      long: 'output',
      short: 'o',
      description: 'output file',
    }),
  },
  handler: async ({ url, keyFile, output, ...given }): Promise<ExitCode> => {
    const client = await createOperatorClient({ url, keyFile });
    const reply = await readSource(client, given.section ?? WHOLE_DOCUMENT, given.version);
    if (reply.kind !== 'done') return reportFailure(url, reply);
    const { data } = reply;
    const text = formatExport(data.section, data.version, data.text);
    if (output === undefined) printLine(text.trimEnd());
    else await writeFile(output, text);
    return EXIT_CODES.ok;
  },
});

async function readSource(client: OperatorClient, name: string, requestedVersion?: number) {
  return client.run<SectionContent>({
    kind: 'getConfiguration',
    section: name,
    ...(requestedVersion !== undefined && { version: requestedVersion }),
  });
}

const diff = command({
  name: 'diff',
  description: 'Shows how a file, or the current version, differs from a published version.',
  args: {
    ...operatorOptions,
    file: positional({ type: optional(string), displayName: 'FILE' }),
    section,
    from: option({
      type: optional(number),
      long: 'from',
      description: 'version to compare with; defaults to the current one',
    }),
  },
  handler: async ({ url, keyFile, from, ...given }): Promise<ExitCode> => {
    const client = await createOperatorClient({ url, keyFile });
    const source = given.file === undefined ? undefined : await readText(given.file);
    if (given.file !== undefined && source === undefined) return UNREADABLE_EXIT_CODE;
    const exported = parseExport(source ?? '');
    const name = given.section ?? exported.section ?? WHOLE_DOCUMENT;
    const before = await readSource(client, name, from);
    if (before.kind !== 'done') return reportFailure(url, before);
    const after = source === undefined ? await readSource(client, name) : undefined;
    if (after !== undefined && after.kind !== 'done') return reportFailure(url, after);
    const text = after === undefined ? exported.text : after.data.text;
    describeDifferences(name, before.data.text, text).forEach(printLine);
    return EXIT_CODES.ok;
  },
});

const check = command({
  name: 'check',
  description: 'Validates a file against the current configuration without publishing it.',
  args: { ...operatorOptions, file, section },
  handler: async ({ url, keyFile, ...given }): Promise<ExitCode> => {
    const source = await readText(given.file);
    if (source === undefined) return UNREADABLE_EXIT_CODE;
    const client = await createOperatorClient({ url, keyFile });
    const exported = parseExport(source);
    const reply = await client.run<{ readonly diagnostics: readonly DocumentDiagnostic[] }>({
      kind: 'checkConfiguration',
      section: given.section ?? exported.section ?? WHOLE_DOCUMENT,
      text: exported.text,
    });
    if (reply.kind !== 'done') return reportFailure(url, reply);
    const { diagnostics } = reply.data;
    diagnostics.forEach((found) => printError(formatFileDiagnostic(given.file, found)));
    if (diagnostics.length === 0) printLine(`${given.file}: no findings`);
    return diagnostics.length === 0 ? EXIT_CODES.ok : EXIT_CODES.invalid;
  },
});

const publish = command({
  name: 'publish',
  description:
    'Publishes a file and waits for the result. Example: config get pools -o pools.yaml; ' +
    'edit; config publish pools.yaml',
  args: {
    ...operatorOptions,
    file,
    section,
    base: option({
      type: optional(number),
      long: 'base',
      description: 'version on which the edit is based; defaults to the one named in the file',
    }),
    editId: option({
      type: optional(string),
      long: 'edit-id',
      description: 'id of an earlier edit to resubmit',
    }),
    author: authorOption,
  },
  handler: async ({ url, keyFile, base, editId, author, ...given }): Promise<ExitCode> => {
    const source = await readText(given.file);
    if (source === undefined) return UNREADABLE_EXIT_CODE;
    const exported = parseExport(source);
    const name = given.section ?? exported.section ?? WHOLE_DOCUMENT;
    const baseVersion = base ?? exported.version;
    if (baseVersion === undefined) {
      printDiagnostic('baseMissing');
      return EXIT_CODES.usage;
    }
    const client = await createOperatorClient({ url, keyFile });
    const edit = { section: name, text: exported.text, baseVersion, author, editId };
    const reply = await client.publish(edit);
    if (reply.kind !== 'done') return reportFailure(url, reply, given.file);
    const { version: accepted, unchanged } = reply.data;
    printLine(unchanged === true ? `unchanged at version ${accepted}` : `version ${accepted}`);
    return EXIT_CODES.ok;
  },
});

interface HistoryEdit {
  readonly version: number;
  readonly accepted: boolean;
  readonly author: string;
  readonly team: string;
  readonly at: number;
  readonly sections: readonly string[];
  readonly keys: readonly string[];
  readonly reason?: string;
}

const history = command({
  name: 'history',
  description: 'Lists the latest edits, accepted and refused.',
  args: {
    ...operatorOptions,
    limit: option({ type: number, long: 'limit', defaultValue: () => 20 }),
  },
  handler: async ({ url, keyFile, limit }): Promise<ExitCode> => {
    const client = await createOperatorClient({ url, keyFile });
    const reply = await client.run<{ readonly edits: readonly HistoryEdit[] }>({
      kind: 'configurationHistory',
      limit,
    });
    if (reply.kind !== 'done') return reportFailure(url, reply);
    const head = ['version', 'when', 'who', 'verdict', 'what'];
    const rows = reply.data.edits.map((edit) => [
      String(edit.version),
      new Date(edit.at).toISOString(),
      `${edit.team}/${edit.author}`,
      edit.accepted ? 'accepted' : `refused: ${edit.reason ?? ''}`,
      (edit.keys.length > 0 ? edit.keys : edit.sections).join(' '),
    ]);
    printLine(formatColumns([head, ...rows]));
    return EXIT_CODES.ok;
  },
});

const revert = command({
  name: 'revert',
  description: 'Publishes an earlier version again, as a new version.',
  args: {
    ...operatorOptions,
    version: positional({ type: number, displayName: 'VERSION' }),
    section,
    author: authorOption,
  },
  handler: async ({ url, keyFile, author, ...given }): Promise<ExitCode> => {
    const client = await createOperatorClient({ url, keyFile });
    const name = given.section ?? WHOLE_DOCUMENT;
    const current = await readSource(client, name);
    if (current.kind !== 'done') return reportFailure(url, current);
    const earlier = await readSource(client, name, given.version);
    if (earlier.kind !== 'done') return reportFailure(url, earlier);
    const baseVersion = current.data.version;
    const edit = { section: name, text: earlier.data.text, baseVersion, author };
    const reply = await client.publish(edit);
    if (reply.kind !== 'done') return reportFailure(url, reply);
    printLine(`version ${reply.data.version}`);
    return EXIT_CODES.ok;
  },
});

export const config = subcommands({
  name: 'config',
  description: 'Reads, validates, publishes and reverts the configuration.',
  cmds: { get, diff, check, publish, history, revert },
});
