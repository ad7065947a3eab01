/** The `status` command: prints the state of an instance. */
import { command, flag, option, string } from 'cmd-ts';
import { request } from 'undici';
import { DEFAULT_OPERATORS_PORT } from '../../configuration/settingsSchema.js';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import { formatColumns, printDiagnostic, printJson, printLine } from '../output.js';

const TIMEOUT_MS = 5_000;

const options = {
  url: option({
    type: string,
    long: 'url',
    short: 'u',
    defaultValue: () => `http://127.0.0.1:${DEFAULT_OPERATORS_PORT}`,
    description: "base address of an instance's operator port",
  }),
  json: flag({ long: 'json', description: 'print the whole status as JSON' }),
};

type Status = Readonly<Record<string, unknown>>;

export const status = command({
  name: 'status',
  description: "Shows an instance's state.",
  args: options,
  handler: async ({ url, json }): Promise<ExitCode> => {
    const value = await readStatus(url);
    if (value === undefined) return EXIT_CODES.unreachable;
    if (json) printJson(value);
    else printLine(formatColumns(toRows(value)));
    return EXIT_CODES.ok;
  },
});

async function readStatus(url: string): Promise<Status | undefined> {
  try {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const { statusCode, body } = await request(`${url}/status`, { signal });
    if (statusCode === 200) return (await body.json()) as Status;
    await body.dump();
    printDiagnostic('noStatus', { url, reason: `status ${statusCode}` });
  } catch (err) {
    const { code, message } = err as NodeJS.ErrnoException;
    printDiagnostic('noStatus', { url, reason: code ?? message });
  }
  return undefined;
}

/** Converts a status to rows, one per field. Large values are summarized by their size. */
function toRows(value: Status): readonly (readonly string[])[] {
  const { state, ...fields } = value;
  const rows: string[][] = [];
  Object.entries(fields).forEach(([key, field]) => rows.push([key, summarize(field)]));
  Object.entries((state ?? {}) as Status).forEach(([part, content]) => {
    Object.entries((content ?? {}) as Status).forEach(([key, field]) => {
      rows.push([`${part}.${key}`, summarize(field)]);
    });
  });
  return rows;
}

const MAX_CELL_LENGTH = 100;

function summarize(value: unknown): string {
  const text = JSON.stringify(value) ?? '';
  if (text.length <= MAX_CELL_LENGTH) return text;
  const size = Object.keys(value as object).length;
  return `${size} entries`;
}
