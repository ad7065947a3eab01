/**
 * Relays of service sums. A relay collects the sums of its groups' customers from the instances of
 * its domain, exchanges domain sums with the relays of the same groups elsewhere, and tells its
 * domain the sums of the fleet. It also decides lifts.
 *
 * The sum of a domain is what live origins reported plus what is folded: service of origins that
 * ended, or that another relay knows of. It only grows, and the largest value counts, so two relays
 * of one domain do no harm. A relay that begins asks others for what they hold; while it is new, the
 * first report of an origin counts as part of that instead of being added to it.
 */
import { sendTo, type CoreContext } from '../context.js';
import { exchangeInterval } from './exchangeInterval.js';
import type { Millis } from '../clock.js';
import { isLive, liveDomains, membersOf } from '../membership/memberIndex.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, InstanceId, PeerMessageOf, PoolNumber } from '../types.js';
import { groupOf, groupRelays } from './groups.js';
import { liftReturned } from './lifts.js';
import { createRelayEntry, type Origin, type RelayEntry } from './relayState.js';
import { sendBelow, sendAbroad } from './relaySending.js';
import { encodeSums, forEachSum, SumScope, type ServiceSums, type SumEntry } from './sumsCodec.js';

/** Exchanges during which a new relay still learns what others hold. */
const LEARNING_EXCHANGES = 4;

/** Exchanges without a message after which a customer no longer counts as waiting at an origin. */
const SILENT_EXCHANGES = 6;

/** Time after the loss of an origin at which its sums are folded. */
const FOLD_AFTER_MS: Millis = 60_000;

/** Time for which folded incarnations are remembered. */
const RETIRED_RETENTION_MS: Millis = 3_600_000;

/** Takes the sums that an instance of this domain charged. */
export function takeOriginSums(
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
  const until = waitingLimit(ctx);
  forEachSum(message, (sum, isWaiting) => {
    const entry = entryFor(ctx.state, message.pool, sum.customer);
    raiseOrigin(entry, from, sum.sum, isLearning(ctx, sum.customer));
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

/** Takes the sums of a domain from a relay of it, or of this domain from any other relay. */
export function takeDomainSums(ctx: CoreContext, message: ServiceSums): void {
  const { self } = ctx.state;
  const until = waitingLimit(ctx);
  const domain = message.origin;
  forEachSum(message, ({ customer, sum, lift }, isWaiting) => {
    const entry = entryFor(ctx.state, message.pool, customer);
    raiseLift(entry, lift);
    if (domain === self.domain) {
      raiseDomain(entry, sum);
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

/** Sends all that this relay holds of a group, to a relay that begins. */
export function onServiceRequest(
  ctx: CoreContext,
  from: InstanceId,
  request: PeerMessageOf<'serviceRequest'>,
): void {
  const { state } = ctx;
  const requester = state.membership.members.get(from);
  if (requester === undefined) return;
  const isNear = requester.domain === state.self.domain;
  const domains = isNear ? liveDomains(state) : [state.self.domain, requester.domain];
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
      sendTo(ctx, from, { $case: 'serviceSums', value });
    });
  });
}

/** Folds ended origins, decides lifts and sends what is due. */
export function relayOnTimer(ctx: CoreContext): void {
  takeOverGroups(ctx);
  foldLostOrigins(ctx);
  if (ctx.state.shares.relay.groups.size === 0) return;
  expireWaiting(ctx);
  liftReturned(ctx, (customer) => isLearning(ctx, customer));
  sendAbroad(ctx);
  sendBelow(ctx);
}

/** Notes which groups this instance relays and asks others for those that are new. */
function takeOverGroups(ctx: CoreContext): void {
  const { state } = ctx;
  const { groups } = state.shares.relay;
  for (let group = 0; group < state.settings.customerGroups; group += 1) {
    const relays = groupRelays(state, state.self.domain, group);
    if (!relays.includes(state.self.id)) groups.delete(group);
    else if (!groups.has(group)) {
      groups.set(group, ctx.now);
      askForGroup(ctx, group, relays);
    }
  }
}

function askForGroup(ctx: CoreContext, group: number, relays: readonly InstanceId[]): void {
  const { state } = ctx;
  // The relays of before may be any member of the domain; the foremost two of the others are asked.
  const near = membersOf(state, state.self.domain)
    .map((member) => member.id)
    .filter((id) => id !== state.self.id && !relays.includes(id))
    .slice(0, 1);
  const others = liveDomains(state)
    .filter((domain) => domain !== state.self.domain)
    .flatMap((domain) => groupRelays(state, domain, group).slice(0, 1));
  new Set([...relays, ...near, ...others]).forEach((id) => {
    if (id !== state.self.id) sendTo(ctx, id, { $case: 'serviceRequest', value: { group } });
  });
}

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
    if (ctx.now - at > RETIRED_RETENTION_MS) retired.delete(id);
  });
}

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

function raiseOrigin(entry: RelayEntry, origin: InstanceId, sum: number, isNew: boolean): void {
  const known = entry.byOrigin.get(origin);
  if (known !== undefined && known >= sum) return;
  if (known === undefined && isNew) entry.folded = Math.max(0, entry.folded - sum);
  entry.byOrigin.set(origin, sum);
  entry.live += sum - (known ?? 0);
  if (sum === 0) return;
  entry.isNewBelow = true;
  entry.isNewAbroad = true;
}

function raiseDomain(entry: RelayEntry, sum: number): void {
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
      entry.waitingAt.forEach((until, place) => {
        if (until <= ctx.now) entry.waitingAt.delete(place);
      });
    });
  });
}

function isLearning(ctx: CoreContext, customer: CustomerNumber): boolean {
  const { shares } = ctx.state;
  const since = shares.relay.groups.get(groupOf(ctx.state, customer)) ?? ctx.now;
  return ctx.now - since < LEARNING_EXCHANGES * exchangeInterval(ctx.state);
}

function waitingLimit(ctx: CoreContext): Millis {
  return ctx.now + SILENT_EXCHANGES * exchangeInterval(ctx.state);
}

function entryFor(state: CoreState, account: PoolNumber, customer: CustomerNumber): RelayEntry {
  const { entries } = state.shares.relay;
  const ofAccount = entries.get(account) ?? new Map<CustomerNumber, RelayEntry>();
  entries.set(account, ofAccount);
  const entry = ofAccount.get(customer) ?? createRelayEntry();
  ofAccount.set(customer, entry);
  return entry;
}
