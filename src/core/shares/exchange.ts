/**
 * Exchange of service sums, as done by every instance. An instance sends its charged service and
 * its waiting customers to the relays of the customers' groups in its domain and receives the sums
 * of the fleet from them. Sums only grow and are merged by maximum, so messages may be reordered,
 * duplicated or delayed.
 */
import { sendToInstance, setTimer, type CoreContext } from '../context.js';
import { isLive } from '../membership/memberIndex.js';
import { exchangeInterval } from './exchangeInterval.js';
import type { CoreState } from '../state.js';
import type { CustomerNumber, InstanceId } from '../types.js';
import { accountByNumber, accountOf, ensureCapacity, markWaiting } from './accounts.js';
import { groupOf, groupRelays } from './groups.js';
import { runRelayRound, applyDomainSums, applyOriginSums } from './relay.js';
import type { Account, SentSums } from './sharesState.js';
import { chargeRunningSlotTime } from './slotTime.js';
import {
  encodeSums,
  floorToWire,
  forEachSum,
  SumScope,
  type ServiceSums,
  type SumEntry,
} from './sumsCodec.js';

/** Number of exchanges without an update after which a customer no longer counts as waiting. */
export const WAITING_TTL_EXCHANGES = 8;

interface SumBatch {
  readonly waiting: SumEntry[];
  readonly others: SumEntry[];
}

/**
 * Runs twice per exchange: first, every instance sends its sums to the relays; half an interval
 * later, the relays distribute them.
 */
export function onExchangeTimer(ctx: CoreContext): void {
  const { shares } = ctx.state;
  shares.ticks += 1;
  if (shares.ticks % 2 === 1) {
    chargeRunningSlotTime(ctx);
    pruneSentSums(ctx.state);
    const waiting = waitingByAccount(ctx.state);
    shares.accounts.forEach((account) => {
      sendOwnSums(ctx, account, waiting.get(account) ?? new Set());
    });
  } else {
    runRelayRound(ctx);
  }
  setTimer(ctx, 'exchange', exchangeInterval(ctx.state) / 2);
}

/** Drops the sums sent to relays that are no longer live. */
function pruneSentSums(state: CoreState): void {
  state.shares.sent.forEach((_, relay) => {
    if (!isLive(state, relay)) state.shares.sent.delete(relay);
  });
}

export function onServiceSums(
  ctx: CoreContext,
  from: InstanceId,
  incarnation: number,
  message: ServiceSums,
): void {
  switch (message.scope) {
    case SumScope.instance:
      applyOriginSums(ctx, from, incarnation, message);
      return;
    case SumScope.domain:
      applyDomainSums(ctx, message);
      return;
    case SumScope.fleet:
      applyFleetSums(ctx, from, message);
      break;
    default:
  }
}

/** Returns the customers with requests in the queues of this instance, by account. */
function waitingByAccount(state: CoreState): ReadonlyMap<Account, ReadonlySet<CustomerNumber>> {
  const waiting = new Map<Account, Set<CustomerNumber>>();
  state.dispatch.queues.forEach((queues, pool) => {
    const account = accountOf(state, pool);
    if (account === undefined) return;
    const customers = waiting.get(account) ?? new Set<CustomerNumber>();
    waiting.set(account, customers);
    queues.forEach((queue, customer) => {
      if (queue.length > 0) customers.add(customer);
    });
  });
  return waiting;
}

function sendOwnSums(
  ctx: CoreContext,
  account: Account,
  waiting: ReadonlySet<CustomerNumber>,
): void {
  const { state } = ctx;
  const batches = new Map<InstanceId, SumBatch>();
  const add = (customer: CustomerNumber, isWaiting: boolean) => {
    ensureCapacity(account, customer);
    const sum = floorToWire(account.own[customer] ?? 0);
    const entry = { customer, sum, lift: account.lift[customer] ?? 0 };
    groupRelays(state, state.self.domain, groupOf(state, customer)).forEach((relay) => {
      const batch = batches.get(relay) ?? { waiting: [], others: [] };
      batches.set(relay, batch);
      (isWaiting ? batch.waiting : batch.others).push(entry);
    });
  };
  waiting.forEach((customer) => add(customer, true));
  account.unsent.forEach((customer) => {
    if (waiting.has(customer)) return;
    if (floorToWire(account.own[customer] ?? 0) > (account.acknowledged[customer] ?? 0)) {
      add(customer, false);
    } else {
      account.unsent.delete(customer);
    }
  });
  addEmptyBatches(state, account, batches);
  batches.forEach((batch, relay) => sendBatch(ctx, account, relay, batch));
}

/** Adds an empty batch for each relay whose last batch had entries but that now has none. */
function addEmptyBatches(
  state: CoreState,
  account: Account,
  batches: Map<InstanceId, SumBatch>,
): void {
  state.shares.sent.forEach((ofRelay, relay) => {
    const last = ofRelay.get(account.number);
    if (last === undefined || batches.has(relay)) return;
    if (last.customers.length > 0) batches.set(relay, { waiting: [], others: [] });
  });
}

function sendBatch(ctx: CoreContext, account: Account, relay: InstanceId, batch: SumBatch): void {
  const { shares } = ctx.state;
  shares.sequence += 1;
  const value = encodeSums(
    { scope: SumScope.instance, account: account.number, sequence: shares.sequence },
    batch.waiting,
    batch.others,
  );
  const entries = [...batch.waiting, ...batch.others];
  const ofRelay = shares.sent.get(relay) ?? new Map<number, SentSums>();
  shares.sent.set(relay, ofRelay);
  ofRelay.set(account.number, {
    sequence: shares.sequence,
    customers: entries.map((entry) => entry.customer),
    sums: entries.map((entry) => entry.sum),
  });
  sendToInstance(ctx, relay, { $case: 'serviceSums', value });
}

function applyFleetSums(ctx: CoreContext, from: InstanceId, message: ServiceSums): void {
  const account = accountByNumber(ctx.state, message.pool);
  const until = ctx.now + WAITING_TTL_EXCHANGES * exchangeInterval(ctx.state);
  forEachSum(message, ({ customer, sum, lift }, isWaiting) => {
    ensureCapacity(account, customer);
    account.fleet[customer] = Math.max(account.fleet[customer] ?? 0, sum);
    account.lift[customer] = Math.max(account.lift[customer] ?? 0, lift);
    if (isWaiting) markWaiting(account, customer, until);
    else account.waitingUntil[customer] = 0;
  });
  acknowledge(ctx.state, account, from, message.acknowledged);
}

/** Records that the fleet's sums include the sums sent to a relay under a sequence number. */
function acknowledge(state: CoreState, account: Account, relay: InstanceId, sequence: number) {
  const sent = state.shares.sent.get(relay)?.get(account.number);
  if (sent?.sequence !== sequence) return;
  sent.customers.forEach((customer, i) => {
    const sum = sent.sums[i] ?? 0;
    account.acknowledged[customer] = Math.max(account.acknowledged[customer] ?? 0, sum);
  });
}
