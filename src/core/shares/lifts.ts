/**
 * Lifts increase a customer's virtual service. They are decided by the primary relay of the
 * customer's group. A customer that returns from idle is raised to the least virtual service among
 * the waiting customers, so that idling earns no credit. A customer that lags the most-served
 * waiting customer by more than the debt cap is raised to the cap, which bounds the service repaid
 * after a partition. A change of weights would rescale all past service, so every waiting customer
 * is raised to the most-served one and the new weights apply from then on. A lift is a max
 * register: it only grows.
 */
import type { CoreContext } from '../context.js';
import { liveDomains } from '../membership/memberIndex.js';
import type { CustomerNumber, PoolNumber } from '../types.js';
import { accountByNumber, forEachWaiting, settledServiceIn, weightIn } from './accounts.js';
import { groupOf, isPrimaryRelay } from './groups.js';
import { fleetSumOf, type RelayEntry } from './relayState.js';

interface ServiceRange {
  readonly least: number;
  readonly most: number;
}

/** Raises the lifts of the waiting customers of this relay's groups where required. */
export function applyLifts(
  ctx: CoreContext,
  isLearning: (customer: CustomerNumber) => boolean,
): void {
  const { state } = ctx;
  const debtCap = state.configuration.view?.fairness.debtCap ?? Infinity;
  state.shares.relay.entries.forEach((entries, account) => {
    const range = waitingRange(ctx, account);
    const isReweighted = updateWeights(ctx, account);
    const domains = liveDomains(state);
    entries.forEach((entry, customer) => {
      const isWaiting = entry.waitingAt.size > 0;
      // Only the domain in which a customer returns decides this. In other domains, the end of a
      // partition cannot be distinguished from a return.
      const isWaitingInOwnDomain = [...entry.waitingAt.keys()].some(
        (source) => !domains.includes(source),
      );
      const hasReturned = isWaitingInOwnDomain && !entry.wasWaiting;
      // The next sums report both the start and the end of waiting.
      if (isWaiting !== entry.wasWaiting) {
        entry.isNewBelow = true;
        entry.isNewAbroad = true;
      }
      entry.wasWaiting = isWaiting;
      if (!isWaiting || range === undefined || isLearning(customer)) return;
      if (!isPrimaryRelay(state, groupOf(state, customer))) return;
      const cap = isReweighted ? 0 : debtCap;
      const floor = Math.max(hasReturned ? range.least : 0, range.most - cap);
      raiseLiftTo(ctx, account, customer, entry, floor);
    });
  });
}

function raiseLiftTo(
  ctx: CoreContext,
  account: PoolNumber,
  customer: CustomerNumber,
  entry: RelayEntry,
  floor: number,
): void {
  const weight = weightIn(ctx.state, accountByNumber(ctx.state, account), customer);
  const missing = floor - fleetSumOf(entry) / weight - entry.lift;
  if (missing <= 0) return;
  entry.lift += missing;
  entry.isNewBelow = true;
  entry.isNewAbroad = true;
}

/** Records the weights of the waiting customers and returns whether any has changed. */
function updateWeights(ctx: CoreContext, number: PoolNumber): boolean {
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

/** Returns the range of virtual service over the customers known to wait in the fleet. */
function waitingRange(ctx: CoreContext, number: PoolNumber): ServiceRange | undefined {
  const account = accountByNumber(ctx.state, number);
  let least = Infinity;
  let most = -Infinity;
  forEachWaiting(account, ctx.now, (customer) => {
    const service = settledServiceIn(ctx.state, account, customer);
    least = Math.min(least, service);
    most = Math.max(most, service);
  });
  return least === Infinity ? undefined : { least, most };
}
