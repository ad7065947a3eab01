/** Output of commands: data on standard output, errors on standard error. */
import { diagnostics, formatDiagnostic } from '../core/diagnostics.js';
import type { DiagnosticArgs, DiagnosticCode } from '../core/diagnostics.js';
import { EXIT_CODES } from './exitCodes.js';

let isReaderWatched = false;

/**
 * Ends the process in the usual way once nobody reads its output any more, as where `head` has read
 * enough: what is left to print has no reader. Any other failure to write is an error.
 */
function watchReader(): void {
  if (isReaderWatched) return;
  isReaderWatched = true;
  process.stdout.on('error', (err: NodeJS.ErrnoException) => {
    if (err.code !== 'EPIPE') throw err;
    process.exit(EXIT_CODES.ok);
  });
}

/** Writes a line of data. */
export function printLine(line = ''): void {
  watchReader();
  process.stdout.write(`${line}\n`);
}

/** Writes a value as JSON. */
export function printJson(value: unknown): void {
  printLine(JSON.stringify(value, undefined, 2));
}

/** Writes a diagnostic with its category and number. */
export function printDiagnostic(code: DiagnosticCode, args: DiagnosticArgs = {}): void {
  const { category, code: number } = diagnostics[code];
  printError(`${category} ${number}: ${formatDiagnostic(code, args)}`);
}

/** Writes a line of error text. */
export function printError(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Aligns the columns of a table; the first row is its head. */
export function formatColumns(rows: readonly (readonly string[])[]): string {
  const widths: number[] = [];
  rows.forEach((row) => {
    row.forEach((cell, i) => {
      widths[i] = Math.max(widths[i] ?? 0, cell.length);
    });
  });
  const formatRow = (row: readonly string[]) =>
    row.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join('  ');
  return rows.map((row) => formatRow(row).trimEnd()).join('\n');
}
