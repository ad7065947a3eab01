/**
 * The exchange of limit use. Each instance reports the customers that use a noticeable part of a
 * limit to the relay of their group in its domain; relays exchange domain sums and tell the fleet's
 * use to the instances that reported the customer. Every report replaces the one before it.
 */
import { sendTo, setTimer, type CoreContext } from '../context.js';
import type { Millis } from '../clock.js';
import { liveDomains } from '../membership/memberIndex.js';
import { groupOf, groupRelays, isForemost } from '../shares/groups.js';
import type { CoreState } from '../state.js';
import type { CustomerLimits, CustomerNumber, InstanceId, PeerMessageOf } from '../types.js';
import { recentArrivals } from './limits.js';
import type { LimitUse, LocalUse, PlaceUse } from './limitsState.js';

type LimitUsage = PeerMessageOf<'limitUsage'>;

const UsageScope = { instance: 0, domain: 1, fleet: 2 } as const;

const BYTES_PER_KIB = 1_024;

/** Part of a limit, divided among the live instances, below which use is not reported. */
const NOTICEABLE_PART = 1 / 8;

/** Exchanges after which a report no longer counts. */
const REPORT_EXCHANGES = 4;

interface UsageEntry extends LimitUse {
  readonly customer: CustomerNumber;
  readonly users: number;
}

export function onLimitsTimer(ctx: CoreContext): void {
  const { limits, settings } = ctx.state;
  limits.ticks += 1;
  limits.fleet.forEach((use, customer) => {
    if (use.until <= ctx.now) limits.fleet.delete(customer);
  });
  if (limits.ticks % 2 === 1) reportOwn(ctx);
  else reportAsRelay(ctx);
  setTimer(ctx, 'limits', settings.limitsMs / 2);
}

export function onLimitUsage(ctx: CoreContext, from: InstanceId, usage: LimitUsage): void {
  const { limits, membership } = ctx.state;
  const domain = membership.members.get(from)?.domain;
  switch (usage.scope) {
    case UsageScope.instance:
    case UsageScope.domain: {
      const place = usage.scope === UsageScope.instance ? from : domain;
      const key = `${usage.scope} ${from}`;
      if (place === undefined || (limits.sequences.get(key) ?? 0) >= usage.sequence) return;
      limits.sequences.set(key, usage.sequence);
      forEachUsage(usage, (entry) => notePlace(ctx, place, entry));
      return;
    }
    case UsageScope.fleet:
      forEachUsage(usage, (entry) => noteFleet(ctx, entry));
      break;
    default:
  }
}

function reportOwn(ctx: CoreContext): void {
  const { state } = ctx;
  const { local, reported } = state.limits;
  const batches = new Map<InstanceId, UsageEntry[]>();
  const instances = state.membership.members.size;
  local.forEach((use, customer) => {
    const config = state.configuration.view?.customers.get(customer);
    const entry = {
      customer,
      waiting: use.waiting,
      bytes: use.bytes,
      running: use.running,
      arrivals: Math.round(recentArrivals(use, ctx.now)),
      users: 1,
    };
    const isNoticeable = config !== undefined && isNoticed(entry, config.limits, instances);
    if (!isNoticeable && !reported.has(customer)) {
      forgetIdle(state, customer, use, entry);
      return;
    }
    if (isNoticeable) reported.set(customer, entry);
    else reported.delete(customer);
    const relay = groupRelays(state, state.self.domain, groupOf(state, customer))[0];
    if (relay === undefined) return;
    const batch = batches.get(relay) ?? [];
    batches.set(relay, batch);
    batch.push(isNoticeable ? entry : { ...entry, users: 0 });
  });
  batches.forEach((batch, relay) => send(ctx, relay, UsageScope.instance, batch));
}

function reportAsRelay(ctx: CoreContext): void {
  const { state } = ctx;
  const { places, sequences, newcomers } = state.limits;
  const domains = liveDomains(state);
  const abroad = new Map<InstanceId, UsageEntry[]>();
  const below = new Map<InstanceId, UsageEntry[]>();
  places.forEach((ofCustomer, customer) => {
    ofCustomer.forEach((use, place) => {
      if (use.until <= ctx.now || use.users === 0) ofCustomer.delete(place);
    });
    const group = groupOf(state, customer);
    if (ofCustomer.size === 0 || !isForemost(state, group)) {
      places.delete(customer);
      newcomers.delete(customer);
      return;
    }
    const near = [...ofCustomer.keys()].filter((place) => !domains.includes(place));
    const ofDomain = total(
      customer,
      near.map((place) => ofCustomer.get(place) as PlaceUse),
    );
    const ofFleet = total(customer, [...ofCustomer.values()]);
    if (!newcomers.delete(customer)) near.forEach((place) => addTo(below, place, ofFleet));
    if (near.length === 0) return;
    domains.forEach((domain) => {
      const relay = groupRelays(state, domain, group)[0];
      if (domain !== state.self.domain && relay !== undefined) addTo(abroad, relay, ofDomain);
    });
  });
  abroad.forEach((entries, relay) => send(ctx, relay, UsageScope.domain, entries));
  below.forEach((entries, member) => send(ctx, member, UsageScope.fleet, entries));
  sequences.forEach((_, key) => {
    if (!state.membership.members.has(key.slice(2))) sequences.delete(key);
  });
}

function isNoticed(use: LimitUse, limits: CustomerLimits, instances: number): boolean {
  const part = NOTICEABLE_PART / Math.max(1, instances);
  return (
    use.waiting > limits.waitingRequests * part ||
    use.bytes > limits.waitingBytes * part ||
    use.running + use.waiting > limits.concurrency * part ||
    use.arrivals > limits.rate * part
  );
}

/** Forgets a customer whose state says no more than that of a new one. */
function forgetIdle(state: CoreState, customer: CustomerNumber, use: LocalUse, now: LimitUse) {
  const isIdle = use.waiting === 0 && use.running === 0 && now.arrivals === 0;
  if (isIdle) state.limits.local.delete(customer);
}

function notePlace(ctx: CoreContext, place: string, entry: UsageEntry): void {
  const { places, newcomers } = ctx.state.limits;
  if (!places.has(entry.customer)) newcomers.add(entry.customer);
  const ofCustomer = places.get(entry.customer) ?? new Map<string, PlaceUse>();
  places.set(entry.customer, ofCustomer);
  ofCustomer.set(place, { ...entry, until: limitOf(ctx) });
}

function noteFleet(ctx: CoreContext, entry: UsageEntry): void {
  const { fleet, reported } = ctx.state.limits;
  const own = reported.get(entry.customer) ?? { waiting: 0, bytes: 0, running: 0, arrivals: 0 };
  fleet.set(entry.customer, { ...entry, own, until: limitOf(ctx) });
}

function limitOf(ctx: CoreContext): Millis {
  return ctx.now + REPORT_EXCHANGES * ctx.state.settings.limitsMs;
}

function total(customer: CustomerNumber, uses: readonly PlaceUse[]): UsageEntry {
  const sum = { customer, waiting: 0, bytes: 0, running: 0, arrivals: 0, users: 0 };
  uses.forEach((use) => {
    sum.waiting += use.waiting;
    sum.bytes += use.bytes;
    sum.running += use.running;
    sum.arrivals += use.arrivals;
    sum.users += use.users;
  });
  return sum;
}

function addTo(batches: Map<InstanceId, UsageEntry[]>, to: InstanceId, entry: UsageEntry): void {
  const batch = batches.get(to) ?? [];
  batches.set(to, batch);
  batch.push(entry);
}

function send(
  ctx: CoreContext,
  to: InstanceId,
  scope: number,
  entries: readonly UsageEntry[],
): void {
  const { limits } = ctx.state;
  limits.sequence += 1;
  const value: LimitUsage = {
    scope,
    sequence: limits.sequence,
    customers: entries.map((entry) => entry.customer),
    waiting: entries.map((entry) => entry.waiting),
    waitingKib: entries.map((entry) => Math.ceil(entry.bytes / BYTES_PER_KIB)),
    running: entries.map((entry) => entry.running),
    rates: entries.map((entry) => entry.arrivals),
    users: entries.map((entry) => entry.users),
  };
  sendTo(ctx, to, { $case: 'limitUsage', value });
}

function forEachUsage(usage: LimitUsage, action: (entry: UsageEntry) => void): void {
  usage.customers.forEach((customer, i) => {
    action({
      customer,
      waiting: usage.waiting[i] ?? 0,
      bytes: (usage.waitingKib[i] ?? 0) * BYTES_PER_KIB,
      running: usage.running[i] ?? 0,
      arrivals: usage.rates[i] ?? 0,
      users: usage.users[i] ?? 0,
    });
  });
}
