/**
 * Ownership: every upstream has one owner at a time in the view of each instance, by rendezvous
 * hashing over the ready instances of the upstream's failure domain, else of its region, else of
 * the fleet. Views may differ for seconds; two owners are safe (docs/DESIGN.md).
 */
import { rendezvousScore } from '../hash.js';
import { owningMembers } from '../membership/membership.js';
import type { CoreState } from '../state.js';
import type { InstanceId, Member, UpstreamConfig, UpstreamId } from '../types.js';

/** Returns the owner of an upstream, if any instance is ready. */
export function ownerOf(state: CoreState, upstream: UpstreamId): InstanceId | undefined {
  refresh(state);
  return state.ownership.owners.get(upstream);
}

export function isOwner(state: CoreState, upstream: UpstreamId): boolean {
  return ownerOf(state, upstream) === state.self.id;
}

/** Calls `action` for each upstream that this instance owns. */
export function forEachOwned(state: CoreState, action: (upstream: UpstreamConfig) => void): void {
  refresh(state);
  state.ownership.owners.forEach((owner, id) => {
    const upstream = state.configuration.view?.upstreams.get(id);
    if (owner === state.self.id && upstream !== undefined) action(upstream);
  });
}

function refresh(state: CoreState): void {
  const { ownership, membership, configuration } = state;
  const { view } = configuration;
  if (view === undefined) return;
  const isCurrent =
    ownership.generation === membership.generation &&
    ownership.configurationVersion === view.version;
  if (isCurrent) return;
  ownership.owners.clear();
  const owning = owningMembers(state);
  view.upstreams.forEach((upstream) => {
    const owner = chooseOwner(upstream, owning);
    if (owner !== undefined) ownership.owners.set(upstream.id, owner.id);
  });
  ownership.generation = membership.generation;
  ownership.configurationVersion = view.version;
}

function chooseOwner(upstream: UpstreamConfig, owning: readonly Member[]): Member | undefined {
  const sameDomain = owning.filter((member) => member.domain === upstream.domain);
  const sameRegion = owning.filter((member) => member.region === upstream.region);
  const candidates = [sameDomain, sameRegion, owning].find((group) => group.length > 0) ?? [];
  return greatest(candidates, (member) => rendezvousScore(upstream.id, member.id));
}

function greatest<T>(items: readonly T[], score: (item: T) => number): T | undefined {
  let best: T | undefined;
  let bestScore = -Infinity;
  for (const item of items) {
    const itemScore = score(item);
    if (itemScore > bestScore) {
      best = item;
      bestScore = itemScore;
    }
  }
  return best;
}
