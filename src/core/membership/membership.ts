/**
 * Membership: heartbeats between instances, with the platform's instance list as seed. Nothing is
 * agreed; views may differ for seconds.
 */
import { sendTo, setTimer, type CoreContext } from '../context.js';
import type { CoreState } from '../state.js';
import type { InstanceId, InstancePhase, ListedInstance, Member, PeerMessageOf } from '../types.js';

const PHASES: readonly InstancePhase[] = ['starting', 'ready', 'leaving'];

export function startMembership(ctx: CoreContext): void {
  ctx.emit({ kind: 'readInstanceList' });
  setTimer(ctx, 'instanceList', ctx.state.settings.instanceListMs);
  setTimer(ctx, 'heartbeat', 0);
}

/** Sends this instance's heartbeat to all known members and drops the silent ones. */
export function onHeartbeatTimer(ctx: CoreContext): void {
  const { membership, settings } = ctx.state;
  membership.beat += 1;
  updateSelf(ctx, { beat: membership.beat });
  removeSilentMembers(ctx);
  const heartbeat = encodeHeartbeat(ctx.state);
  forEachOther(ctx.state, (member) => {
    sendTo(ctx, member.id, { $case: 'heartbeat', value: heartbeat });
  });
  setTimer(ctx, 'heartbeat', settings.heartbeatMs);
}

export function onInstanceListTimer(ctx: CoreContext): void {
  ctx.emit({ kind: 'readInstanceList' });
  setTimer(ctx, 'instanceList', ctx.state.settings.instanceListMs);
}

/** Adds listed instances that were not known; the list lags, so it removes nobody. */
export function onInstanceList(ctx: CoreContext, instances: readonly ListedInstance[]): void {
  const { members } = ctx.state.membership;
  for (const listed of instances) {
    if (listed.kind === 'instance' && listed.state === 'live' && !members.has(listed.id)) {
      members.set(listed.id, {
        id: listed.id,
        incarnation: 0,
        address: listed.address,
        domain: listed.domain,
        region: listed.region,
        phase: 'starting',
        beat: 0,
        lastHeardAt: ctx.now,
        configurationVersion: -1,
      });
    }
  }
}

export function onHeartbeat(ctx: CoreContext, heartbeat: PeerMessageOf<'heartbeat'>): void {
  const info = heartbeat.member;
  if (info === undefined || info.id === ctx.state.self.id) return;
  const { members } = ctx.state.membership;
  const known = members.get(info.id);
  if (known !== undefined && !isNewer(info.incarnation, info.beat, known)) return;
  const member: Member = {
    id: info.id,
    incarnation: info.incarnation,
    address: info.address,
    domain: info.domain,
    region: info.region,
    phase: PHASES[info.phase] ?? 'starting',
    beat: info.beat,
    lastHeardAt: ctx.now,
    configurationVersion: heartbeat.configurationVersion,
  };
  members.set(info.id, member);
  if (known?.phase !== member.phase || known.incarnation !== member.incarnation) {
    noteChange(ctx.state);
  }
}

/** Changes this instance's own phase and tells the others at once. */
export function setOwnPhase(ctx: CoreContext, phase: InstancePhase): void {
  if (ownMember(ctx.state).phase === phase) return;
  updateSelf(ctx, { phase });
  noteChange(ctx.state);
  setTimer(ctx, 'heartbeat', 0);
}

/**
 * Returns the live instances that take part in ownership: the ready ones, or, where all are leaving,
 * those, since they still have accepted work to end.
 */
export function owningMembers(state: CoreState): readonly Member[] {
  const members = [...state.membership.members.values()];
  const ready = members.filter((member) => member.phase === 'ready');
  return ready.length > 0 ? ready : members.filter((member) => member.phase === 'leaving');
}

export function isLive(state: CoreState, id: InstanceId): boolean {
  return state.membership.members.has(id);
}

export function forEachOther(state: CoreState, action: (member: Member) => void): void {
  state.membership.members.forEach((member) => {
    if (member.id !== state.self.id) action(member);
  });
}

function ownMember(state: CoreState): Member {
  return state.membership.members.get(state.self.id) as Member;
}

function updateSelf(ctx: CoreContext, change: Partial<Member>): void {
  const { members } = ctx.state.membership;
  members.set(ctx.state.self.id, { ...ownMember(ctx.state), ...change, lastHeardAt: ctx.now });
}

function removeSilentMembers(ctx: CoreContext): void {
  const { membership, settings } = ctx.state;
  forEachOther(ctx.state, (member) => {
    if (ctx.now - member.lastHeardAt <= settings.memberTimeoutMs) return;
    membership.members.delete(member.id);
    ctx.emit({ kind: 'dropPeer', to: member.id });
    noteChange(ctx.state);
  });
}

function noteChange(state: CoreState): void {
  state.membership.generation += 1;
}

function isNewer(incarnation: number, beat: number, known: Member): boolean {
  if (incarnation !== known.incarnation) return incarnation > known.incarnation;
  return beat > known.beat;
}

function encodeHeartbeat(state: CoreState): PeerMessageOf<'heartbeat'> {
  const own = ownMember(state);
  return {
    member: {
      id: own.id,
      incarnation: own.incarnation,
      address: own.address,
      domain: own.domain,
      region: own.region,
      phase: PHASES.indexOf(own.phase),
      beat: own.beat,
    },
    configurationVersion: state.configuration.view?.version ?? -1,
    others: [],
  };
}
