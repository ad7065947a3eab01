/** State of the orders: the fold of the log, what engines report, and the orders under way here. */
import type { Millis } from '../clock.js';
import type { EngineOrder, PoolId, UpstreamConfig, UpstreamId, UpstreamReport } from '../types.js';
import { createOrdersFold, type OrdersFold } from './orderRecords.js';

/** An order that this instance is giving. */
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

/** The latest report of an owned upstream. */
export interface ObservedReport {
  readonly report: UpstreamReport;
  readonly at: Millis;
  /** When this instance began to observe the upstream. */
  readonly since: Millis;
}

/** How many upstreams of a pool are believed to be needed. */
export interface DemandLevel {
  level: number;
  /** Time since which work has been waiting at each look, or since the last growth. */
  waitingSince: Millis | undefined;
  /** Time since which there has been little use at each look, or since the last shrinking. */
  idleSince: Millis | undefined;
}

export interface OrdersState {
  fold: OrdersFold;
  readonly observed: Map<UpstreamId, ObservedReport>;
  readonly progress: Map<UpstreamId, OrderProgress>;
  /** Earliest time of the next order to an upstream after a failure. */
  readonly notBefore: Map<UpstreamId, Millis>;
  /** First time at which the outstanding order of another instance was seen, by its number. */
  readonly foreignSince: Map<number, Millis>;
  /** Appends of settled records that are under way, by append id. */
  readonly settling: Map<number, UpstreamId>;
  readonly levels: Map<PoolId, DemandLevel>;
  /** Owned upstreams that need not hold their pool's model at present. */
  readonly unneeded: Set<UpstreamId>;
  /** Owned upstreams as the audit trail last told them. */
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
