/** Updates of the member table, in which a later incarnation replaces an earlier one. */
import type { CoreContext } from '../context.js';
import type { CoreState } from '../state.js';
import type { InstanceId, Member } from '../types.js';

/**
 * Adds or updates a member that a relay vouches for, and returns whether it is accepted. What its
 * own heartbeats have reported takes precedence.
 */
export function adoptVouchedMember(ctx: CoreContext, member: Member): boolean {
  const known = ctx.state.membership.members.get(member.id);
  if (isDeparted(ctx.state, member.id, member.incarnation)) return false;
  if (known !== undefined && known.incarnation > member.incarnation) return false;
  if (known === undefined || known.incarnation < member.incarnation) {
    setMember(ctx.state, member);
  } else if (member.phase !== known.phase && member.beat >= known.beat) {
    setMember(ctx.state, { ...known, phase: member.phase });
  }
  ctx.state.membership.seeds.delete(member.id);
  return true;
}

export function setMember(state: CoreState, member: Member): void {
  const { membership } = state;
  const known = membership.members.get(member.id);
  membership.members.set(member.id, member);
  const isSame =
    known?.phase === member.phase &&
    known.incarnation === member.incarnation &&
    known.address === member.address;
  // The index may hold outdated member objects; only their identity, phase and address are used.
  if (!isSame) membership.generation += 1;
}

export function isDeparted(state: CoreState, id: InstanceId, incarnation: number): boolean {
  return (state.membership.departed.get(id)?.incarnation ?? -1) >= incarnation;
}
