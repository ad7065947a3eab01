/**
 * Customer groups and their relays. In each failure domain, two instances chosen by rendezvous
 * hashing collect the sums of a customer group; the first of them, the primary, sends on behalf of
 * the domain.
 */
import { relaysOf } from '../membership/memberIndex.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, FailureDomainId, InstanceId } from '../types.js';

/** Returns the group of a customer. */
export function groupOf(state: CoreState, customer: CustomerNumber): number {
  return customer % state.settings.customerGroups;
}

/** Returns the relays of a group in a domain, the primary first. */
export function groupRelays(
  state: CoreState,
  domain: FailureDomainId,
  group: number,
): readonly InstanceId[] {
  return relaysOf(state, domain, `group ${group}`).map((member) => member.id);
}

/** Whether this instance is the primary relay of a group in its domain. */
export function isPrimaryRelay(state: CoreState, group: number): boolean {
  return groupRelays(state, state.self.domain, group)[0] === state.self.id;
}
