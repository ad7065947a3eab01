/** `check`: checks a settings file or a configuration document without starting anything. */
import { command, flag, oneOf, option, positional, string } from 'cmd-ts';
import { parse } from 'yaml';
import { SECTION_NAMES } from '../../configuration/types.js';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import { checkDocument, checkSettings, readText, UNREADABLE, type FileResult } from '../files.js';
import { printError, printJson, printLine } from '../output.js';

const options = {
  file: positional({ type: string, displayName: 'FILE', description: 'YAML file to check' }),
  kind: option({
    type: oneOf(['auto', 'settings', 'document'] as const),
    long: 'kind',
    defaultValue: () => 'auto' as const,
    description: 'what the file is; by default found from its keys',
  }),
  json: flag({ long: 'json', description: 'print the findings as JSON' }),
};

export const check = command({
  name: 'check',
  description: 'Checks settings or a configuration document.',
  args: options,
  handler: async ({ file, kind, json }): Promise<ExitCode> => {
    const text = await readText(file);
    if (text === undefined) return UNREADABLE;
    const isDocument = kind === 'document' || (kind === 'auto' && looksLikeDocument(text));
    const result: FileResult<unknown> = isDocument
      ? checkDocument(file, text)
      : checkSettings(file, text);
    const findings = result.kind === 'findings' ? result.lines : [];
    if (json) printJson({ file, kind: isDocument ? 'document' : 'settings', findings });
    else if (findings.length === 0) printLine(`${file}: no findings`);
    if (!json) findings.forEach(printError);
    return findings.length === 0 ? EXIT_CODES.ok : EXIT_CODES.invalid;
  },
});

/** Whether a file has a section of the configuration document. */
function looksLikeDocument(text: string): boolean {
  try {
    const value: unknown = parse(text, { logLevel: 'silent' });
    if (typeof value !== 'object' || value === null) return false;
    const sections = SECTION_NAMES.filter((name) => name !== 'limits');
    return sections.some((name) => name in value);
  } catch {
    return !text.startsWith('instance:');
  }
}
