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
  return relaysOf(state, domain, `group ${group}`).map((member) => member.id);
}

/** Whether this instance speaks for its domain in a group. */
export function isForemost(state: CoreState, group: number): boolean {
  return groupRelays(state, state.self.domain, group)[0] === state.self.id;
}
