/**
 * Types of the configuration document. A document is a YAML mapping of sections, each of which is a
 * mapping of entries. An entry is the unit of parsing, diffing and caching.
 */
import type { DiagnosticArgs, DiagnosticCode } from '../core/diagnostics.js';
import type {
  CostConfig,
  CustomerLimits,
  FailureDomainId,
  KeyHash,
  PoolId,
  PoolKind,
  RegionId,
  ShareScope,
} from '../core/types.js';

/** Section names in the order in which a document is formatted. */
export const SECTION_NAMES = [
  'teams',
  'customers',
  'entitlements',
  'pools',
  'upstreams',
  'routes',
  'plannedStops',
  'fairness',
  'limits',
  'placement',
] as const;

export type SectionName = (typeof SECTION_NAMES)[number];

export function isSectionName(name: string): name is SectionName {
  return (SECTION_NAMES as readonly string[]).includes(name);
}

export interface TeamEntry {
  readonly keyHashes: readonly KeyHash[];
  /** Sections that the team owns and may edit. */
  readonly sections: readonly SectionName[];
}

export interface CustomerEntry {
  readonly keyHashes: readonly KeyHash[];
  readonly limits: Partial<CustomerLimits>;
}

export type EntitlementEntry = Readonly<Record<PoolId, number>>;

export interface PoolEntry {
  readonly kind: PoolKind;
  readonly cost: CostConfig;
  readonly crossRegion: boolean;
  readonly crossRegionPriceMs: number;
  readonly suspendShare: number;
  readonly idempotentByDefault: boolean;
}

export interface UpstreamEntry {
  readonly pool: PoolId;
  readonly url: string;
  readonly domain: FailureDomainId;
  readonly region: RegionId;
  readonly slots: number;
  readonly checksOrders: boolean;
  readonly reportsLoad: boolean;
}

export interface RouteEntry {
  readonly pathPrefix: string;
  readonly methods: readonly string[];
  readonly idempotent: boolean;
}

export interface PlannedStopEntry {
  readonly reason: string;
}

export interface PlacementEntry {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: string;
  readonly minUpstreams: number;
  readonly maxUpstreams: number;
  readonly servingShare: number;
}

/** Type of an entry's value, by section. */
export interface EntryValues {
  readonly teams: TeamEntry;
  readonly customers: CustomerEntry;
  readonly entitlements: EntitlementEntry;
  readonly pools: PoolEntry;
  readonly upstreams: UpstreamEntry;
  readonly routes: readonly RouteEntry[];
  readonly plannedStops: PlannedStopEntry;
  readonly fairness: ShareScope | number;
  readonly limits: number;
  readonly placement: PlacementEntry;
}

/** An entry's source and its value with defaults applied. */
export interface Entry<V = unknown> {
  readonly key: string;
  /** Source including preceding comments, with the key in the first column. */
  readonly text: string;
  readonly value: V;
}

export type EntriesOf<S extends SectionName> = ReadonlyMap<string, Entry<EntryValues[S]>>;

/** A parsed document. Absent sections are empty maps. */
export type ConfigurationDocument = {
  readonly [S in SectionName]: EntriesOf<S>;
};

/** A diagnostic for a document. Lines and columns are 1-based; 0 means that none applies. */
export interface DocumentDiagnostic {
  readonly code: DiagnosticCode;
  readonly args: DiagnosticArgs;
  readonly section?: string;
  readonly key?: string;
  readonly line: number;
  readonly column: number;
}

export type ParseResult =
  | { readonly kind: 'document'; readonly document: ConfigurationDocument }
  | { readonly kind: 'diagnostics'; readonly diagnostics: readonly DocumentDiagnostic[] };

/**
 * An incremental computation. It yields the cost of each completed step, relative to parsing one
 * entry, so that the caller can interleave other work.
 */
export type Steps<T> = Generator<number, T, void>;

/** Runs an incremental computation to completion. */
export function runSteps<T>(steps: Steps<T>): T {
  for (;;) {
    const result = steps.next();
    if (result.done === true) return result.value;
  }
}

export function emptyDocument(): ConfigurationDocument {
  return Object.fromEntries(
    SECTION_NAMES.map((name) => [name, new Map()]),
  ) as unknown as ConfigurationDocument;
}
