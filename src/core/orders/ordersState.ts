/**
 * State of the orders: the log fold, the engines' reports, and this instance's orders in progress.
 */
import type { Millis } from '../clock.js';
import type { EngineOrder, PoolId, UpstreamConfig, UpstreamId, UpstreamReport } from '../types.js';
import { createOrdersFold, type OrdersFold } from './orderRecords.js';

/** An order in progress at this instance. */
export interface OrderProgress {
  readonly upstream: UpstreamId;
  readonly id: string;
  readonly order: EngineOrder;
  readonly startedAt: Millis;
  phase: 'appending' | 'given' | 'observing';
  appendId: number;
  number: number;
  givenAt: Millis;
  attempts: number;
}

/** The latest report of an upstream that this instance owns. */
export interface ObservedReport {
  readonly report: UpstreamReport;
  readonly at: Millis;
  /** Time of the first report after this instance became the owner. */
  readonly since: Millis;
}

/** Estimated number of upstreams that a pool needs. */
export interface DemandLevel {
  level: number;
  /** Time since which every update has found waiting work; restarts when the level grows. */
  waitingSince: Millis | undefined;
  /** Time since which every update has found low utilization; restarts when the level shrinks. */
  idleSince: Millis | undefined;
}

export interface OrdersState {
  fold: OrdersFold;
  readonly observed: Map<UpstreamId, ObservedReport>;
  readonly progress: Map<UpstreamId, OrderProgress>;
  /** Earliest time of the next order to an upstream after an unsuccessful one. */
  readonly notBefore: Map<UpstreamId, Millis>;
  /** Time at which an outstanding order of another instance was first seen, by order number. */
  readonly foreignSince: Map<number, Millis>;
  /** Upstreams of pending appends of settled records, by append id. */
  readonly settling: Map<number, UpstreamId>;
  readonly levels: Map<PoolId, DemandLevel>;
  /** Owned upstreams that currently need not hold their pool's model. */
  readonly unneeded: Set<UpstreamId>;
  /** Owned upstreams at the last audit entry. */
  owned: ReadonlySet<UpstreamId>;
  ownedList: readonly UpstreamConfig[];
  readSentAt: Millis | undefined;
  /** Last time at which a read reached the end of the stream. */
  atEndAt: Millis;
  nextAppendId: number;
  nextOrder: number;
}

export function createOrdersState(): OrdersState {
  return {
    fold: createOrdersFold(),
    observed: new Map(),
    progress: new Map(),
    notBefore: new Map(),
    foreignSince: new Map(),
    settling: new Map(),
    levels: new Map(),
    unneeded: new Set(),
    owned: new Set(),
    ownedList: [],
    readSentAt: undefined,
    atEndAt: -Infinity,
    nextAppendId: 1,
    nextOrder: 1,
  };
}
