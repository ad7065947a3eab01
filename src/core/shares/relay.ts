/**
 * Relays of service sums. A relay collects the sums of its groups' customers from the instances of
 * its domain (the origins), exchanges domain sums with the relays of the same groups in other
 * domains, and sends the fleet sums to the instances of its domain. It also decides lifts.
 *
 * The sum of a domain consists of the sums reported by live origins and the folded service: that of
 * origins that ended, or that was learned from another relay. It only grows and is merged by
 * maximum, so a domain may safely have two relays. A new relay requests the sums held by others;
 * while it is learning, the first report of an origin counts as part of those sums instead of being
 * added to them.
 */
import { sendToInstance, type CoreContext } from '../context.js';
import { exchangeInterval } from './exchangeInterval.js';
import type { Millis } from '../clock.js';
import { isLive, liveDomains, membersOf } from '../membership/memberIndex.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, InstanceId, PeerMessageOf, PoolNumber } from '../types.js';
import { groupOf, groupRelays } from './groups.js';
import { applyLifts } from './lifts.js';
import { createRelayEntry, type Origin, type RelayEntry } from './relayState.js';
import { sendToOwnDomain, sendToOtherDomains } from './relaySending.js';
import { encodeSums, forEachSum, SumScope, type ServiceSums, type SumEntry } from './sumsCodec.js';

/** Number of exchanges during which a new relay is still learning the sums of others. */
const LEARNING_EXCHANGES = 4;

/**
 * Number of exchanges without an update after which a customer no longer counts as waiting at an
 * origin.
 */
const ORIGIN_WAITING_TTL_EXCHANGES = 6;

/** Time since the last message of a lost origin after which its sums are folded. */
const FOLD_AFTER_MS: Millis = 60_000;

/** Time for which folded incarnations are kept in order to reject their late messages. */
const FOLDED_RETENTION_MS: Millis = 3_600_000;

/** Applies the sums charged by an instance of this domain. */
export function applyOriginSums(
  ctx: CoreContext,
  from: InstanceId,
  incarnation: number,
  message: ServiceSums,
): void {
  const origin = originFor(ctx, from, incarnation);
  if (origin === undefined) return;
  if ((origin.sequences.get(message.pool) ?? 0) >= message.sequence) return;
  origin.sequences.set(message.pool, message.sequence);
  origin.heardAt = ctx.now;
  const waiting = new Set<CustomerNumber>();
  const until = waitingExpiry(ctx);
  forEachSum(message, (sum, isWaiting) => {
    const entry = entryFor(ctx.state, message.pool, sum.customer);
    raiseOriginSum(entry, from, sum.sum, isLearning(ctx, sum.customer));
    raiseLift(entry, sum.lift);
    if (!isWaiting) return;
    waiting.add(sum.customer);
    entry.waitingAt.set(from, until);
  });
  origin.waiting.get(message.pool)?.forEach((customer) => {
    if (!waiting.has(customer)) entryFor(ctx.state, message.pool, customer).waitingAt.delete(from);
  });
  origin.waiting.set(message.pool, waiting);
}

/** Applies the sums of another domain from one of its relays, or of this domain from any relay. */
export function applyDomainSums(ctx: CoreContext, message: ServiceSums): void {
  const { self } = ctx.state;
  const until = waitingExpiry(ctx);
  const domain = message.origin;
  forEachSum(message, ({ customer, sum, lift }, isWaiting) => {
    const entry = entryFor(ctx.state, message.pool, customer);
    raiseLift(entry, lift);
    if (domain === self.domain) {
      raiseDomainSum(entry, sum);
      return;
    }
    if (sum > (entry.byDomain.get(domain) ?? 0)) {
      entry.byDomain.set(domain, sum);
      entry.isNewBelow = true;
    }
    if (isWaiting) entry.waitingAt.set(domain, until);
    else entry.waitingAt.delete(domain);
  });
}

/** Sends all sums that this relay holds for a group to a new relay. */
export function onServiceRequest(
  ctx: CoreContext,
  from: InstanceId,
  request: PeerMessageOf<'serviceRequest'>,
): void {
  const { state } = ctx;
  const requester = state.membership.members.get(from);
  if (requester === undefined) return;
  const isSameDomain = requester.domain === state.self.domain;
  const domains = isSameDomain ? liveDomains(state) : [state.self.domain, requester.domain];
  state.shares.relay.entries.forEach((entries, account) => {
    domains.forEach((domain) => {
      const sums: SumEntry[] = [];
      entries.forEach((entry, customer) => {
        if (groupOf(state, customer) !== request.group) return;
        const isOwn = domain === state.self.domain;
        const sum = isOwn ? entry.folded + entry.live : (entry.byDomain.get(domain) ?? 0);
        if (sum > 0) sums.push({ customer, sum, lift: entry.lift });
      });
      if (sums.length === 0) return;
      const value = encodeSums({ scope: SumScope.domain, account, origin: domain }, [], sums);
      sendToInstance(ctx, from, { $case: 'serviceSums', value });
    });
  });
}

/** Folds lost origins, decides lifts and sends the sums that are due. */
export function runRelayRound(ctx: CoreContext): void {
  updateRelayedGroups(ctx);
  foldLostOrigins(ctx);
  if (ctx.state.shares.relay.groups.size === 0) return;
  expireWaiting(ctx);
  applyLifts(ctx, (customer) => isLearning(ctx, customer));
  sendToOtherDomains(ctx);
  sendToOwnDomain(ctx);
}

/** Updates the set of groups that this instance relays and requests the sums of new ones. */
function updateRelayedGroups(ctx: CoreContext): void {
  const { state } = ctx;
  const { groups } = state.shares.relay;
  for (let group = 0; group < state.settings.customerGroups; group += 1) {
    const relays = groupRelays(state, state.self.domain, group);
    if (!relays.includes(state.self.id)) groups.delete(group);
    else if (!groups.has(group)) {
      groups.set(group, ctx.now);
      requestGroupSums(ctx, group, relays);
    }
  }
}

function requestGroupSums(ctx: CoreContext, group: number, relays: readonly InstanceId[]): void {
  const { state } = ctx;
  // Any other member of the domain may have been a relay before; only the first of them is asked.
  const otherMembers = membersOf(state, state.self.domain)
    .map((member) => member.id)
    .filter((id) => id !== state.self.id && !relays.includes(id))
    .slice(0, 1);
  const remoteRelays = liveDomains(state)
    .filter((domain) => domain !== state.self.domain)
    .flatMap((domain) => groupRelays(state, domain, group).slice(0, 1));
  new Set([...relays, ...otherMembers, ...remoteRelays]).forEach((id) => {
    if (id !== state.self.id)
      sendToInstance(ctx, id, { $case: 'serviceRequest', value: { group } });
  });
}

/** Returns the state of an origin, or undefined if the message is from an earlier incarnation. */
function originFor(ctx: CoreContext, id: InstanceId, incarnation: number): Origin | undefined {
  const { origins, retired } = ctx.state.shares.relay;
  const known = origins.get(id);
  if (known?.incarnation === incarnation) return known;
  if (known !== undefined && known.incarnation > incarnation) return undefined;
  if ((retired.get(id)?.incarnation ?? -1) >= incarnation) return undefined;
  if (known !== undefined) foldOrigin(ctx, id, known);
  const origin: Origin = {
    incarnation,
    heardAt: ctx.now,
    sequences: new Map(),
    waiting: new Map(),
  };
  origins.set(id, origin);
  return origin;
}

function foldLostOrigins(ctx: CoreContext): void {
  const { origins, retired } = ctx.state.shares.relay;
  origins.forEach((origin, id) => {
    const isLost = !isLive(ctx.state, id) && ctx.now - origin.heardAt > FOLD_AFTER_MS;
    if (isLost) foldOrigin(ctx, id, origin);
  });
  retired.forEach(({ at }, id) => {
    if (ctx.now - at > FOLDED_RETENTION_MS) retired.delete(id);
  });
}

/** Moves the sums of an origin from the live to the folded part. */
function foldOrigin(ctx: CoreContext, id: InstanceId, origin: Origin): void {
  const { entries, origins, retired } = ctx.state.shares.relay;
  entries.forEach((ofAccount) => {
    ofAccount.forEach((entry) => {
      const sum = entry.byOrigin.get(id);
      entry.waitingAt.delete(id);
      if (sum === undefined) return;
      entry.byOrigin.delete(id);
      entry.live -= sum;
      entry.folded += sum;
    });
  });
  origins.delete(id);
  retired.set(id, { incarnation: origin.incarnation, at: ctx.now });
}

function raiseOriginSum(
  entry: RelayEntry,
  origin: InstanceId,
  sum: number,
  isRelayLearning: boolean,
): void {
  const known = entry.byOrigin.get(origin);
  if (known !== undefined && known >= sum) return;
  if (known === undefined && isRelayLearning) entry.folded = Math.max(0, entry.folded - sum);
  entry.byOrigin.set(origin, sum);
  entry.live += sum - (known ?? 0);
  if (sum === 0) return;
  entry.isNewBelow = true;
  entry.isNewAbroad = true;
}

function raiseDomainSum(entry: RelayEntry, sum: number): void {
  const missing = sum - entry.folded - entry.live;
  if (missing <= 0) return;
  entry.folded += missing;
  entry.isNewBelow = true;
  entry.isNewAbroad = true;
}

function raiseLift(entry: RelayEntry, lift: number): void {
  if (lift <= entry.lift) return;
  entry.lift = lift;
  entry.isNewBelow = true;
  entry.isNewAbroad = true;
}

function expireWaiting(ctx: CoreContext): void {
  ctx.state.shares.relay.entries.forEach((entries) => {
    entries.forEach((entry) => {
      if (entry.waitingAt.size === 0) return;
      entry.waitingAt.forEach((until, source) => {
        if (until <= ctx.now) entry.waitingAt.delete(source);
      });
    });
  });
}

function isLearning(ctx: CoreContext, customer: CustomerNumber): boolean {
  const { shares } = ctx.state;
  const since = shares.relay.groups.get(groupOf(ctx.state, customer)) ?? ctx.now;
  return ctx.now - since < LEARNING_EXCHANGES * exchangeInterval(ctx.state);
}

function waitingExpiry(ctx: CoreContext): Millis {
  return ctx.now + ORIGIN_WAITING_TTL_EXCHANGES * exchangeInterval(ctx.state);
}

function entryFor(state: CoreState, account: PoolNumber, customer: CustomerNumber): RelayEntry {
  const { entries } = state.shares.relay;
  const ofAccount = entries.get(account) ?? new Map<CustomerNumber, RelayEntry>();
  entries.set(account, ofAccount);
  const entry = ofAccount.get(customer) ?? createRelayEntry();
  ofAccount.set(customer, entry);
  return entry;
}
