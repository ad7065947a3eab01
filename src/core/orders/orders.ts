/**
 * Orders to engines. The owner of an upstream reconciles the state that an engine reports with the
 * state that it should have, and sends one order at a time. Reconciliation is level-triggered:
 * after a lost reply, a crash or a change of owner, the next pass decides again from the current
 * state. The `orders` stream is read only while an order is needed or in progress.
 */
import { emitAuditEntry, emitMetric, setTimer, type CoreContext } from '../context.js';
import { forEachOwnedUpstream, isOwner } from '../ownership/ownership.js';
import type {
  AppendResult,
  CoreEvent,
  EngineOrder,
  OperatorResult,
  PlacementConfig,
  UpstreamConfig,
  UpstreamId,
  UpstreamReport,
} from '../types.js';
import {
  createOrdersFold,
  foldOrder,
  isWithinLoadLimits,
  NO_ORDER,
  ORDER_SCHEMA_VERSION,
  ORDERS_STREAM,
  type FoldedOrder,
  type OrderOutcome,
  type OrderRecord,
  type SettledRecord,
} from './orderRecords.js';
import type { OrderProgress } from './ordersState.js';
import { auditOwnership } from './ownerAudit.js';
import { demandLevelOf, updateDemandLevels } from './demandLevels.js';
import { maxFleetLoads, hasEffect, nextOrder, placementOf, maxPoolLoads } from './placement.js';

type EventOf<K extends CoreEvent['kind']> = Extract<CoreEvent, { readonly kind: K }>;

const READ_LIMIT = 256;
/** Time after which an unanswered read is considered lost. */
const READ_TIMEOUT_MS = 10_000;
/** Reports older than this are ignored. */
const MAX_REPORT_AGE_MS = 10_000;
/** Maximum time from proposing to sending an order; prevents a stale order after a pause. */
const MAX_DECISION_AGE_MS = 10_000;
/** Time after which an order without an observed effect is sent again. */
const RESEND_INTERVAL_MS = 10_000;
/** Delay after an unsuccessful order, multiplied by the number of attempts. */
const RETRY_DELAY_MS = 5_000;

export function startOrders(ctx: CoreContext): void {
  setTimer(ctx, 'orders', ctx.state.settings.ordersTickMs);
}

export function onOrdersTimer(ctx: CoreContext): void {
  const { orders } = ctx.state;
  auditOwnership(ctx);
  dropStaleState(ctx);
  updateDemandLevels(ctx);
  let needsLog = orders.progress.size > 0;
  forEachOwnedUpstream(ctx.state, (upstream) => {
    if (reconcile(ctx, upstream)) needsLog = true;
  });
  if (needsLog) requestRead(ctx);
  setTimer(ctx, 'orders', ctx.state.settings.ordersTickMs);
}

/** Stores an engine's report for the next reconciliation. */
export function onOrderReport(
  ctx: CoreContext,
  upstream: UpstreamId,
  report: UpstreamReport | undefined,
): void {
  if (report === undefined) return;
  const { observed } = ctx.state.orders;
  const since = observed.get(upstream)?.since ?? ctx.now;
  observed.set(upstream, { report, at: ctx.now, since });
}

/** Drops the state of settled orders and of upstreams that this instance no longer owns. */
function dropStaleState(ctx: CoreContext): void {
  const { orders } = ctx.state;
  const numbers = new Set([...orders.fold.outstanding.values()].map(({ number }) => number));
  for (const number of orders.foreignSince.keys()) {
    if (!numbers.has(number)) orders.foreignSince.delete(number);
  }
  for (const upstream of orders.observed.keys()) {
    if (!isOwner(ctx.state, upstream)) {
      orders.observed.delete(upstream);
      orders.progress.delete(upstream);
      orders.notBefore.delete(upstream);
    }
  }
}

/** Reconciles one upstream, and returns whether the `orders` stream has to be read for it. */
function reconcile(ctx: CoreContext, upstream: UpstreamConfig): boolean {
  const { orders, configuration } = ctx.state;
  const observed = orders.observed.get(upstream.id);
  if (observed === undefined || ctx.now - observed.at > MAX_REPORT_AGE_MS) return false;
  const { report } = observed;
  const progress = orders.progress.get(upstream.id);
  if (progress !== undefined) {
    superviseOrder(ctx, upstream, progress, observed);
    return true;
  }
  const { view } = configuration;
  const isNeeded = !orders.unneeded.has(upstream.id);
  const placement = view && isNeeded ? placementOf(view, upstream) : undefined;
  const requiredOrder = placement && nextOrder(placement, report);
  if (placement === undefined || requiredOrder === undefined) {
    // A previous owner may have left an order outstanding, so the stream is read to its end once.
    return settleLeftoverOrder(ctx, upstream.id, report) || observed.since > orders.atEndAt;
  }
  if (ctx.now < (orders.notBefore.get(upstream.id) ?? 0)) return false;
  if (ctx.now - orders.atEndAt <= 2 * ctx.state.settings.ordersTickMs) {
    proposeOrder(ctx, upstream, placement, requiredOrder);
  }
  return true;
}

/** Settles an order left by a previous owner that has taken effect or is no longer needed. */
function settleLeftoverOrder(
  ctx: CoreContext,
  upstream: UpstreamId,
  report: UpstreamReport,
): boolean {
  const { orders } = ctx.state;
  const outstanding = orders.fold.outstanding.get(upstream);
  if (outstanding === undefined) return false;
  const isDone = hasEffect(outstanding.order, report);
  appendSettled(ctx, upstream, outstanding.number, isDone ? 'done' : 'withdrawn');
  return true;
}

/**
 * Appends an order, unless an outstanding order may still take effect or a load limit is reached.
 */
function proposeOrder(
  ctx: CoreContext,
  upstream: UpstreamConfig,
  placement: PlacementConfig,
  order: EngineOrder,
): void {
  const { orders, configuration, self } = ctx.state;
  const { view } = configuration;
  if (view === undefined) return;
  const outstanding = orders.fold.outstanding.get(upstream.id);
  if (outstanding !== undefined && mayTakeEffect(ctx, upstream, outstanding.number)) return;
  const limits = {
    upstream: upstream.id,
    pool: upstream.pool,
    poolLoads: maxPoolLoads(view, placement, demandLevelOf(ctx.state, placement.pool)),
    fleetLoads: maxFleetLoads(view),
  };
  if (order.kind === 'load-model' && !isWithinLoadLimits(orders.fold, limits)) {
    withdrawAbandonedLoads(ctx);
    return;
  }
  const record: OrderRecord = {
    kind: 'order',
    schemaVersion: ORDER_SCHEMA_VERSION,
    id: `${self.id}/${self.incarnation}/${orders.nextOrder}`,
    order,
    by: self.id,
    at: ctx.now,
    replaces: outstanding?.number ?? NO_ORDER,
    ...limits,
  };
  orders.nextOrder += 1;
  orders.progress.set(upstream.id, {
    upstream: upstream.id,
    id: record.id,
    order,
    startedAt: ctx.now,
    phase: 'appending',
    appendId: appendRecord(ctx, record),
    number: NO_ORDER,
    givenAt: ctx.now,
    attempts: 0,
  });
}

/** Withdraws loads left by instances or upstreams that are gone, which would block other loads. */
function withdrawAbandonedLoads(ctx: CoreContext): void {
  const { orders, settings } = ctx.state;
  orders.fold.outstanding.forEach(({ number, upstream }) => {
    const since = orders.foreignSince.get(number) ?? ctx.now;
    orders.foreignSince.set(number, since);
    const isOwn = orders.progress.get(upstream)?.number === number;
    if (!isOwn && ctx.now - since > 2 * settings.orderTimeoutMs) {
      appendSettled(ctx, upstream, number, 'withdrawn');
    }
  });
}

/**
 * Whether an outstanding order of another instance may still take effect. An engine that checks
 * order numbers refuses it after a newer order, so it can be replaced soon; any other engine may
 * still execute it, so the full order timeout has to pass.
 */
function mayTakeEffect(ctx: CoreContext, upstream: UpstreamConfig, number: number): boolean {
  const { foreignSince } = ctx.state.orders;
  const since = foreignSince.get(number) ?? ctx.now;
  foreignSince.set(number, since);
  const waitMs = upstream.checksOrders ? RESEND_INTERVAL_MS : ctx.state.settings.orderTimeoutMs;
  return ctx.now - since < waitMs;
}

/** Advances an order in progress: finishes it, or sends it again if it has had no effect. */
function superviseOrder(
  ctx: CoreContext,
  upstream: UpstreamConfig,
  progress: OrderProgress,
  observed: { readonly report: UpstreamReport; readonly at: number },
): void {
  const { orders, settings } = ctx.state;
  if (progress.phase === 'appending') {
    // Whether the record is valid is known only when it is read back.
    if (ctx.now - progress.startedAt > MAX_DECISION_AGE_MS) orders.progress.delete(upstream.id);
    return;
  }
  if (observed.at > progress.givenAt && hasEffect(progress.order, observed.report)) {
    finishOrder(ctx, progress, 'done');
  } else if (ctx.now - progress.startedAt > settings.orderTimeoutMs) {
    finishOrder(ctx, progress, 'failed');
  } else if (progress.phase === 'observing' && ctx.now - progress.givenAt > RESEND_INTERVAL_MS) {
    sendOrder(ctx, upstream, progress);
  }
}

function sendOrder(ctx: CoreContext, upstream: UpstreamConfig, progress: OrderProgress): void {
  progress.phase = 'given';
  progress.givenAt = ctx.now;
  progress.attempts += 1;
  const { number, order } = progress;
  ctx.emit({
    kind: 'giveOrder',
    upstream: upstream.id,
    url: upstream.url,
    orderNumber: number,
    order,
  });
  emitMetric(ctx, 'orders.given', 1, { kind: order.kind });
}

/** Handles the engine's answer. If it is inconclusive, the engine's next reports are decisive. */
export function onOrderSettled(ctx: CoreContext, event: EventOf<'orderSettled'>): void {
  const { orders } = ctx.state;
  const progress = orders.progress.get(event.upstream);
  if (progress?.number !== event.orderNumber || progress.phase === 'appending') return;
  switch (event.result) {
    case 'accepted':
    case 'unknown':
      progress.phase = 'observing';
      progress.givenAt = ctx.now;
      return;
    case 'stale':
      // Another instance has sent a newer order; the next reconciliation decides.
      finishOrder(ctx, progress, 'withdrawn');
      return;
    default:
      finishOrder(ctx, progress, 'failed');
  }
}

function finishOrder(ctx: CoreContext, progress: OrderProgress, outcome: OrderOutcome): void {
  const { orders } = ctx.state;
  const { upstream, number, order } = progress;
  orders.progress.delete(upstream);
  if (outcome !== 'done') {
    const retryDelayMs = RETRY_DELAY_MS * Math.max(1, progress.attempts);
    orders.notBefore.set(upstream, ctx.now + retryDelayMs * (1 + ctx.state.random.next()));
  }
  appendSettled(ctx, upstream, number, outcome);
  const detail = `${JSON.stringify(order)} number ${number} ${outcome}`;
  emitAuditEntry(ctx, 'order', upstream, detail, outcome === 'done');
}

function appendSettled(
  ctx: CoreContext,
  upstream: UpstreamId,
  number: number,
  outcome: OrderOutcome,
): void {
  const { orders, self } = ctx.state;
  if ([...orders.settling.values()].includes(upstream)) return;
  const record: SettledRecord = {
    kind: 'settled',
    schemaVersion: ORDER_SCHEMA_VERSION,
    upstream,
    number,
    outcome,
    by: self.id,
  };
  orders.settling.set(appendRecord(ctx, record), upstream);
}

function appendRecord(ctx: CoreContext, record: OrderRecord | SettledRecord): number {
  const { orders } = ctx.state;
  const appendId = orders.nextAppendId;
  orders.nextAppendId += 1;
  const records = [JSON.stringify(record)];
  ctx.emit({ kind: 'appendLog', appendId, stream: ORDERS_STREAM, records });
  return appendId;
}

export function onOrderAppended(ctx: CoreContext, appendId: number, result: AppendResult): void {
  const { orders } = ctx.state;
  orders.settling.delete(appendId);
  if (result.kind === 'rejected') {
    const failed = [...orders.progress.values()].find((entry) => entry.appendId === appendId);
    if (failed?.phase === 'appending') orders.progress.delete(failed.upstream);
    return;
  }
  requestRead(ctx);
}

function requestRead(ctx: CoreContext): void {
  const { orders } = ctx.state;
  const isReadPending =
    orders.readSentAt !== undefined && ctx.now - orders.readSentAt < READ_TIMEOUT_MS;
  if (isReadPending) return;
  orders.readSentAt = ctx.now;
  const from = orders.fold.next;
  ctx.emit({ kind: 'readLog', stream: ORDERS_STREAM, from, limit: READ_LIMIT, waitMs: 0 });
}

export function onOrdersRead(ctx: CoreContext, event: EventOf<'logRead'>): void {
  const { orders } = ctx.state;
  if (event.from !== orders.fold.next) return;
  orders.readSentAt = undefined;
  const { result } = event;
  if (result.kind === 'expired') {
    // Expired orders have taken effect or failed long ago, which the reports show.
    orders.fold = createOrdersFold();
    orders.fold.next = result.oldest;
    requestRead(ctx);
  } else if (result.kind === 'records') {
    result.records.forEach((record) => {
      const folded = foldOrder(orders.fold, record);
      if (folded !== undefined) handleFoldedOrder(ctx, folded);
    });
    orders.fold.next = Math.max(orders.fold.next, result.next);
    if (result.records.length === READ_LIMIT) requestRead(ctx);
    else orders.atEndAt = ctx.now;
  }
}

/** Sends an order of this instance whose record is valid, unless the decision is too old. */
function handleFoldedOrder(ctx: CoreContext, folded: FoldedOrder): void {
  const { orders, configuration } = ctx.state;
  const { upstream: id } = folded.record;
  const progress = orders.progress.get(id);
  if (progress?.id !== folded.record.id) return;
  const upstream = configuration.view?.upstreams.get(id);
  const isTooOld = ctx.now - progress.startedAt > MAX_DECISION_AGE_MS;
  if (!folded.isValid || upstream === undefined || isTooOld || !isOwner(ctx.state, id)) {
    orders.progress.delete(id);
    return;
  }
  progress.number = folded.number;
  sendOrder(ctx, upstream, progress);
}

/** Returns this instance's orders in progress and all outstanding orders of the fleet. */
export function listOrders(ctx: CoreContext): OperatorResult {
  const { orders } = ctx.state;
  const own = [...orders.progress.values()].map((entry) => ({
    upstream: entry.upstream,
    order: entry.order,
    number: entry.number,
    phase: entry.phase,
    attempts: entry.attempts,
    ageMs: ctx.now - entry.startedAt,
  }));
  const outstanding = [...orders.fold.outstanding.values()];
  return { kind: 'done', data: { own, outstanding, readThrough: orders.fold.next } };
}
