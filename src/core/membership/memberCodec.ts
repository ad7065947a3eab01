/** Encoding of members in heartbeats and summaries. */
import type { InstancePhase, Member, PeerMessageOf } from '../types.js';

export type MemberInfo = NonNullable<PeerMessageOf<'heartbeat'>['member']>;

const PHASES: readonly InstancePhase[] = ['starting', 'ready', 'leaving'];

export function encodeMember(member: Member): MemberInfo {
  const { id, incarnation, address, domain, region, beat } = member;
  return { id, incarnation, address, domain, region, beat, phase: PHASES.indexOf(member.phase) };
}

export function decodeMember(
  info: MemberInfo,
  known: Pick<Member, 'lastHeardAt' | 'configurationVersion'>,
): Member {
  const { id, incarnation, address, domain, region, beat } = info;
  const phase = PHASES[info.phase] ?? 'starting';
  return { id, incarnation, address, domain, region, beat, phase, ...known };
}
