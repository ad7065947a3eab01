/** Files that commands read, and the findings in them. */
import { readFile } from 'node:fs/promises';
import { formatDocumentDiagnostic } from '../configuration/document.js';
import { parseInitialView } from '../configuration/initialView.js';
import {
  formatSettingsDiagnostic,
  parseSettings,
  type Settings,
} from '../configuration/settings.js';
import type { ConfigurationView } from '../core/types.js';
import { EXIT_CODES, type ExitCode } from './exitCodes.js';
import { printDiagnostic } from './output.js';

/** What a file holds, or the findings in it, one a line. */
export type FileResult<T> =
  | { readonly kind: 'ok'; readonly value: T }
  | { readonly kind: 'findings'; readonly lines: readonly string[] };

/** Reads a file; tells why it cannot be read and returns `undefined`. */
export async function readText(file: string): Promise<string | undefined> {
  try {
    return await readFile(file, 'utf8');
  } catch (err) {
    const { code, message } = err as NodeJS.ErrnoException;
    printDiagnostic('settingsUnreadable', { file, reason: code ?? message });
    return undefined;
  }
}

/** Checks the text of a settings file. */
export function checkSettings(file: string, text: string): FileResult<Settings> {
  const result = parseSettings(text);
  if (result.kind === 'settings') return { kind: 'ok', value: result.settings };
  const lines = result.diagnostics.map((found) => formatSettingsDiagnostic(file, found));
  return { kind: 'findings', lines };
}

/** Checks the text of a configuration document. */
export function checkDocument(file: string, text: string): FileResult<ConfigurationView> {
  const result = parseInitialView(text);
  if (result.kind === 'view') return { kind: 'ok', value: result.view };
  const lines = result.diagnostics.map((found) => `${file}:${formatDocumentDiagnostic(found)}`);
  return { kind: 'findings', lines };
}

/** Exit code of a file that could not be read. */
export const UNREADABLE: ExitCode = EXIT_CODES.unreachable;
