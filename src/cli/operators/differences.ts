/** Differences between two sources of a section or document, entry by entry. */
import { splitDocument, splitSection } from '../../configuration/source.js';
import { isSectionName } from '../../configuration/types.js';

/** Returns lines with `+`, `-` or `~` before the entries that differ, and their sources. */
export function describeDifferences(section: string, before: string, after: string): string[] {
  const old = entriesOf(section, before);
  const fresh = entriesOf(section, after);
  const keys = [...new Set([...old.keys(), ...fresh.keys()])];
  return keys.flatMap((key) => describeEntry(key, old.get(key), fresh.get(key)));
}

function describeEntry(
  key: string,
  before: string | undefined,
  after: string | undefined,
): readonly string[] {
  if (before === after) return [];
  const mark = markOf(before, after);
  return [`${mark} ${key}`, ...linesOf('-', before), ...linesOf('+', after)];
}

function markOf(before: string | undefined, after: string | undefined): string {
  if (before === undefined) return '+';
  return after === undefined ? '-' : '~';
}

function linesOf(mark: string, text = ''): readonly string[] {
  return text
    .split('\n')
    .filter(Boolean)
    .map((line) => `    ${mark} ${line}`);
}

function entriesOf(section: string, source: string): ReadonlyMap<string, string> {
  if (isSectionName(section)) {
    const { parts } = splitSection(section, source);
    return new Map(parts.map(({ key, text }) => [`${section}.${key}`, text]));
  }
  const sections = splitDocument(source).parts;
  return new Map(sections.flatMap(({ name, text }) => [...entriesOf(name, text)]));
}
