/**
 * Membership: heartbeats among the instances of a failure domain; relays carry summaries between
 * domains (`relays.ts`). The platform's lagging list only names instances to try. Nothing is
 * agreed; views may differ for seconds.
 *
 * An instance of the own domain is live while its heartbeats arrive; one of another domain while a
 * relay vouches for it. A later incarnation replaces an earlier one; an announced end is final for
 * its incarnation, so that no late message brings it back.
 */
import { setTimer, type CoreContext } from '../context.js';
import type { Millis } from '../clock.js';
import type { CoreState } from '../state.js';
import type {
  InstanceId,
  InstancePhase,
  ListedInstance,
  Member,
  PeerMessage,
  PeerMessageOf,
} from '../types.js';
import { decodeMember, encodeMember } from './memberCodec.js';
import { forEachOther, membersOf, ownMember } from './memberIndex.js';
import type { Seed } from './membershipState.js';
import { isDeparted, setMember } from './memberTable.js';
import { isVouched, sendAllSummaries, sendOwnSummary, sendSummaries } from './relays.js';

export { forEachOther, isLive, owningMembers } from './memberIndex.js';

/** Beats between two attempts to reach instances that are listed or lost but not live. */
const PROBE_BEATS = 3;

/** Seeds of a domain without live members that one relay tries at a time. */
const PROBES_PER_DOMAIN = 2;

/** Time for which an instance that was lost, and is not listed, is still tried. */
const SEED_RETENTION_MS: Millis = 600_000;

/** Time for which an announced end is remembered; exceeds every delay of the list and the peers. */
const DEPARTURE_RETENTION_MS: Millis = 3_600_000;

export function startMembership(ctx: CoreContext): void {
  ctx.emit({ kind: 'readInstanceList' });
  setTimer(ctx, 'instanceList', ctx.state.settings.instanceListMs);
  setTimer(ctx, 'heartbeat', 0);
}

/** Sends this instance's heartbeat within its domain, relays' summaries, and drops the silent. */
export function onHeartbeatTimer(ctx: CoreContext): void {
  const { membership, settings, self } = ctx.state;
  membership.beat += 1;
  updateSelf(ctx, { beat: membership.beat });
  removeSilentMembers(ctx);
  forgetOldNews(ctx);
  const heartbeat = encodeHeartbeat(ctx.state);
  membersOf(ctx.state, self.domain).forEach((member) => {
    if (member.id !== self.id) emitTo(ctx, member, heartbeat);
  });
  if (membership.beat % PROBE_BEATS === 1) probeSeeds(ctx, heartbeat);
  sendSummaries(ctx);
  setTimer(ctx, 'heartbeat', settings.heartbeatMs);
}

export function onInstanceListTimer(ctx: CoreContext): void {
  ctx.emit({ kind: 'readInstanceList' });
  setTimer(ctx, 'instanceList', ctx.state.settings.instanceListMs);
}

/** Notes listed instances as seeds; the list lags, so it neither adds nor removes a member. */
export function onInstanceList(ctx: CoreContext, instances: readonly ListedInstance[]): void {
  const { members, seeds } = ctx.state.membership;
  let hasNews = false;
  for (const listed of instances) {
    if (listed.kind !== 'instance' || listed.state !== 'live') continue;
    if (listed.id === ctx.state.self.id || members.has(listed.id)) continue;
    hasNews ||= !seeds.has(listed.id);
    const { id, address, domain, region } = listed;
    seeds.set(id, { id, address, domain, region, seenAt: ctx.now });
  }
  if (hasNews) probeSeeds(ctx, encodeHeartbeat(ctx.state));
}

export function onHeartbeat(ctx: CoreContext, heartbeat: PeerMessageOf<'heartbeat'>): void {
  const info = heartbeat.member;
  if (info === undefined || info.id === ctx.state.self.id) return;
  const { members, seeds } = ctx.state.membership;
  if (isDeparted(ctx.state, info.id, info.incarnation)) return;
  const known = members.get(info.id);
  if (known !== undefined && !isNewer(info.incarnation, info.beat, known)) return;
  const member = decodeMember(info, {
    lastHeardAt: ctx.now,
    configurationVersion: heartbeat.configurationVersion,
  });
  setMember(ctx.state, member);
  seeds.delete(info.id);
  if (known?.incarnation !== info.incarnation) welcome(ctx, member);
  // Only a probe crosses domains: its sender knows nobody here, although it may be known.
  else if (member.domain !== ctx.state.self.domain) sendOwnSummary(ctx, member);
}

/** Removes an instance that has announced its end. */
export function onLeaving(
  ctx: CoreContext,
  from: InstanceId,
  leaving: PeerMessageOf<'leaving'>,
): void {
  const { members, departed, seeds } = ctx.state.membership;
  const known = departed.get(from)?.incarnation ?? -1;
  if (leaving.incarnation < known) return;
  departed.set(from, { incarnation: leaving.incarnation, at: ctx.now });
  seeds.delete(from);
  const member = members.get(from);
  if (member !== undefined && member.incarnation <= leaving.incarnation) removeMember(ctx, member);
}

/** Changes this instance's own phase and tells the others at once. */
export function setOwnPhase(ctx: CoreContext, phase: InstancePhase): void {
  if (ownMember(ctx.state).phase === phase) return;
  updateSelf(ctx, { phase });
  setTimer(ctx, 'heartbeat', 0);
}

function updateSelf(ctx: CoreContext, change: Partial<Member>): void {
  setMember(ctx.state, { ...ownMember(ctx.state), ...change, lastHeardAt: ctx.now });
}

/** Answers a newcomer at once, so that both sides know each other within one round trip. */
function welcome(ctx: CoreContext, member: Member): void {
  emitTo(ctx, member, encodeHeartbeat(ctx.state));
  if (member.domain === ctx.state.self.domain) sendAllSummaries(ctx, member);
  else sendOwnSummary(ctx, member);
}

function removeSilentMembers(ctx: CoreContext): void {
  const { settings, membership } = ctx.state;
  forEachOther(ctx.state, (member) => {
    if (ctx.now - member.lastHeardAt <= settings.memberTimeoutMs) return;
    if (isVouched(ctx.state, member, ctx.now)) return;
    removeMember(ctx, member);
    const { id, address, domain, region } = member;
    membership.seeds.set(id, { id, address, domain, region, seenAt: ctx.now });
  });
}

function removeMember(ctx: CoreContext, member: Member): void {
  const { membership } = ctx.state;
  membership.members.delete(member.id);
  membership.vouched.delete(member.id);
  membership.sentHashes.delete(member.id);
  membership.generation += 1;
  ctx.emit({ kind: 'dropPeer', to: member.id });
}

function forgetOldNews(ctx: CoreContext): void {
  const { seeds, departed } = ctx.state.membership;
  seeds.forEach((seed, id) => {
    if (ctx.now - seed.seenAt > SEED_RETENTION_MS) seeds.delete(id);
  });
  departed.forEach((departure, id) => {
    if (ctx.now - departure.at > DEPARTURE_RETENTION_MS) departed.delete(id);
  });
}

/** Tries the seeds of the own domain and a few of each domain of which no member is live. */
function probeSeeds(ctx: CoreContext, heartbeat: PeerMessage): void {
  const { state } = ctx;
  const distant = new Map<string, Seed[]>();
  state.membership.seeds.forEach((seed) => {
    if (seed.domain === state.self.domain) {
      emitTo(ctx, seed, heartbeat);
    } else if (membersOf(state, seed.domain).length === 0) {
      const group = distant.get(seed.domain) ?? [];
      distant.set(seed.domain, group);
      group.push(seed);
    }
  });
  distant.forEach((group) => {
    const start = state.random.nextInt(group.length);
    for (let i = 0; i < Math.min(PROBES_PER_DOMAIN, group.length); i += 1) {
      emitTo(ctx, group[(start + i) % group.length] as Seed, heartbeat);
    }
  });
}

function emitTo(
  ctx: CoreContext,
  to: { readonly id: InstanceId; readonly address: string },
  message: PeerMessage,
): void {
  ctx.emit({ kind: 'sendPeer', to: to.id, address: to.address, message });
}

function isNewer(incarnation: number, beat: number, known: Member): boolean {
  if (incarnation !== known.incarnation) return incarnation > known.incarnation;
  return beat > known.beat;
}

function encodeHeartbeat(state: CoreState): PeerMessage {
  const own = ownMember(state);
  return {
    $case: 'heartbeat',
    value: {
      member: encodeMember(own),
      configurationVersion: state.configuration.view?.version ?? -1,
      others: [],
    },
  };
}
