/**
 * Records of the stream `orders` and their fold. An order's number is the offset of its record. A
 * record counts only if the order that it replaces was still the outstanding one at its place in the
 * log, and if the loads under way allow another: so one of two racing owners wins, and the pool and
 * the weight store keep their bounds, whoever believes to be owner.
 */
import * as z from 'zod';
import type { Millis } from '../clock.js';
import type { EngineOrder, InstanceId, PoolId, StreamRecord, UpstreamId } from '../types.js';

export const ORDERS_STREAM = 'orders';
export const ORDER_SCHEMA_VERSION = 1;
/** Number that stands for no outstanding order. */
export const NO_ORDER = -1;

export interface OrderRecord {
  readonly kind: 'order';
  readonly schemaVersion: number;
  readonly id: string;
  readonly upstream: UpstreamId;
  readonly pool: PoolId;
  readonly order: EngineOrder;
  readonly by: InstanceId;
  readonly at: Millis;
  /** Number of the outstanding order that this one replaces. */
  readonly replaces: number;
  /** Model loads of the pool that may be under way with this one. */
  readonly poolLoads: number;
  /** The same for the whole fleet. */
  readonly fleetLoads: number;
}

export type OrderOutcome = 'done' | 'failed' | 'withdrawn';

export interface SettledRecord {
  readonly kind: 'settled';
  readonly schemaVersion: number;
  readonly upstream: UpstreamId;
  readonly number: number;
  readonly outcome: OrderOutcome;
  readonly by: InstanceId;
}

/** An order whose effect has not been seen yet. */
export interface OutstandingOrder {
  readonly number: number;
  readonly id: string;
  readonly upstream: UpstreamId;
  readonly pool: PoolId;
  readonly order: EngineOrder;
  readonly by: InstanceId;
}

export interface OrdersFold {
  /** Offset of the next record to fold. */
  next: number;
  readonly outstanding: Map<UpstreamId, OutstandingOrder>;
}

export function createOrdersFold(): OrdersFold {
  return { next: 0, outstanding: new Map() };
}

const text = z.string().min(1).max(256);
const orderSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('load-model'), model: text, version: text }),
  z.object({ kind: z.literal('load-adapter'), adapter: text }),
  z.object({ kind: z.literal('set-role'), role: text }),
]);
const recordSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('order'),
    schemaVersion: z.literal(ORDER_SCHEMA_VERSION),
    id: text,
    upstream: text,
    pool: text,
    order: orderSchema,
    by: text,
    at: z.number(),
    replaces: z.int(),
    poolLoads: z.int(),
    fleetLoads: z.int(),
  }),
  z.object({
    kind: z.literal('settled'),
    schemaVersion: z.literal(ORDER_SCHEMA_VERSION),
    upstream: text,
    number: z.int(),
    outcome: z.enum(['done', 'failed', 'withdrawn']),
    by: text,
  }),
]);

/** An order record that was folded, and whether it counts. */
export interface JudgedOrder {
  readonly record: OrderRecord;
  readonly number: number;
  readonly isValid: boolean;
}

/** Folds one record; returns the judgement of an order. Other texts change nothing. */
export function foldOrder(fold: OrdersFold, entry: StreamRecord): JudgedOrder | undefined {
  if (entry.offset < fold.next) return undefined;
  fold.next = entry.offset + 1;
  const record = decode(entry.data);
  if (record === undefined) return undefined;
  if (record.kind === 'settled') {
    const outstanding = fold.outstanding.get(record.upstream);
    if (outstanding?.number === record.number) fold.outstanding.delete(record.upstream);
    return undefined;
  }
  const isValid = isAdmitted(fold, record);
  if (isValid) {
    const { id, upstream, pool, order, by } = record;
    fold.outstanding.set(upstream, { number: entry.offset, id, upstream, pool, order, by });
  }
  return { record, number: entry.offset, isValid };
}

function decode(data: string): OrderRecord | SettledRecord | undefined {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(data));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

function isAdmitted(fold: OrdersFold, record: OrderRecord): boolean {
  const number = fold.outstanding.get(record.upstream)?.number ?? NO_ORDER;
  if (number !== record.replaces) return false;
  return record.order.kind !== 'load-model' || hasRoom(fold, record);
}

type Bounds = Pick<OrderRecord, 'upstream' | 'pool' | 'poolLoads' | 'fleetLoads'>;

/** Whether another model load fits beside those of other upstreams. */
export function hasRoom(fold: OrdersFold, bounds: Bounds): boolean {
  let ofPool = 0;
  let ofFleet = 0;
  fold.outstanding.forEach(({ upstream, pool, order }) => {
    if (upstream === bounds.upstream || order.kind !== 'load-model') return;
    ofFleet += 1;
    if (pool === bounds.pool) ofPool += 1;
  });
  return ofPool < bounds.poolLoads && ofFleet < bounds.fleetLoads;
}
