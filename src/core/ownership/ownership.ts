/**
 * Ownership of upstreams. In the view of each instance, every upstream has a single owner, selected
 * by rendezvous hashing over the ready instances of the upstream's failure domain. If there are
 * none, the instances of its region are used, and then those of the whole fleet. The views of two
 * instances may differ for seconds; two simultaneous owners are safe (docs/DESIGN.md).
 *
 * Owners are cached per domain and updated incrementally: a new candidate is only compared with the
 * current owner, and the loss of a candidate requires a full selection only for its own upstreams.
 */
import { hash32, rendezvousScoreOfHashes } from '../hash.js';
import {
  membersOf,
  filterOwnershipCandidates,
  ownershipCandidates,
} from '../membership/memberIndex.js';
import type { CoreState } from '../state.js';
import type {
  ConfigurationView,
  FailureDomainId,
  InstanceId,
  Member,
  UpstreamConfig,
  UpstreamId,
} from '../types.js';
import type { DomainOwners, ScoredOwner } from './ownershipState.js';

interface Candidate {
  readonly id: InstanceId;
  readonly hash: number;
}

/** Returns the owner; `undefined` if the upstream is unknown or no instance is eligible. */
export function ownerOf(state: CoreState, upstream: UpstreamId): InstanceId | undefined {
  const config = state.configuration.view?.upstreams.get(upstream);
  if (config === undefined) return undefined;
  return currentDomainOwners(state, config.domain).owners.get(upstream)?.id;
}

export function isOwner(state: CoreState, upstream: UpstreamId): boolean {
  return ownerOf(state, upstream) === state.self.id;
}

export function forEachOwnedUpstream(
  state: CoreState,
  action: (upstream: UpstreamConfig) => void,
): void {
  ownedUpstreams(state).forEach(action);
}

/**
 * Returns the upstreams that this instance owns; cached until membership or configuration changes.
 */
export function ownedUpstreams(state: CoreState): readonly UpstreamConfig[] {
  const { ownership, membership, configuration } = state;
  const { view } = configuration;
  if (view === undefined) return [];
  const isCurrent =
    ownership.ownedGeneration === membership.generation && ownership.ownedVersion === view.version;
  if (isCurrent) return ownership.owned;
  const owned: UpstreamConfig[] = [];
  indexUpstreams(state, view).forEach((upstreams, domain) => {
    if (!isCandidate(state, domain)) return;
    const { owners } = currentDomainOwners(state, domain);
    upstreams.forEach((upstream) => {
      if (owners.get(upstream.id)?.id === state.self.id) owned.push(upstream);
    });
  });
  ownership.owned = owned;
  ownership.ownedGeneration = membership.generation;
  ownership.ownedVersion = view.version;
  return owned;
}

export function upstreamsInDomain(
  state: CoreState,
  domain: FailureDomainId,
): readonly UpstreamConfig[] {
  const { view } = state.configuration;
  return view === undefined ? [] : (indexUpstreams(state, view).get(domain) ?? []);
}

function isCandidate(state: CoreState, domain: FailureDomainId): boolean {
  return ownerCandidates(state, domain).some((member) => member.id === state.self.id);
}

function currentDomainOwners(state: CoreState, domain: FailureDomainId): DomainOwners {
  const { ownership, membership, configuration } = state;
  const entry = ownership.domains.get(domain) ?? createDomainOwners();
  ownership.domains.set(domain, entry);
  const version = configuration.view?.version ?? -1;
  if (entry.generation === membership.generation && entry.configurationVersion === version) {
    return entry;
  }
  updateOwners(state, domain, entry);
  entry.generation = membership.generation;
  entry.configurationVersion = version;
  return entry;
}

function createDomainOwners(): DomainOwners {
  return { owners: new Map(), candidates: new Set(), generation: -1, configurationVersion: -1 };
}

function updateOwners(state: CoreState, domain: FailureDomainId, entry: DomainOwners): void {
  const candidates = ownerCandidates(state, domain).map(({ id }) => ({ id, hash: hash32(id) }));
  const candidateIds = new Set(candidates.map(({ id }) => id));
  const added = candidates.filter(({ id }) => !entry.candidates.has(id));
  const upstreams = upstreamsInDomain(state, domain);
  upstreams.forEach(({ id }) => {
    const current = entry.owners.get(id);
    const isKept = current !== undefined && candidateIds.has(current.id);
    const best = isKept ? bestOwner(id, added, current) : bestOwner(id, candidates, undefined);
    if (best === undefined) entry.owners.delete(id);
    else if (best !== current) entry.owners.set(id, best);
  });
  if (entry.owners.size > upstreams.length) removeStaleOwners(entry, upstreams);
  entry.candidates = candidateIds;
}

function removeStaleOwners(entry: DomainOwners, upstreams: readonly UpstreamConfig[]): void {
  const ids = new Set(upstreams.map((upstream) => upstream.id));
  entry.owners.forEach((_, id) => {
    if (!ids.has(id)) entry.owners.delete(id);
  });
}

function bestOwner(
  upstream: UpstreamId,
  candidates: readonly Candidate[],
  current: ScoredOwner | undefined,
): ScoredOwner | undefined {
  const upstreamHash = hash32(upstream);
  let best = current;
  for (const { id, hash } of candidates) {
    const score = rendezvousScoreOfHashes(upstreamHash, hash);
    if (best === undefined || score > best.score) best = { id, score };
  }
  return best;
}

/** Returns the instances that are eligible to own the upstreams of a domain. */
function ownerCandidates(state: CoreState, domain: FailureDomainId): readonly Member[] {
  const inDomain = filterOwnershipCandidates(membersOf(state, domain));
  if (inDomain.length > 0) return inDomain;
  const region = upstreamsInDomain(state, domain)[0]?.region;
  const all = ownershipCandidates(state);
  const inRegion = all.filter((member) => member.region === region);
  return inRegion.length > 0 ? inRegion : all;
}

function indexUpstreams(
  state: CoreState,
  view: ConfigurationView,
): ReadonlyMap<FailureDomainId, readonly UpstreamConfig[]> {
  const { ownership } = state;
  if (ownership.indexedVersion === view.version) return ownership.upstreamsByDomain;
  const byDomain = new Map<FailureDomainId, UpstreamConfig[]>();
  view.upstreams.forEach((upstream) => {
    const upstreams = byDomain.get(upstream.domain) ?? [];
    byDomain.set(upstream.domain, upstreams);
    upstreams.push(upstream);
  });
  ownership.upstreamsByDomain = byDomain;
  ownership.indexedVersion = view.version;
  return byDomain;
}
