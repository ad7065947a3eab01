/** Cross-section validation of a document: references, uniqueness and section ownership. */
import { MAX_DIAGNOSTICS } from './bounds.js';
import { nearestName } from './nearest.js';
import {
  SECTION_NAMES,
  type ConfigurationDocument,
  type DocumentDiagnostic,
  type SectionName,
  type Steps,
} from './types.js';

/** Cost of checking one entry, relative to parsing one. */
const ENTRY_CHECK_COST = 0.01;
const ENTRIES_PER_STEP = 256;

type Report = (
  section: SectionName,
  key: string,
  code: DocumentDiagnostic['code'],
  args: DocumentDiagnostic['args'],
) => void;

/** For each section, the sections whose entries refer to its entries. */
const REFERRING_SECTIONS: Partial<Record<SectionName, readonly SectionName[]>> = {
  customers: ['entitlements'],
  pools: ['entitlements', 'upstreams', 'routes', 'placement'],
  upstreams: ['plannedStops'],
};

/**
 * Checks a document incrementally. Diagnostics have line 0; the caller, which has the source, sets
 * their positions. Only the sections in `changed` and those that refer to them are checked; the
 * others must have passed an earlier check.
 */
export function* checkDocument(
  document: ConfigurationDocument,
  changed: readonly SectionName[] = SECTION_NAMES,
): Steps<readonly DocumentDiagnostic[]> {
  const diagnostics: DocumentDiagnostic[] = [];
  const report: Report = (section, key, code, args) => {
    if (diagnostics.length >= MAX_DIAGNOSTICS) return;
    diagnostics.push({ code, args, section, key, line: 0, column: 0 });
  };
  checkOwners(document, report);
  const checks = createEntryChecks(document, report);
  const affected = new Set(
    changed.flatMap((section) => [section, ...(REFERRING_SECTIONS[section] ?? [])]),
  );
  for (const section of SECTION_NAMES) {
    const check = checks[section];
    if (check === undefined || !affected.has(section)) continue;
    let entriesSinceYield = 0;
    for (const [key, entry] of document[section]) {
      check(key, entry.value);
      entriesSinceYield += 1;
      if (entriesSinceYield === ENTRIES_PER_STEP) {
        yield entriesSinceYield * ENTRY_CHECK_COST;
        entriesSinceYield = 0;
      }
    }
    yield entriesSinceYield * ENTRY_CHECK_COST;
  }
  return diagnostics;
}

/** Requires an owning team for `teams` and every non-empty section: only owners may edit a section. */
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

function createEntryChecks(
  document: ConfigurationDocument,
  report: Report,
): Partial<Record<SectionName, (key: string, value: unknown) => void>> {
  const checkReference = (
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
  const checkUnique = (
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
      team.keyHashes.forEach((hash) => checkUnique(teamKeys, 'teams', key, hash, 'sharedKey'));
    },
    customers: (key, customer) => {
      customer.keyHashes.forEach((hash) =>
        checkUnique(customerKeys, 'customers', key, hash, 'sharedKey'),
      );
    },
    entitlements: (key, weights) => {
      checkReference('entitlements', key, 'customers', key);
      Object.keys(weights).forEach((pool) => checkReference('entitlements', key, 'pools', pool));
    },
    upstreams: (key, upstream) => {
      checkReference('upstreams', key, 'pools', upstream.pool);
      checkUnique(urls, 'upstreams', key, upstream.url, 'sharedUrl');
    },
    routes: (key) => checkReference('routes', key, 'pools', key),
    plannedStops: (key) => checkReference('plannedStops', key, 'upstreams', key),
    placement: (key, placement) => {
      checkReference('placement', key, 'pools', key);
      if (placement.minUpstreams > placement.maxUpstreams) {
        const args = { low: 'minUpstreams', high: 'maxUpstreams' };
        report('placement', key, 'boundsCrossed', args);
      }
    },
  };
  return checks as Partial<Record<SectionName, (key: string, value: unknown) => void>> &
    Record<string, EntryCheck>;
}
