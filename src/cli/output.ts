/** Writes the output of commands: data to standard output, errors to standard error. */
import { diagnostics, formatDiagnostic } from '../core/diagnostics.js';
import type { DiagnosticArgs, DiagnosticCode } from '../core/diagnostics.js';
import { EXIT_CODES } from './exitCodes.js';

/** Errors of a write whose reader has closed: of a pipe, and of a socket that had unread data. */
const CLOSED_BY_READER = new Set(['EPIPE', 'ECONNRESET']);

let isPipeHandlerInstalled = false;

/**
 * Exits successfully when the reader of standard output closes it, for example `head`. Any other write
 * error is thrown.
 */
function handleClosedPipe(): void {
  if (isPipeHandlerInstalled) return;
  isPipeHandlerInstalled = true;
  process.stdout.on('error', (err: NodeJS.ErrnoException) => {
    if (err.code === undefined || !CLOSED_BY_READER.has(err.code)) throw err;
    process.exit(EXIT_CODES.ok);
  });
}

/** Writes a line to standard output. */
export function printLine(line = ''): void {
  handleClosedPipe();
  process.stdout.write(`${line}\n`);
}

/** Writes a value as indented JSON to standard output. */
export function printJson(value: unknown): void {
  printLine(JSON.stringify(value, undefined, 2));
}

/** Writes a diagnostic with its category and number to standard error. */
export function printDiagnostic(code: DiagnosticCode, args: DiagnosticArgs = {}): void {
  const { category, code: number } = diagnostics[code];
  printError(`${category} ${number}: ${formatDiagnostic(code, args)}`);
}

/** Writes a line to standard error. */
export function printError(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Formats rows as a table with aligned columns. */
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
