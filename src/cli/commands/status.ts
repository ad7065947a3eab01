/** `status`: shows what an instance believes and does. */
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
    else printLine(formatColumns(rowsOf(value)));
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

/** One row a fact; the parts of the state are shown by their sizes. */
function rowsOf(value: Status): readonly (readonly string[])[] {
  const { state, ...facts } = value;
  const rows: string[][] = [];
  Object.entries(facts).forEach(([key, fact]) => rows.push([key, shortForm(fact)]));
  Object.entries((state ?? {}) as Status).forEach(([part, content]) => {
    Object.entries((content ?? {}) as Status).forEach(([key, fact]) => {
      rows.push([`${part}.${key}`, shortForm(fact)]);
    });
  });
  return rows;
}

const MAX_CELL = 100;

function shortForm(fact: unknown): string {
  const text = JSON.stringify(fact) ?? '';
  if (text.length <= MAX_CELL) return text;
  const size = Object.keys(fact as object).length;
  return `${size} entries`;
}
