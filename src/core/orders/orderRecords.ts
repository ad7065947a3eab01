/**
 * Records of the `orders` stream and their fold. The number of an order is the offset of its
 * record. An order record is valid only if the order that it replaces is still outstanding at that
 * offset and the limits on concurrent model loads permit another load. So, of two racing owners one
 * wins, and the load limits of the pool and the weight store hold even if several instances act as
 * owner.
 */
import * as z from 'zod';
import type { Millis } from '../clock.js';
import type { EngineOrder, InstanceId, PoolId, StreamRecord, UpstreamId } from '../types.js';

export const ORDERS_STREAM = 'orders';
export const ORDER_SCHEMA_VERSION = 1;
/** Order number that means that there is no order. */
export const NO_ORDER = -1;

/** A record that proposes an order to an engine. */
export interface OrderRecord {
  readonly kind: 'order';
  readonly schemaVersion: number;
  readonly id: string;
  readonly upstream: UpstreamId;
  readonly pool: PoolId;
  readonly order: EngineOrder;
  readonly by: InstanceId;
  readonly at: Millis;
  /** Number of the outstanding order that this one replaces, or `NO_ORDER`. */
  readonly replaces: number;
  /** Maximum number of concurrent model loads in the pool, including this one. */
  readonly poolLoads: number;
  /** Maximum number of concurrent model loads in the fleet, including this one. */
  readonly fleetLoads: number;
}

export type OrderOutcome = 'done' | 'failed' | 'withdrawn';

/** A record that ends an order. */
export interface SettledRecord {
  readonly kind: 'settled';
  readonly schemaVersion: number;
  readonly upstream: UpstreamId;
  readonly number: number;
  readonly outcome: OrderOutcome;
  readonly by: InstanceId;
}

/** A valid order that has not been settled yet. */
export interface OutstandingOrder {
  readonly number: number;
  readonly id: string;
  readonly upstream: UpstreamId;
  readonly pool: PoolId;
  readonly order: EngineOrder;
  readonly by: InstanceId;
}

/** Result of folding the `orders` stream up to `next`. */
export interface OrdersFold {
  /** Offset of the next record to fold. */
  next: number;
  readonly outstanding: Map<UpstreamId, OutstandingOrder>;
}

export function createOrdersFold(): OrdersFold {
  return { next: 0, outstanding: new Map() };
}

const nonEmptyText = z.string().min(1).max(256);
const orderSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('load-model'), model: nonEmptyText, version: nonEmptyText }),
  z.object({ kind: z.literal('load-adapter'), adapter: nonEmptyText }),
  z.object({ kind: z.literal('set-role'), role: nonEmptyText }),
]);
const recordSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('order'),
    schemaVersion: z.literal(ORDER_SCHEMA_VERSION),
    id: nonEmptyText,
    upstream: nonEmptyText,
    pool: nonEmptyText,
    order: orderSchema,
    by: nonEmptyText,
    at: z.number(),
    replaces: z.int(),
    poolLoads: z.int(),
    fleetLoads: z.int(),
  }),
  z.object({
    kind: z.literal('settled'),
    schemaVersion: z.literal(ORDER_SCHEMA_VERSION),
    upstream: nonEmptyText,
    number: z.int(),
    outcome: z.enum(['done', 'failed', 'withdrawn']),
    by: nonEmptyText,
  }),
]);

/** A folded order record and whether it is valid. */
export interface FoldedOrder {
  readonly record: OrderRecord;
  readonly number: number;
  readonly isValid: boolean;
}

/** Folds one record and returns the result if it is an order. Invalid data is ignored. */
export function foldOrder(fold: OrdersFold, entry: StreamRecord): FoldedOrder | undefined {
  if (entry.offset < fold.next) return undefined;
  fold.next = entry.offset + 1;
  const record = decodeRecord(entry.data);
  if (record === undefined) return undefined;
  if (record.kind === 'settled') {
    const outstanding = fold.outstanding.get(record.upstream);
    if (outstanding?.number === record.number) fold.outstanding.delete(record.upstream);
    return undefined;
  }
  const isValid = isValidOrder(fold, record);
  if (isValid) {
    const { id, upstream, pool, order, by } = record;
    fold.outstanding.set(upstream, { number: entry.offset, id, upstream, pool, order, by });
  }
  return { record, number: entry.offset, isValid };
}

function decodeRecord(data: string): OrderRecord | SettledRecord | undefined {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(data));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

function isValidOrder(fold: OrdersFold, record: OrderRecord): boolean {
  const number = fold.outstanding.get(record.upstream)?.number ?? NO_ORDER;
  if (number !== record.replaces) return false;
  return record.order.kind !== 'load-model' || isWithinLoadLimits(fold, record);
}

type LoadLimits = Pick<OrderRecord, 'upstream' | 'pool' | 'poolLoads' | 'fleetLoads'>;

/** Whether one more model load stays within the limits, given the loads of other upstreams. */
export function isWithinLoadLimits(fold: OrdersFold, limits: LoadLimits): boolean {
  let poolLoads = 0;
  let fleetLoads = 0;
  fold.outstanding.forEach(({ upstream, pool, order }) => {
    if (upstream === limits.upstream || order.kind !== 'load-model') return;
    fleetLoads += 1;
    if (pool === limits.pool) poolLoads += 1;
  });
  return poolLoads < limits.poolLoads && fleetLoads < limits.fleetLoads;
}
