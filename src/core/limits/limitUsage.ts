/**
 * Exchange of limit usage between instances. Each instance reports the customers whose usage
 * exceeds a threshold to the relay of the customer's group in its failure domain. Relays exchange
 * totals per domain and send the usage of the whole fleet to the instances that reported the
 * customer. Every report replaces the previous one.
 */
import { sendToInstance, setTimer, type CoreContext } from '../context.js';
import type { Millis } from '../clock.js';
import { liveDomains } from '../membership/memberIndex.js';
import { groupOf, groupRelays, isPrimaryRelay } from '../shares/groups.js';
import type { CoreState } from '../state.js';
import type { CustomerLimits, CustomerNumber, InstanceId, PeerMessageOf } from '../types.js';
import { recentArrivals } from './limits.js';
import type { LimitUsage, LocalUsage, ReportedUsage } from './limitsState.js';

type LimitUsageMessage = PeerMessageOf<'limitUsage'>;

const UsageScope = { instance: 0, domain: 1, fleet: 2 } as const;

const BYTES_PER_KIB = 1_024;

/**
 * Fraction of a limit, divided by the number of live instances, up to which usage is not reported.
 */
const REPORT_THRESHOLD = 1 / 8;

/** Number of exchange intervals after which a report expires. */
const REPORT_LIFETIME_EXCHANGES = 4;

interface UsageEntry extends LimitUsage {
  readonly customer: CustomerNumber;
  readonly users: number;
}

export function onLimitsTimer(ctx: CoreContext): void {
  const { limits, settings } = ctx.state;
  limits.ticks += 1;
  limits.fleet.forEach((usage, customer) => {
    if (usage.until <= ctx.now) limits.fleet.delete(customer);
  });
  if (limits.ticks % 2 === 1) reportLocalUsage(ctx);
  else relayUsage(ctx);
  setTimer(ctx, 'limits', settings.limitsMs / 2);
}

export function onLimitUsage(ctx: CoreContext, from: InstanceId, usage: LimitUsageMessage): void {
  const { limits, membership } = ctx.state;
  const domain = membership.members.get(from)?.domain;
  switch (usage.scope) {
    case UsageScope.instance:
    case UsageScope.domain: {
      const reporter = usage.scope === UsageScope.instance ? from : domain;
      const key = `${usage.scope} ${from}`;
      if (reporter === undefined || (limits.sequences.get(key) ?? 0) >= usage.sequence) return;
      limits.sequences.set(key, usage.sequence);
      forEachUsage(usage, (entry) => recordReport(ctx, reporter, entry));
      return;
    }
    case UsageScope.fleet:
      forEachUsage(usage, (entry) => recordFleetUsage(ctx, entry));
      break;
    default:
  }
}

function reportLocalUsage(ctx: CoreContext): void {
  const { state } = ctx;
  const { local, reported } = state.limits;
  const batches = new Map<InstanceId, UsageEntry[]>();
  const instances = state.membership.members.size;
  local.forEach((usage, customer) => {
    const config = state.configuration.view?.customers.get(customer);
    const entry = {
      customer,
      waiting: usage.waiting,
      bytes: usage.bytes,
      running: usage.running,
      arrivals: Math.round(recentArrivals(usage, ctx.now)),
      users: 1,
    };
    const shouldReport =
      config !== undefined && exceedsReportThreshold(entry, config.limits, instances);
    if (!shouldReport && !reported.has(customer)) {
      deleteIfIdle(state, customer, usage, entry);
      return;
    }
    if (shouldReport) reported.set(customer, entry);
    else reported.delete(customer);
    const relay = groupRelays(state, state.self.domain, groupOf(state, customer))[0];
    if (relay === undefined) return;
    const batch = batches.get(relay) ?? [];
    batches.set(relay, batch);
    // A report with no users withdraws the previous one.
    batch.push(shouldReport ? entry : { ...entry, users: 0 });
  });
  batches.forEach((batch, relay) => sendUsage(ctx, relay, UsageScope.instance, batch));
}

function relayUsage(ctx: CoreContext): void {
  const { state } = ctx;
  const { places, sequences, newcomers } = state.limits;
  const domains = liveDomains(state);
  const domainBatches = new Map<InstanceId, UsageEntry[]>();
  const memberBatches = new Map<InstanceId, UsageEntry[]>();
  places.forEach((reports, customer) => {
    reports.forEach((report, reporter) => {
      if (report.until <= ctx.now || report.users === 0) reports.delete(reporter);
    });
    const group = groupOf(state, customer);
    if (reports.size === 0 || !isPrimaryRelay(state, group)) {
      places.delete(customer);
      newcomers.delete(customer);
      return;
    }
    const localReporters = [...reports.keys()].filter((reporter) => !domains.includes(reporter));
    const domainTotal = sumUsage(
      customer,
      localReporters.map((reporter) => reports.get(reporter) as ReportedUsage),
    );
    const fleetTotal = sumUsage(customer, [...reports.values()]);
    if (!newcomers.delete(customer))
      localReporters.forEach((reporter) => addToBatch(memberBatches, reporter, fleetTotal));
    if (localReporters.length === 0) return;
    domains.forEach((domain) => {
      const relay = groupRelays(state, domain, group)[0];
      if (domain !== state.self.domain && relay !== undefined)
        addToBatch(domainBatches, relay, domainTotal);
    });
  });
  domainBatches.forEach((entries, relay) => sendUsage(ctx, relay, UsageScope.domain, entries));
  memberBatches.forEach((entries, member) => sendUsage(ctx, member, UsageScope.fleet, entries));
  sequences.forEach((_, key) => {
    if (!state.membership.members.has(key.slice(2))) sequences.delete(key);
  });
}

function exceedsReportThreshold(
  usage: LimitUsage,
  limits: CustomerLimits,
  instances: number,
): boolean {
  const threshold = REPORT_THRESHOLD / Math.max(1, instances);
  return (
    usage.waiting > limits.waitingRequests * threshold ||
    usage.bytes > limits.waitingBytes * threshold ||
    usage.running + usage.waiting > limits.concurrency * threshold ||
    usage.arrivals > limits.rate * threshold
  );
}

/** Deletes the usage of an idle customer, which equals the initial usage of a new one. */
function deleteIfIdle(
  state: CoreState,
  customer: CustomerNumber,
  local: LocalUsage,
  current: LimitUsage,
) {
  const isIdle = local.waiting === 0 && local.running === 0 && current.arrivals === 0;
  if (isIdle) state.limits.local.delete(customer);
}

function recordReport(ctx: CoreContext, reporter: string, entry: UsageEntry): void {
  const { places, newcomers } = ctx.state.limits;
  if (!places.has(entry.customer)) newcomers.add(entry.customer);
  const reports = places.get(entry.customer) ?? new Map<string, ReportedUsage>();
  places.set(entry.customer, reports);
  reports.set(reporter, { ...entry, until: reportExpiry(ctx) });
}

function recordFleetUsage(ctx: CoreContext, entry: UsageEntry): void {
  const { fleet, reported } = ctx.state.limits;
  const own = reported.get(entry.customer) ?? { waiting: 0, bytes: 0, running: 0, arrivals: 0 };
  fleet.set(entry.customer, { ...entry, own, until: reportExpiry(ctx) });
}

function reportExpiry(ctx: CoreContext): Millis {
  return ctx.now + REPORT_LIFETIME_EXCHANGES * ctx.state.settings.limitsMs;
}

function sumUsage(customer: CustomerNumber, reports: readonly ReportedUsage[]): UsageEntry {
  const sum = { customer, waiting: 0, bytes: 0, running: 0, arrivals: 0, users: 0 };
  reports.forEach((report) => {
    sum.waiting += report.waiting;
    sum.bytes += report.bytes;
    sum.running += report.running;
    sum.arrivals += report.arrivals;
    sum.users += report.users;
  });
  return sum;
}

function addToBatch(
  batches: Map<InstanceId, UsageEntry[]>,
  to: InstanceId,
  entry: UsageEntry,
): void {
  const batch = batches.get(to) ?? [];
  batches.set(to, batch);
  batch.push(entry);
}

function sendUsage(
  ctx: CoreContext,
  to: InstanceId,
  scope: number,
  entries: readonly UsageEntry[],
): void {
  const { limits } = ctx.state;
  limits.sequence += 1;
  const value: LimitUsageMessage = {
    scope,
    sequence: limits.sequence,
    customers: entries.map((entry) => entry.customer),
    waiting: entries.map((entry) => entry.waiting),
    waitingKib: entries.map((entry) => Math.ceil(entry.bytes / BYTES_PER_KIB)),
    running: entries.map((entry) => entry.running),
    rates: entries.map((entry) => entry.arrivals),
    users: entries.map((entry) => entry.users),
  };
  sendToInstance(ctx, to, { $case: 'limitUsage', value });
}

function forEachUsage(usage: LimitUsageMessage, action: (entry: UsageEntry) => void): void {
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
