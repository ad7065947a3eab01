/**
 * Relays: two instances of each failure domain, chosen by rendezvous hashing, tell the relays of the
 * other domains who lives in their own, and pass on to their domain what they hear. Only a hash is
 * sent while nothing changes, so that the cost of an instance does not grow with the fleet.
 *
 * A relay passes on only members that their own domain vouches for. What it learned from a relay of
 * its own domain it keeps to itself; otherwise two relays could keep a dead instance alive.
 */
import { sendTo, type CoreContext } from '../context.js';
import type { Millis } from '../clock.js';
import type { CoreState } from '../state.js';
import type { FailureDomainId, InstanceId, Member, PeerMessageOf } from '../types.js';
import { decodeMember, encodeMember } from './memberCodec.js';
import { hashMembers, liveDomains, membersOf, relaysOf } from './memberIndex.js';
import { adoptVouched } from './memberTable.js';
import type { VouchedDomain } from './membershipState.js';

type Summary = PeerMessageOf<'memberSummaries'>['domains'][number];

/** The second relay sends at every so many beats; less than the member timeout. */
const SECOND_RELAY_BEATS = 2;

/** `lastHeardAt` of a member of which only others have told. */
const NEVER_HEARD: Millis = 0;

/** Sends the summaries that are due at this beat, if this instance is a relay. */
export function sendSummaries(ctx: CoreContext): void {
  const { state } = ctx;
  const { self, membership } = state;
  const relays = relaysOf(state, self.domain);
  const rank = relays.findIndex((relay) => relay.id === self.id);
  if (rank < 0) return;
  if (rank > 0 && membership.beat % SECOND_RELAY_BEATS !== 0) return;
  const others = liveDomains(state).filter((domain) => domain !== self.domain);
  others.forEach((domain) => {
    relaysOf(state, domain).forEach((relay) => sendDomains(ctx, relay, [self.domain]));
  });
  if (others.length === 0) return;
  membersOf(state, self.domain).forEach((member) => {
    if (member.id !== self.id) sendDomains(ctx, member, others);
  });
}

/** Tells an instance of another domain of all members of this one. */
export function sendOwnSummary(ctx: CoreContext, to: Member): void {
  sendDomains(ctx, to, [ctx.state.self.domain], true);
}

/** Tells a newcomer of this domain of the members of all others. */
export function sendAllSummaries(ctx: CoreContext, to: Member): void {
  const { self } = ctx.state;
  const domains = liveDomains(ctx.state).filter((domain) => domain !== self.domain);
  if (domains.length > 0) sendDomains(ctx, to, domains, true);
}

export function onMemberSummaries(
  ctx: CoreContext,
  from: InstanceId,
  message: PeerMessageOf<'memberSummaries'>,
): void {
  const missing: FailureDomainId[] = [];
  message.domains.forEach((summary) => {
    // Of its own domain an instance believes only what it hears itself.
    if (summary.domain === ctx.state.self.domain) return;
    if (!takeSummary(ctx, from, summary)) missing.push(summary.domain);
  });
  if (missing.length === 0) return;
  sendTo(ctx, from, { $case: 'memberRequest', value: { domains: missing } });
}

export function onMemberRequest(
  ctx: CoreContext,
  from: InstanceId,
  request: PeerMessageOf<'memberRequest'>,
): void {
  const member = ctx.state.membership.members.get(from);
  if (member !== undefined) sendDomains(ctx, member, request.domains, true);
}

/** Whether a relay of the member's domain or of the own one vouches for its incarnation. */
export function isVouched(state: CoreState, member: Member, now: Millis): boolean {
  if (member.domain === state.self.domain) return false;
  const oldest = now - state.settings.memberTimeoutMs;
  for (const domains of state.membership.vouched.values()) {
    if (vouchesFor(domains, member, oldest)) return true;
  }
  return false;
}

/** Members of another domain that it vouches for itself, or that were heard directly. */
function firstHandMembers(
  state: CoreState,
  domain: FailureDomainId,
  now: Millis,
): readonly Member[] {
  const oldest = now - state.settings.memberTimeoutMs;
  const members = membersOf(state, domain);
  const vouching = members
    .map((member) => state.membership.vouched.get(member.id))
    .filter((domains) => domains !== undefined);
  return members.filter((indexed) => {
    const member = state.membership.members.get(indexed.id) ?? indexed;
    if (member.lastHeardAt >= oldest) return true;
    return vouching.some((domains) => vouchesFor(domains, member, oldest));
  });
}

function vouchesFor(
  domains: ReadonlyMap<FailureDomainId, VouchedDomain>,
  member: Member,
  oldest: Millis,
): boolean {
  const vouched = domains.get(member.domain);
  if (vouched === undefined || vouched.refreshedAt < oldest) return false;
  return vouched.incarnations.get(member.id) === member.incarnation;
}

/** Returns whether the summary is now known; false if its members have to be asked for. */
function takeSummary(ctx: CoreContext, from: InstanceId, summary: Summary): boolean {
  const { vouched } = ctx.state.membership;
  const ofRelay = vouched.get(from) ?? new Map();
  vouched.set(from, ofRelay);
  const known = ofRelay.get(summary.domain);
  if (!summary.full) {
    // An expired record may name members that were removed since.
    const oldest = ctx.now - ctx.state.settings.memberTimeoutMs;
    if (known?.hash !== summary.hash || known.refreshedAt < oldest) return false;
    known.refreshedAt = ctx.now;
    return true;
  }
  const incarnations = new Map<InstanceId, number>();
  summary.members.forEach((info) => {
    if (info.id === ctx.state.self.id || info.domain !== summary.domain) return;
    const member = decodeMember(info, { lastHeardAt: NEVER_HEARD, configurationVersion: -1 });
    if (adoptVouched(ctx, member)) incarnations.set(info.id, info.incarnation);
  });
  ofRelay.set(summary.domain, {
    domain: summary.domain,
    hash: summary.hash,
    incarnations,
    refreshedAt: ctx.now,
  });
  return true;
}

function sendDomains(
  ctx: CoreContext,
  to: Member,
  domains: readonly FailureDomainId[],
  forceFull = false,
): void {
  const { state } = ctx;
  const { sentHashes } = state.membership;
  const sent = sentHashes.get(to.id) ?? new Map<FailureDomainId, number>();
  sentHashes.set(to.id, sent);
  const summaries: Summary[] = [];
  domains.forEach((domain) => {
    const isOwn = domain === state.self.domain;
    const members = isOwn ? membersOf(state, domain) : firstHandMembers(state, domain, ctx.now);
    if (members.length === 0) return;
    const hash = hashMembers(members);
    const full = forceFull || sent.get(domain) !== hash;
    sent.set(domain, hash);
    summaries.push({ domain, hash, full, members: full ? members.map(encodeMember) : [] });
  });
  if (summaries.length === 0) return;
  sendTo(ctx, to.id, { $case: 'memberSummaries', value: { domains: summaries } });
}
