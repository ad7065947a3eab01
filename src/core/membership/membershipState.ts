/** State of membership: what this instance believes of every instance of the fleet, itself included. */
import type { Millis } from '../clock.js';
import type { FailureDomainId, InstanceId, InstanceIdentity, Member, RegionId } from '../types.js';

/** An instance that may exist: listed by the platform, or heard earlier. Not counted as live. */
export interface Seed {
  readonly id: InstanceId;
  readonly address: string;
  readonly domain: FailureDomainId;
  readonly region: RegionId;
  /** Last time at which the list named it or it was heard. */
  readonly seenAt: Millis;
}

/** An incarnation that announced its end; older news of it is ignored. */
export interface Departure {
  readonly incarnation: number;
  readonly at: Millis;
}

/** What one relay vouches for in one domain: ids with their incarnations. */
export interface VouchedDomain {
  readonly domain: FailureDomainId;
  readonly hash: number;
  readonly incarnations: ReadonlyMap<InstanceId, number>;
  refreshedAt: Millis;
}

/** Index of the members, rebuilt when `generation` has changed. */
export interface MemberIndex {
  generation: number;
  byDomain: ReadonlyMap<FailureDomainId, readonly Member[]>;
  /** Relays by key and domain, as far as they were asked for. */
  readonly relays: Map<string, readonly Member[]>;
}

export interface MembershipState {
  /** Live instances in this instance's belief. */
  readonly members: Map<InstanceId, Member>;
  readonly seeds: Map<InstanceId, Seed>;
  readonly departed: Map<InstanceId, Departure>;
  /** By relay, then by domain. */
  readonly vouched: Map<InstanceId, Map<FailureDomainId, VouchedDomain>>;
  /** Hash of the last full summary sent, by receiver, then by domain. */
  readonly sentHashes: Map<InstanceId, Map<FailureDomainId, number>>;
  readonly index: MemberIndex;
  /** Number of this instance's last heartbeat. */
  beat: number;
  /** Grows with every change of the set of live members or their phases. */
  generation: number;
}

export function createMembershipState(self: InstanceIdentity): MembershipState {
  const own: Member = {
    ...self,
    phase: 'starting',
    beat: 0,
    lastHeardAt: 0,
    configurationVersion: -1,
  };
  return {
    members: new Map([[self.id, own]]),
    seeds: new Map(),
    departed: new Map(),
    vouched: new Map(),
    sentHashes: new Map(),
    index: { generation: -1, byDomain: new Map(), relays: new Map() },
    beat: 0,
    generation: 0,
  };
}
