/** Queries over the live members, indexed by failure domain. */
import { hash32, rendezvousScore } from '../hash.js';
import type { CoreState } from '../state.js';
import type { FailureDomainId, InstanceId, Member } from '../types.js';
import type { MemberIndex } from './membershipState.js';

/** Relays per failure domain; with two, one can fail without interrupting the summaries. */
export const RELAYS_PER_DOMAIN = 2;

export function isLive(state: CoreState, id: InstanceId): boolean {
  return state.membership.members.has(id);
}

export function ownMember(state: CoreState): Member {
  return state.membership.members.get(state.self.id) as Member;
}

export function forEachOther(state: CoreState, action: (member: Member) => void): void {
  state.membership.members.forEach((member) => {
    if (member.id !== state.self.id) action(member);
  });
}

/** Returns the live members of a failure domain, sorted by id. */
export function membersOf(state: CoreState, domain: FailureDomainId): readonly Member[] {
  return memberIndex(state).byDomain.get(domain) ?? [];
}

/** Returns the failure domains that have live members. */
export function liveDomains(state: CoreState): readonly FailureDomainId[] {
  return [...memberIndex(state).byDomain.keys()];
}

/** Returns an order-independent hash of members. */
export function hashMembers(members: readonly Member[]): number {
  return members.reduce((hash, member) => (hash + hashMember(member)) >>> 0, 0);
}

/**
 * Returns the live instances that may own upstreams: the ready ones or, if there are none, the
 * leaving ones, which still have accepted work to finish.
 */
export function ownershipCandidates(state: CoreState): readonly Member[] {
  return filterOwnershipCandidates([...state.membership.members.values()]);
}

/** Filters members by the same rule as `ownershipCandidates`. */
export function filterOwnershipCandidates(members: readonly Member[]): readonly Member[] {
  const ready = members.filter((member) => member.phase === 'ready');
  return ready.length > 0 ? ready : members.filter((member) => member.phase === 'leaving');
}

/** Returns the relays of a failure domain for a key, the primary relay first. */
export function relaysOf(
  state: CoreState,
  domain: FailureDomainId,
  key = 'members',
): readonly Member[] {
  const { relays } = memberIndex(state);
  const cacheKey = `${key} ${domain}`;
  const cached = relays.get(cacheKey);
  if (cached !== undefined) return cached;
  const members = membersOf(state, domain);
  const ready = members.filter((member) => member.phase === 'ready');
  const candidates = ready.length > 0 ? ready : members;
  const chosen = topByRendezvousScore(candidates, `relay ${key}`, RELAYS_PER_DOMAIN);
  relays.set(cacheKey, chosen);
  return chosen;
}

/** Returns the `count` members with the highest rendezvous scores, in descending order. */
export function topByRendezvousScore(
  members: readonly Member[],
  key: string,
  count: number,
): readonly Member[] {
  const scored = members.map((member) => ({ member, score: rendezvousScore(key, member.id) }));
  scored.sort((a, b) => b.score - a.score);
  return scored.slice(0, count).map((entry) => entry.member);
}

function memberIndex(state: CoreState): MemberIndex {
  const { index, members, generation } = state.membership;
  if (index.generation === generation) return index;
  const byDomain = new Map<FailureDomainId, Member[]>();
  members.forEach((member) => {
    const group = byDomain.get(member.domain) ?? [];
    byDomain.set(member.domain, group);
    group.push(member);
  });
  byDomain.forEach((group) => group.sort((a, b) => (a.id < b.id ? -1 : 1)));
  index.generation = generation;
  index.byDomain = byDomain;
  index.relays.clear();
  return index;
}

function hashMember(member: Member): number {
  return hash32(`${member.id} ${member.incarnation} ${member.phase} ${member.address}`);
}
