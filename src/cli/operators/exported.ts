/**
 * Sources as `config get` writes them: a first line names section and version, from which `config
 * publish` knows what the operator had read.
 */

export interface ExportedSource {
  readonly section: string | undefined;
  readonly version: number | undefined;
  /** The source without its first line. */
  readonly text: string;
}

const HEAD = /^# primroseswitch section=(\w+) version=(-?\d+)[^\n]*\n/;

export function writeExported(section: string, version: number, text: string): string {
  return `# primroseswitch section=${section} version=${version} (keep this line to publish)\n${text}`;
}

export function readExported(source: string): ExportedSource {
  const match = HEAD.exec(source);
  if (match === null) return { section: undefined, version: undefined, text: source };
  return {
    section: match[1],
    version: Number(match[2]),
    // An empty line in its place keeps the numbers of the others.
    text: `\n${source.slice(match[0].length)}`,
  };
}
