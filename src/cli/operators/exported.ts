/**
 * File format of `config get`. A header line names the section and the version, from which
 * `config publish` derives the base version of the edit.
 */

export interface ExportedSource {
  readonly section: string | undefined;
  readonly version: number | undefined;
  /** The source with its header line blanked. */
  readonly text: string;
}

const HEADER_PATTERN = /^# primroseswitch section=(\w+) version=(-?\d+)[^\n]*\n/;

export function formatExport(section: string, version: number, text: string): string {
  return `# primroseswitch section=${section} version=${version} (keep this line to publish)\n${text}`;
}

export function parseExport(source: string): ExportedSource {
  const match = HEADER_PATTERN.exec(source);
  if (match === null) return { section: undefined, version: undefined, text: source };
  return {
    section: match[1],
    version: Number(match[2]),
    // An empty line replaces the header, so that line numbers in diagnostics match the file.
    text: `\n${source.slice(match[0].length)}`,
  };
}
