/** Reads and validates the files that are given to commands. */
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

/** The parsed value of a file, or its formatted diagnostics. */
export type FileResult<T> =
  | { readonly kind: 'ok'; readonly value: T }
  | { readonly kind: 'findings'; readonly lines: readonly string[] };

/** Reads a file. If that fails, prints a diagnostic and returns `undefined`. */
export async function readText(file: string): Promise<string | undefined> {
  try {
    return await readFile(file, 'utf8');
  } catch (err) {
    const { code, message } = err as NodeJS.ErrnoException;
    printDiagnostic('settingsUnreadable', { file, reason: code ?? message });
    return undefined;
  }
}

/** Parses and validates the text of a settings file. */
export function checkSettings(file: string, text: string): FileResult<Settings> {
  const result = parseSettings(text);
  if (result.kind === 'settings') return { kind: 'ok', value: result.settings };
  const lines = result.diagnostics.map((found) => formatSettingsDiagnostic(file, found));
  return { kind: 'findings', lines };
}

/** Parses and validates the text of a configuration document. */
export function checkDocument(file: string, text: string): FileResult<ConfigurationView> {
  const result = parseInitialView(text);
  if (result.kind === 'view') return { kind: 'ok', value: result.view };
  const lines = result.diagnostics.map((found) => `${file}:${formatDocumentDiagnostic(found)}`);
  return { kind: 'findings', lines };
}

/** Exit code for a file that cannot be read. */
export const UNREADABLE_EXIT_CODE: ExitCode = EXIT_CODES.unreachable;
