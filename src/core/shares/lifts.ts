/**
 * Lifts, decided by the foremost relay of a customer's group. A customer that returns from idle is
 * raised to the least virtual service among the waiting, so that idling earns no credit. A customer
 * that lags the most-served waiting one by more than the debt cap is raised to the cap; that bounds
 * what is repaid after a partition. When weights change, all history would be weighed anew, so every
 * waiting customer is raised to the most served one and the new weights count from there on. A lift is
 * a largest-value register: it only grows.
 */
import type { CoreContext } from '../context.js';
import { liveDomains } from '../membership/memberIndex.js';
import type { CustomerNumber, PoolNumber } from '../types.js';
import { accountByNumber, forEachWaiting, settledIn, weightIn } from './accounts.js';
import { groupOf, isForemost } from './groups.js';
import { sumOf, type RelayEntry } from './relayState.js';

interface Range {
  readonly least: number;
  readonly most: number;
}

/** Raises the customers of this relay's groups where they have to be. */
export function liftReturned(
  ctx: CoreContext,
  isLearning: (customer: CustomerNumber) => boolean,
): void {
  const { state } = ctx;
  const debtCap = state.configuration.view?.fairness.debtCap ?? Infinity;
  state.shares.relay.entries.forEach((entries, account) => {
    const range = waitingRange(ctx, account);
    const isReweighted = noteWeights(ctx, account);
    const domains = liveDomains(state);
    entries.forEach((entry, customer) => {
      const isWaiting = entry.waitingAt.size > 0;
      // Its return is decided where it returns: from afar, the end of a partition looks alike.
      const isHere = [...entry.waitingAt.keys()].some((place) => !domains.includes(place));
      const hasReturned = isHere && !entry.wasWaiting;
      // Members learn of both changes with the next sums.
      if (isWaiting !== entry.wasWaiting) {
        entry.isNewBelow = true;
        entry.isNewAbroad = true;
      }
      entry.wasWaiting = isWaiting;
      if (!isWaiting || range === undefined || isLearning(customer)) return;
      if (!isForemost(state, groupOf(state, customer))) return;
      const cap = isReweighted ? 0 : debtCap;
      const floor = Math.max(hasReturned ? range.least : 0, range.most - cap);
      raiseTo(ctx, account, customer, entry, floor);
    });
  });
}

function raiseTo(
  ctx: CoreContext,
  account: PoolNumber,
  customer: CustomerNumber,
  entry: RelayEntry,
  floor: number,
): void {
  const weight = weightIn(ctx.state, accountByNumber(ctx.state, account), customer);
  const missing = floor - sumOf(entry) / weight - entry.lift;
  if (missing <= 0) return;
  entry.lift += missing;
  entry.isNewBelow = true;
  entry.isNewAbroad = true;
}

/** Whether the weight of a waiting customer is not the one with which it last waited. */
function noteWeights(ctx: CoreContext, number: PoolNumber): boolean {
  const { state } = ctx;
  const { weights } = state.shares.relay;
  const account = accountByNumber(state, number);
  const known = weights.get(number) ?? new Map<CustomerNumber, number>();
  weights.set(number, known);
  let isChanged = false;
  forEachWaiting(account, ctx.now, (customer) => {
    const weight = weightIn(state, account, customer);
    const before = known.get(customer);
    if (before === weight) return;
    known.set(customer, weight);
    if (before !== undefined) isChanged = true;
  });
  return isChanged;
}

/** The range of virtual service over the customers that this instance believes to wait. */
function waitingRange(ctx: CoreContext, number: PoolNumber): Range | undefined {
  const account = accountByNumber(ctx.state, number);
  let least = Infinity;
  let most = -Infinity;
  forEachWaiting(account, ctx.now, (customer) => {
    const service = settledIn(ctx.state, account, customer);
    least = Math.min(least, service);
    most = Math.max(most, service);
  });
  return least === Infinity ? undefined : { least, most };
}
