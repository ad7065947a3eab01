/** State of membership: what this instance believes of every instance of the fleet, itself included. */
import type { InstanceId, InstanceIdentity, Member } from '../types.js';

export interface MembershipState {
  readonly members: Map<InstanceId, Member>;
  /** Number of this instance's last heartbeat. */
  beat: number;
  /** Grows with every change of the set of live members. */
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
  return { members: new Map([[self.id, own]]), beat: 0, generation: 0 };
}
