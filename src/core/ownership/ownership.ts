/**
 * Ownership: every upstream has one owner at a time in the view of each instance, by rendezvous
 * hashing over the ready instances of the upstream's failure domain, else of its region, else of
 * the fleet. Views may differ for seconds; two owners are safe (docs/DESIGN.md).
 *
 * Owners are kept by domain and follow changes: a new candidate is compared with the present
 * owner, a lost one costs a full choice only for the upstreams that it owned.
 */
import { hash32, rendezvousScoreOfHashes } from '../hash.js';
import { membersOf, owningAmong, owningMembers } from '../membership/memberIndex.js';
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

/** Returns the owner of an upstream, if any instance is ready. */
export function ownerOf(state: CoreState, upstream: UpstreamId): InstanceId | undefined {
  const config = state.configuration.view?.upstreams.get(upstream);
  if (config === undefined) return undefined;
  return domainOwners(state, config.domain).owners.get(upstream)?.id;
}

export function isOwner(state: CoreState, upstream: UpstreamId): boolean {
  return ownerOf(state, upstream) === state.self.id;
}

/** Calls `action` for each upstream that this instance owns. */
export function forEachOwned(state: CoreState, action: (upstream: UpstreamConfig) => void): void {
  ownedUpstreams(state).forEach(action);
}

/** Returns the upstreams that this instance owns. */
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
    const { owners } = domainOwners(state, domain);
    upstreams.forEach((upstream) => {
      if (owners.get(upstream.id)?.id === state.self.id) owned.push(upstream);
    });
  });
  ownership.owned = owned;
  ownership.ownedGeneration = membership.generation;
  ownership.ownedVersion = view.version;
  return owned;
}

/** Returns the upstreams of a domain. */
export function upstreamsIn(state: CoreState, domain: FailureDomainId): readonly UpstreamConfig[] {
  const { view } = state.configuration;
  return view === undefined ? [] : (indexUpstreams(state, view).get(domain) ?? []);
}

function isCandidate(state: CoreState, domain: FailureDomainId): boolean {
  return candidatesOf(state, domain).some((member) => member.id === state.self.id);
}

function domainOwners(state: CoreState, domain: FailureDomainId): DomainOwners {
  const { ownership, membership, configuration } = state;
  const group = ownership.domains.get(domain) ?? createDomainOwners();
  ownership.domains.set(domain, group);
  const version = configuration.view?.version ?? -1;
  if (group.generation === membership.generation && group.configurationVersion === version) {
    return group;
  }
  updateOwners(state, domain, group);
  group.generation = membership.generation;
  group.configurationVersion = version;
  return group;
}

function createDomainOwners(): DomainOwners {
  return { owners: new Map(), candidates: new Set(), generation: -1, configurationVersion: -1 };
}

function updateOwners(state: CoreState, domain: FailureDomainId, group: DomainOwners): void {
  const candidates = candidatesOf(state, domain).map(({ id }) => ({ id, hash: hash32(id) }));
  const present = new Set(candidates.map(({ id }) => id));
  const added = candidates.filter(({ id }) => !group.candidates.has(id));
  const upstreams = upstreamsIn(state, domain);
  upstreams.forEach(({ id }) => {
    const known = group.owners.get(id);
    const isKept = known !== undefined && present.has(known.id);
    const best = isKept ? bestOwner(id, added, known) : bestOwner(id, candidates, undefined);
    if (best === undefined) group.owners.delete(id);
    else if (best !== known) group.owners.set(id, best);
  });
  if (group.owners.size > upstreams.length) removeUnknown(group, upstreams);
  group.candidates = present;
}

function removeUnknown(group: DomainOwners, upstreams: readonly UpstreamConfig[]): void {
  const ids = new Set(upstreams.map((upstream) => upstream.id));
  group.owners.forEach((_, id) => {
    if (!ids.has(id)) group.owners.delete(id);
  });
}

function bestOwner(
  upstream: UpstreamId,
  candidates: readonly Candidate[],
  start: ScoredOwner | undefined,
): ScoredOwner | undefined {
  const upstreamHash = hash32(upstream);
  let best = start;
  for (const { id, hash } of candidates) {
    const score = rendezvousScoreOfHashes(upstreamHash, hash);
    if (best === undefined || score > best.score) best = { id, score };
  }
  return best;
}

/** Instances that may own the upstreams of a domain. */
function candidatesOf(state: CoreState, domain: FailureDomainId): readonly Member[] {
  const inDomain = owningAmong(membersOf(state, domain));
  if (inDomain.length > 0) return inDomain;
  const region = upstreamsIn(state, domain)[0]?.region;
  const all = owningMembers(state);
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
    const group = byDomain.get(upstream.domain) ?? [];
    byDomain.set(upstream.domain, group);
    group.push(upstream);
  });
  ownership.upstreamsByDomain = byDomain;
  ownership.indexedVersion = view.version;
  return byDomain;
}
