/** Compares two sources of a section or document entry by entry. */
import { splitDocument, splitSection } from '../../configuration/source.js';
import { isSectionName } from '../../configuration/types.js';

/** Lists added (`+`), removed (`-`) and changed (`~`) entries, each followed by its sources. */
export function describeDifferences(section: string, before: string, after: string): string[] {
  const previous = entriesOf(section, before);
  const updated = entriesOf(section, after);
  const keys = [...new Set([...previous.keys(), ...updated.keys()])];
  return keys.flatMap((key) => describeEntry(key, previous.get(key), updated.get(key)));
}

function describeEntry(
  key: string,
  before: string | undefined,
  after: string | undefined,
): readonly string[] {
  if (before === after) return [];
  const marker = changeMarker(before, after);
  return [`${marker} ${key}`, ...prefixLines('-', before), ...prefixLines('+', after)];
}

function changeMarker(before: string | undefined, after: string | undefined): string {
  if (before === undefined) return '+';
  return after === undefined ? '-' : '~';
}

function prefixLines(marker: string, text = ''): readonly string[] {
  return text
    .split('\n')
    .filter(Boolean)
    .map((line) => `    ${marker} ${line}`);
}

function entriesOf(section: string, source: string): ReadonlyMap<string, string> {
  if (isSectionName(section)) {
    const { parts } = splitSection(section, source);
    return new Map(parts.map(({ key, text }) => [`${section}.${key}`, text]));
  }
  const sections = splitDocument(source).parts;
  return new Map(sections.flatMap(({ name, text }) => [...entriesOf(name, text)]));
}
