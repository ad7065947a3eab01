/** Checks across the sections of a document: references, uniqueness, owners. */
import { DIAGNOSTICS_MAX } from './bounds.js';
import { nearestName } from './nearest.js';
import {
  SECTION_NAMES,
  type ConfigurationDocument,
  type DocumentDiagnostic,
  type SectionName,
  type Steps,
} from './types.js';

/** Work of checking one entry, in units of parsing one. */
const ENTRY_CHECK_WORK = 0.01;
const ENTRIES_PER_STEP = 256;

type Report = (
  section: SectionName,
  key: string,
  code: DocumentDiagnostic['code'],
  args: DocumentDiagnostic['args'],
) => void;

/** Sections whose entries refer to those of a section. */
const REFERRING: Partial<Record<SectionName, readonly SectionName[]>> = {
  customers: ['entitlements'],
  pools: ['entitlements', 'upstreams', 'routes', 'placement'],
  upstreams: ['plannedStops'],
};

/**
 * Checks a document in pieces. Lines of the diagnostics are 0; the caller knows the sources. With
 * `changed`, the rest is known to have passed: only those sections and what refers to them are
 * checked.
 */
export function* checkDocument(
  document: ConfigurationDocument,
  changed: readonly SectionName[] = SECTION_NAMES,
): Steps<readonly DocumentDiagnostic[]> {
  const found: DocumentDiagnostic[] = [];
  const report: Report = (section, key, code, args) => {
    if (found.length >= DIAGNOSTICS_MAX) return;
    found.push({ code, args, section, key, line: 0, column: 0 });
  };
  checkOwners(document, report);
  const checks = createChecks(document, report);
  const affected = new Set(changed.flatMap((section) => [section, ...(REFERRING[section] ?? [])]));
  for (const section of SECTION_NAMES) {
    const check = checks[section];
    if (check === undefined || !affected.has(section)) continue;
    let pending = 0;
    for (const [key, entry] of document[section]) {
      check(key, entry.value);
      pending += 1;
      if (pending === ENTRIES_PER_STEP) {
        yield pending * ENTRY_CHECK_WORK;
        pending = 0;
      }
    }
    yield pending * ENTRY_CHECK_WORK;
  }
  return found;
}

/** Some team must own each section, or nobody could ever change it again. */
function checkOwners(document: ConfigurationDocument, report: Report): void {
  const owned = new Set([...document.teams.values()].flatMap((team) => team.value.sections));
  for (const section of SECTION_NAMES) {
    const needsOwner = section === 'teams' || document[section].size > 0;
    if (needsOwner && !owned.has(section)) {
      report('teams', '', 'sectionWithoutOwner', { section });
    }
  }
}

type EntryCheck = (key: string, value: never) => void;

function createChecks(
  document: ConfigurationDocument,
  report: Report,
): Partial<Record<SectionName, (key: string, value: unknown) => void>> {
  const refer = (
    section: SectionName,
    key: string,
    target: 'customers' | 'pools' | 'upstreams',
    name: string,
  ) => {
    if (document[target].has(name)) return;
    const what = target.slice(0, -1);
    const nearest = nearestName(name, document[target].keys());
    if (nearest === undefined) report(section, key, 'unknownReference', { what, name });
    else report(section, key, 'unknownReferenceNear', { what, name, nearest });
  };
  const customerKeys = new Map<string, string>();
  const teamKeys = new Map<string, string>();
  const urls = new Map<string, string>();
  const unique = (
    seen: Map<string, string>,
    section: SectionName,
    key: string,
    value: string,
    code: 'sharedKey' | 'sharedUrl',
  ) => {
    const first = seen.get(value);
    if (first !== undefined) report(section, key, code, { first, second: key });
    else seen.set(value, key);
  };
  const checks: {
    [S in SectionName]?: (
      key: string,
      value: ConfigurationDocument[S] extends ReadonlyMap<string, { value: infer V }> ? V : never,
    ) => void;
  } = {
    teams: (key, team) => {
      team.keyHashes.forEach((hash) => unique(teamKeys, 'teams', key, hash, 'sharedKey'));
    },
    customers: (key, customer) => {
      customer.keyHashes.forEach((hash) =>
        unique(customerKeys, 'customers', key, hash, 'sharedKey'),
      );
    },
    entitlements: (key, weights) => {
      refer('entitlements', key, 'customers', key);
      Object.keys(weights).forEach((pool) => refer('entitlements', key, 'pools', pool));
    },
    upstreams: (key, upstream) => {
      refer('upstreams', key, 'pools', upstream.pool);
      unique(urls, 'upstreams', key, upstream.url, 'sharedUrl');
    },
    routes: (key) => refer('routes', key, 'pools', key),
    plannedStops: (key) => refer('plannedStops', key, 'upstreams', key),
    placement: (key, placement) => {
      refer('placement', key, 'pools', key);
      if (placement.minUpstreams > placement.maxUpstreams) {
        const args = { low: 'minUpstreams', high: 'maxUpstreams' };
        report('placement', key, 'boundsCrossed', args);
      }
    },
  };
  return checks as Partial<Record<SectionName, (key: string, value: unknown) => void>> &
    Record<string, EntryCheck>;
}
