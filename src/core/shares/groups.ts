/**
 * Customer groups and their relays: in each failure domain the sums of a group of customers are
 * collected by two instances, chosen by rendezvous hashing; the foremost speaks for the domain.
 */
import { relaysOf } from '../membership/memberIndex.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, FailureDomainId, InstanceId } from '../types.js';

export function groupOf(state: CoreState, customer: CustomerNumber): number {
  return customer % state.settings.customerGroups;
}

/** Returns the relays of a group in a domain, the foremost first. */
export function groupRelays(
  state: CoreState,
  domain: FailureDomainId,
  group: number,
): readonly InstanceId[] {
  const { shares, membership } = state;
  if (shares.relayGeneration !== membership.generation) {
    shares.relayCache.clear();
    shares.relayGeneration = membership.generation;
  }
  const key = `${group} ${domain}`;
  const known = shares.relayCache.get(key);
  if (known !== undefined) return known;
  const relays = relaysOf(state, domain, `group ${group}`).map((member) => member.id);
  shares.relayCache.set(key, relays);
  return relays;
}

/** Whether this instance speaks for its domain in a group. */
export function isForemost(state: CoreState, group: number): boolean {
  return groupRelays(state, state.self.domain, group)[0] === state.self.id;
}
