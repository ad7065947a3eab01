/** The `check` command: validates a settings file or a configuration document offline. */
import { command, flag, oneOf, option, positional, string } from 'cmd-ts';
import { parse } from 'yaml';
import { SECTION_NAMES } from '../../configuration/types.js';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import {
  checkDocument,
  checkSettings,
  readText,
  UNREADABLE_EXIT_CODE,
  type FileResult,
} from '../files.js';
import { printError, printJson, printLine } from '../output.js';

const options = {
  file: positional({ type: string, displayName: 'FILE', description: 'YAML file to check' }),
  kind: option({
    type: oneOf(['auto', 'settings', 'document'] as const),
    long: 'kind',
    defaultValue: () => 'auto' as const,
    description: 'type of the file; detected from its keys by default',
  }),
  json: flag({ long: 'json', description: 'print the findings as JSON' }),
};

export const check = command({
  name: 'check',
  description: 'Validates a settings file or a configuration document.',
  args: options,
  handler: async ({ file, kind, json }): Promise<ExitCode> => {
    const text = await readText(file);
    if (text === undefined) return UNREADABLE_EXIT_CODE;
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

/**
 * Whether a file contains a section of the configuration document. `limits` does not count because
 * settings have a key of the same name.
 */
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
