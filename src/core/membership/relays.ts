/**
 * Relays: two instances of each failure domain, chosen by rendezvous hashing, send summaries of the
 * live members of their domain to the relays of other domains, and forward the summaries they
 * receive within their own. While nothing changes only a hash is sent, so that the cost per
 * instance does not grow with the fleet.
 *
 * A relay forwards only members that their own domain vouches for. It does not forward what it
 * learned from another relay of its own domain; otherwise two relays could keep a dead instance
 * alive by vouching for it to each other.
 */
import { sendToInstance, type CoreContext } from '../context.js';
import type { Millis } from '../clock.js';
import type { CoreState } from '../state.js';
import type { FailureDomainId, InstanceId, Member, PeerMessageOf } from '../types.js';
import { decodeMember, encodeMember } from './memberCodec.js';
import { hashMembers, liveDomains, membersOf, relaysOf } from './memberIndex.js';
import { adoptVouchedMember } from './memberTable.js';
import type { VouchedDomain } from './membershipState.js';

type Summary = PeerMessageOf<'memberSummaries'>['domains'][number];

/** Heartbeats between summaries of the second relay; must be less than the member timeout. */
const SECOND_RELAY_INTERVAL_BEATS = 2;

/** `lastHeardAt` of a member that is known only from relays. */
const NEVER_HEARD: Millis = 0;

/** If this instance is a relay, sends the summaries that are due at this heartbeat. */
export function sendSummaries(ctx: CoreContext): void {
  const { state } = ctx;
  const { self, membership } = state;
  const relays = relaysOf(state, self.domain);
  const rank = relays.findIndex((relay) => relay.id === self.id);
  if (rank < 0) return;
  if (rank > 0 && membership.beat % SECOND_RELAY_INTERVAL_BEATS !== 0) return;
  const otherDomains = liveDomains(state).filter((domain) => domain !== self.domain);
  otherDomains.forEach((domain) => {
    relaysOf(state, domain).forEach((relay) => sendDomainSummaries(ctx, relay, [self.domain]));
  });
  if (otherDomains.length === 0) return;
  membersOf(state, self.domain).forEach((member) => {
    if (member.id !== self.id) sendDomainSummaries(ctx, member, otherDomains);
  });
}

/** Sends a full summary of this domain to an instance of another domain. */
export function sendOwnSummary(ctx: CoreContext, to: Member): void {
  sendDomainSummaries(ctx, to, [ctx.state.self.domain], true);
}

/** Sends full summaries of all other domains to a new member of this domain. */
export function sendAllSummaries(ctx: CoreContext, to: Member): void {
  const { self } = ctx.state;
  const domains = liveDomains(ctx.state).filter((domain) => domain !== self.domain);
  if (domains.length > 0) sendDomainSummaries(ctx, to, domains, true);
}

export function onMemberSummaries(
  ctx: CoreContext,
  from: InstanceId,
  message: PeerMessageOf<'memberSummaries'>,
): void {
  const domainsToRequest: FailureDomainId[] = [];
  message.domains.forEach((summary) => {
    // Members of the own domain are known from their heartbeats only.
    if (summary.domain === ctx.state.self.domain) return;
    if (!applySummary(ctx, from, summary)) domainsToRequest.push(summary.domain);
  });
  if (domainsToRequest.length === 0) return;
  sendToInstance(ctx, from, { $case: 'memberRequest', value: { domains: domainsToRequest } });
}

export function onMemberRequest(
  ctx: CoreContext,
  from: InstanceId,
  request: PeerMessageOf<'memberRequest'>,
): void {
  const member = ctx.state.membership.members.get(from);
  if (member !== undefined) sendDomainSummaries(ctx, member, request.domains, true);
}

/** Whether a relay of a remote member's domain or of this domain vouches for its incarnation. */
export function isVouched(state: CoreState, member: Member, now: Millis): boolean {
  if (member.domain === state.self.domain) return false;
  const cutoff = now - state.settings.memberTimeoutMs;
  for (const domains of state.membership.vouched.values()) {
    if (vouchesFor(domains, member, cutoff)) return true;
  }
  return false;
}

/**
 * Returns the members of another domain that this instance has heard directly or that a relay of
 * that domain vouches for.
 */
function forwardableMembers(
  state: CoreState,
  domain: FailureDomainId,
  now: Millis,
): readonly Member[] {
  const cutoff = now - state.settings.memberTimeoutMs;
  const members = membersOf(state, domain);
  const vouching = members
    .map((member) => state.membership.vouched.get(member.id))
    .filter((domains) => domains !== undefined);
  return members.filter((indexed) => {
    const member = state.membership.members.get(indexed.id) ?? indexed;
    if (member.lastHeardAt >= cutoff) return true;
    return vouching.some((domains) => vouchesFor(domains, member, cutoff));
  });
}

function vouchesFor(
  domains: ReadonlyMap<FailureDomainId, VouchedDomain>,
  member: Member,
  cutoff: Millis,
): boolean {
  const vouched = domains.get(member.domain);
  if (vouched === undefined || vouched.refreshedAt < cutoff) return false;
  return vouched.incarnations.get(member.id) === member.incarnation;
}

/** Applies a summary; returns false if the full list of members has to be requested. */
function applySummary(ctx: CoreContext, from: InstanceId, summary: Summary): boolean {
  const { vouched } = ctx.state.membership;
  const relaySummaries = vouched.get(from) ?? new Map();
  vouched.set(from, relaySummaries);
  const known = relaySummaries.get(summary.domain);
  if (!summary.full) {
    // An expired summary may contain members that have been removed since.
    const cutoff = ctx.now - ctx.state.settings.memberTimeoutMs;
    if (known?.hash !== summary.hash || known.refreshedAt < cutoff) return false;
    known.refreshedAt = ctx.now;
    return true;
  }
  const incarnations = new Map<InstanceId, number>();
  summary.members.forEach((info) => {
    if (info.id === ctx.state.self.id || info.domain !== summary.domain) return;
    const member = decodeMember(info, { lastHeardAt: NEVER_HEARD, configurationVersion: -1 });
    if (adoptVouchedMember(ctx, member)) incarnations.set(info.id, info.incarnation);
  });
  relaySummaries.set(summary.domain, {
    domain: summary.domain,
    hash: summary.hash,
    incarnations,
    refreshedAt: ctx.now,
  });
  return true;
}

function sendDomainSummaries(
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
    const members = isOwn ? membersOf(state, domain) : forwardableMembers(state, domain, ctx.now);
    if (members.length === 0) return;
    const hash = hashMembers(members);
    const full = forceFull || sent.get(domain) !== hash;
    sent.set(domain, hash);
    summaries.push({ domain, hash, full, members: full ? members.map(encodeMember) : [] });
  });
  if (summaries.length === 0) return;
  sendToInstance(ctx, to.id, { $case: 'memberSummaries', value: { domains: summaries } });
}
