/**
 * Membership of the fleet. Instances of a failure domain exchange heartbeats, and relays exchange
 * summaries between domains (`relays.ts`). The platform's instance list lags behind and is only
 * used to find instances to contact. There is no consensus: the views of instances may differ for
 * seconds.
 *
 * An instance of the same domain is live while its heartbeats arrive, and one of another domain
 * while a relay vouches for it. A later incarnation replaces an earlier one. A departure is final
 * for its incarnation, so a delayed message cannot make the instance live again.
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

export { forEachOther, isLive, ownershipCandidates } from './memberIndex.js';

/** Heartbeats between two probes of instances that are listed or were lost but are not live. */
const PROBE_INTERVAL_BEATS = 3;

/** Maximum number of seeds probed at a time in each other domain without live members. */
const MAX_PROBES_PER_DOMAIN = 2;

/** Time for which an instance that was lost and is not listed is still probed. */
const SEED_RETENTION_MS: Millis = 600_000;

/** Time for which a departure is remembered; exceeds all delays of the list and of messages. */
const DEPARTURE_RETENTION_MS: Millis = 3_600_000;

export function startMembership(ctx: CoreContext): void {
  ctx.emit({ kind: 'readInstanceList' });
  setTimer(ctx, 'instanceList', ctx.state.settings.instanceListMs);
  setTimer(ctx, 'heartbeat', 0);
}

/** Removes timed-out members, and sends the heartbeat and the probes and summaries that are due. */
export function onHeartbeatTimer(ctx: CoreContext): void {
  const { membership, settings, self } = ctx.state;
  membership.beat += 1;
  updateOwnMember(ctx, { beat: membership.beat });
  removeTimedOutMembers(ctx);
  expireSeedsAndDepartures(ctx);
  const heartbeat = encodeHeartbeat(ctx.state);
  membersOf(ctx.state, self.domain).forEach((member) => {
    if (member.id !== self.id) sendToAddress(ctx, member, heartbeat);
  });
  if (membership.beat % PROBE_INTERVAL_BEATS === 1) probeSeeds(ctx, heartbeat);
  sendSummaries(ctx);
  setTimer(ctx, 'heartbeat', settings.heartbeatMs);
}

export function onInstanceListTimer(ctx: CoreContext): void {
  ctx.emit({ kind: 'readInstanceList' });
  setTimer(ctx, 'instanceList', ctx.state.settings.instanceListMs);
}

/** Adds listed instances as seeds. The list lags, so it neither adds nor removes members. */
export function onInstanceList(ctx: CoreContext, instances: readonly ListedInstance[]): void {
  const { members, seeds } = ctx.state.membership;
  let hasNewSeed = false;
  for (const listed of instances) {
    if (listed.kind !== 'instance' || listed.state !== 'live') continue;
    if (listed.id === ctx.state.self.id || members.has(listed.id)) continue;
    hasNewSeed ||= !seeds.has(listed.id);
    const { id, address, domain, region } = listed;
    seeds.set(id, { id, address, domain, region, seenAt: ctx.now });
  }
  if (hasNewSeed) probeSeeds(ctx, encodeHeartbeat(ctx.state));
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
  if (known?.incarnation !== info.incarnation) replyToNewMember(ctx, member);
  // Only probes cross domains. Their sender knows no live member of this domain, even if this
  // instance already knows the sender.
  else if (member.domain !== ctx.state.self.domain) sendOwnSummary(ctx, member);
}

/** Records the announced departure of an instance and removes it from the members. */
export function onLeaving(
  ctx: CoreContext,
  from: InstanceId,
  leaving: PeerMessageOf<'leaving'>,
): void {
  const { members, departed, seeds } = ctx.state.membership;
  const knownIncarnation = departed.get(from)?.incarnation ?? -1;
  if (leaving.incarnation < knownIncarnation) return;
  departed.set(from, { incarnation: leaving.incarnation, at: ctx.now });
  seeds.delete(from);
  const member = members.get(from);
  if (member !== undefined && member.incarnation <= leaving.incarnation) removeMember(ctx, member);
}

/** Changes this instance's phase and sends a heartbeat immediately. */
export function setOwnPhase(ctx: CoreContext, phase: InstancePhase): void {
  if (ownMember(ctx.state).phase === phase) return;
  updateOwnMember(ctx, { phase });
  setTimer(ctx, 'heartbeat', 0);
}

function updateOwnMember(ctx: CoreContext, change: Partial<Member>): void {
  setMember(ctx.state, { ...ownMember(ctx.state), ...change, lastHeardAt: ctx.now });
}

/** Replies to a new member immediately, so that both know each other within one round trip. */
function replyToNewMember(ctx: CoreContext, member: Member): void {
  sendToAddress(ctx, member, encodeHeartbeat(ctx.state));
  if (member.domain === ctx.state.self.domain) sendAllSummaries(ctx, member);
  else sendOwnSummary(ctx, member);
}

function removeTimedOutMembers(ctx: CoreContext): void {
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

function expireSeedsAndDepartures(ctx: CoreContext): void {
  const { seeds, departed } = ctx.state.membership;
  seeds.forEach((seed, id) => {
    if (ctx.now - seed.seenAt > SEED_RETENTION_MS) seeds.delete(id);
  });
  departed.forEach((departure, id) => {
    if (ctx.now - departure.at > DEPARTURE_RETENTION_MS) departed.delete(id);
  });
}

/** Probes all seeds of this domain and a few of each other domain without live members. */
function probeSeeds(ctx: CoreContext, heartbeat: PeerMessage): void {
  const { state } = ctx;
  const remoteSeeds = new Map<string, Seed[]>();
  state.membership.seeds.forEach((seed) => {
    if (seed.domain === state.self.domain) {
      sendToAddress(ctx, seed, heartbeat);
    } else if (membersOf(state, seed.domain).length === 0) {
      const group = remoteSeeds.get(seed.domain) ?? [];
      remoteSeeds.set(seed.domain, group);
      group.push(seed);
    }
  });
  remoteSeeds.forEach((group) => {
    const start = state.random.nextInt(group.length);
    for (let i = 0; i < Math.min(MAX_PROBES_PER_DOMAIN, group.length); i += 1) {
      sendToAddress(ctx, group[(start + i) % group.length] as Seed, heartbeat);
    }
  });
}

function sendToAddress(
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
