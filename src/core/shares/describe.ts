/** Read-only snapshots of shares and dispatch for status pages. */
import type { Millis } from '../clock.js';
import { slotsUsedByOthers } from '../dispatch/slots.js';
import { concurrencyHeadroom } from '../limits/limits.js';
import { ownedUpstreams, ownerOf } from '../ownership/ownership.js';
import { isRunnable } from '../requests/readiness.js';
import type { CoreState } from '../state.js';
import type {
  CustomerId,
  CustomerNumber,
  InstanceId,
  PoolConfig,
  PoolId,
  UpstreamConfig,
  UpstreamId,
} from '../types.js';
import {
  accountOf,
  forEachWaiting,
  settledServiceIn,
  virtualServiceIn,
  weightIn,
} from './accounts.js';
import type { Account } from './sharesState.js';

/** Reason why a customer's next request at this instance waits. */
export type WaitReason =
  /** The claim, the retry time or another precondition of the request is pending. */
  | 'notReady'
  | 'concurrencyLimit'
  /** Customers with less virtual service take precedence. */
  | 'others'
  /** No slot known to this instance is free. */
  | 'slots';

export interface CustomerShare {
  readonly customer: CustomerId;
  readonly pool: PoolId;
  /** Fleet-wide service in cost units, as known to this instance. */
  readonly service: number;
  readonly lift: number;
  /** Service divided by weight, plus lift and reservations; the least is served next. */
  readonly virtualService: number;
  readonly weight: number;
  /** Fraction of the total weight of the customers that wait in the fleet; 0 if not waiting. */
  readonly share: number;
  readonly isWaitingInFleet: boolean;
  /** Number of requests that wait at this instance. */
  readonly waitingHere: number;
  readonly waitReason?: WaitReason;
}

export interface OwnedUpstream {
  readonly upstream: UpstreamId;
  readonly pool: PoolId;
  readonly owner?: InstanceId;
  readonly slots: number;
  /** Current adaptive limit on the slots in use. */
  readonly limit: number;
  readonly inUse: number;
  readonly inUseByOthers: number;
  readonly suspended: number;
  readonly cachedBlocks: number;
  readonly cacheEpoch: string;
}

export interface SharesDescription {
  readonly customers: readonly CustomerShare[];
  readonly upstreams: readonly OwnedUpstream[];
}

/** Describes the owned upstreams and the shares of customers with service or waiting work. */
export function describeShares(state: CoreState, now: Millis): SharesDescription {
  const customers: CustomerShare[] = [];
  state.configuration.view?.pools.forEach((pool) => {
    const account = accountOf(state, pool.id);
    if (account !== undefined) customers.push(...describePool(state, pool, account, now));
  });
  return {
    customers,
    upstreams: ownedUpstreams(state).map((upstream) => describeUpstream(state, upstream, now)),
  };
}

function describePool(
  state: CoreState,
  pool: PoolConfig,
  account: Account,
  now: Millis,
): readonly CustomerShare[] {
  const queues = state.dispatch.queues.get(pool.id);
  const waiting = new Set<CustomerNumber>(queues?.keys() ?? []);
  forEachWaiting(account, now, (customer) => waiting.add(customer));
  let totalWeight = 0;
  waiting.forEach((customer) => {
    totalWeight += weightIn(state, account, customer);
  });
  const shares: CustomerShare[] = [];
  state.configuration.view?.customers.forEach(({ id, number }) => {
    const isWaiting = waiting.has(number);
    const virtualService = virtualServiceIn(state, account, number);
    if (!isWaiting && virtualService === 0) return;
    const weight = weightIn(state, account, number);
    const lift = account.lift[number] ?? 0;
    const reason = waitReason(state, pool, account, number, now);
    shares.push({
      customer: id,
      pool: pool.id,
      service: (settledServiceIn(state, account, number) - lift) * weight,
      lift,
      virtualService,
      weight,
      share: isWaiting ? weight / totalWeight : 0,
      isWaitingInFleet: isWaiting,
      waitingHere: queues?.get(number)?.length ?? 0,
      ...(reason === undefined ? {} : { waitReason: reason }),
    });
  });
  return shares;
}

function waitReason(
  state: CoreState,
  pool: PoolConfig,
  account: Account,
  customer: CustomerNumber,
  now: Millis,
): WaitReason | undefined {
  const queue = state.dispatch.queues.get(pool.id)?.get(customer);
  if (queue === undefined || queue.length === 0) return undefined;
  if (!queue.some((id) => isRunnable(state, id))) return 'notReady';
  if (concurrencyHeadroom(state, customer) <= 0) return 'concurrencyLimit';
  const own = virtualServiceIn(state, account, customer);
  let isNext = true;
  forEachWaiting(account, now, (other) => {
    if (other !== customer && virtualServiceIn(state, account, other) < own) isNext = false;
  });
  return isNext ? 'slots' : 'others';
}

function describeUpstream(state: CoreState, upstream: UpstreamConfig, now: Millis): OwnedUpstream {
  const slots = state.dispatch.slots.get(upstream.id);
  const cache = state.dispatch.caches.get(upstream.id);
  const owner = ownerOf(state, upstream.id);
  return {
    upstream: upstream.id,
    pool: upstream.pool,
    ...(owner === undefined ? {} : { owner }),
    slots: upstream.slots,
    limit: Math.floor(slots?.limit ?? upstream.slots),
    inUse: slots?.inUse ?? 0,
    inUseByOthers: slots === undefined ? 0 : slotsUsedByOthers(slots, now),
    suspended: slots?.suspended ?? 0,
    cachedBlocks: cache?.blocks.size ?? 0,
    cacheEpoch: cache?.epoch ?? '',
  };
}
