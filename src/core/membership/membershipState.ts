/**
 * State of the membership: this instance's view of all instances of the fleet, including itself.
 */
import type { Millis } from '../clock.js';
import type { FailureDomainId, InstanceId, InstanceIdentity, Member, RegionId } from '../types.js';

/**
 * An instance that may exist: it is listed by the platform or was a member. Not counted as live.
 */
export interface Seed {
  readonly id: InstanceId;
  readonly address: string;
  readonly domain: FailureDomainId;
  readonly region: RegionId;
  /** Time at which it was last listed, or removed from the members. */
  readonly seenAt: Millis;
}

/** An announced departure; messages from this or earlier incarnations are ignored. */
export interface Departure {
  readonly incarnation: number;
  readonly at: Millis;
}

/** The members of one failure domain that a relay vouches for, that is, reports as live. */
export interface VouchedDomain {
  readonly domain: FailureDomainId;
  readonly hash: number;
  readonly incarnations: ReadonlyMap<InstanceId, number>;
  refreshedAt: Millis;
}

/** Index of the live members, rebuilt when `MembershipState.generation` has changed. */
export interface MemberIndex {
  generation: number;
  byDomain: ReadonlyMap<FailureDomainId, readonly Member[]>;
  /** Cache of relays by key and domain. */
  readonly relays: Map<string, readonly Member[]>;
}

export interface MembershipState {
  /** Instances that this instance considers live. */
  readonly members: Map<InstanceId, Member>;
  readonly seeds: Map<InstanceId, Seed>;
  readonly departed: Map<InstanceId, Departure>;
  /** Members that relays vouch for, by relay and domain. */
  readonly vouched: Map<InstanceId, Map<FailureDomainId, VouchedDomain>>;
  /** Hash of the last summary sent, by receiver and domain. */
  readonly sentHashes: Map<InstanceId, Map<FailureDomainId, number>>;
  readonly index: MemberIndex;
  /** Sequence number of this instance's last heartbeat. */
  beat: number;
  /** Incremented when the live members or their phases, incarnations or addresses change. */
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
