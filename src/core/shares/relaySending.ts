/** Sending side of a relay: domain sums to other domains' relays, fleet sums to its own domain. */
import { sendToInstance, type CoreContext } from '../context.js';
import { liveDomains, membersOf } from '../membership/memberIndex.js';
import type { CustomerNumber, InstanceId, PoolNumber } from '../types.js';
import { groupOf, groupRelays, isPrimaryRelay } from './groups.js';
import { fleetSumOf, type RelayEntry } from './relayState.js';
import { encodeSums, SumScope, type SumEntry } from './sumsCodec.js';

interface SumBatch {
  readonly waiting: SumEntry[];
  readonly others: SumEntry[];
}

/** Sends domain sums that changed or are due for a refresh to the relays of the other domains. */
export function sendToOtherDomains(ctx: CoreContext): void {
  const { state } = ctx;
  const domains = liveDomains(state).filter((domain) => domain !== state.self.domain);
  forEachAccount(ctx, (account, entries) => {
    const batches = new Map<InstanceId, SumBatch>();
    entries.forEach((entry, customer) => {
      const isWaitingInOwnDomain = [...entry.waitingAt.keys()].some(
        (source) => !domains.includes(source),
      );
      if (!entry.isNewAbroad && !(isWaitingInOwnDomain && isRefreshDue(ctx, customer))) return;
      const group = groupOf(state, customer);
      if (!isPrimaryRelay(state, group)) return;
      entry.isNewAbroad = false;
      const sum = { customer, sum: entry.folded + entry.live, lift: entry.lift };
      domains.forEach((domain) => {
        const relay = groupRelays(state, domain, group)[0];
        if (relay !== undefined) addToBatch(batches, relay, sum, isWaitingInOwnDomain);
      });
    });
    batches.forEach((batch, relay) => {
      const header = { scope: SumScope.domain, account, origin: state.self.domain };
      const value = encodeSums(header, batch.waiting, batch.others);
      sendToInstance(ctx, relay, { $case: 'serviceSums', value });
    });
  });
}

/** Sends fleet sums that changed or are due for a refresh to all instances of the domain. */
export function sendToOwnDomain(ctx: CoreContext): void {
  const { state } = ctx;
  const { origins } = state.shares.relay;
  forEachAccount(ctx, (account, entries) => {
    const batch: SumBatch = { waiting: [], others: [] };
    entries.forEach((entry, customer) => {
      const isWaiting = entry.waitingAt.size > 0;
      if (!entry.isNewBelow && !(isWaiting && isRefreshDue(ctx, customer))) return;
      if (!isPrimaryRelay(state, groupOf(state, customer))) return;
      entry.isNewBelow = false;
      const sum = { customer, sum: fleetSumOf(entry), lift: entry.lift };
      (isWaiting ? batch.waiting : batch.others).push(sum);
    });
    if (batch.waiting.length + batch.others.length === 0) return;
    membersOf(state, state.self.domain).forEach((member) => {
      const acknowledged = origins.get(member.id)?.sequences.get(account) ?? 0;
      const header = { scope: SumScope.fleet, account, acknowledged };
      const value = encodeSums(header, batch.waiting, batch.others);
      sendToInstance(ctx, member.id, { $case: 'serviceSums', value });
    });
  });
}

/** Spreads the refreshes of unchanged sums evenly over the exchanges. */
function isRefreshDue(ctx: CoreContext, customer: CustomerNumber): boolean {
  const { settings, shares } = ctx.state;
  return (customer + shares.ticks / 2) % settings.refreshExchanges === 0;
}

function addToBatch(
  batches: Map<InstanceId, SumBatch>,
  relay: InstanceId,
  sum: SumEntry,
  isWaiting: boolean,
): void {
  const batch = batches.get(relay) ?? { waiting: [], others: [] };
  batches.set(relay, batch);
  (isWaiting ? batch.waiting : batch.others).push(sum);
}

function forEachAccount(
  ctx: CoreContext,
  action: (account: PoolNumber, entries: ReadonlyMap<CustomerNumber, RelayEntry>) => void,
): void {
  ctx.state.shares.relay.entries.forEach((entries, account) => action(account, entries));
}
