/**
 * Orders to engines. The owner of an upstream compares what it should hold with what it reports and
 * gives one order at a time, level-triggered: a lost reply, a crash or a change of owner only means
 * that the next comparison decides anew. The stream is read only while something is to be ordered.
 */
import { audit, count, setTimer, type CoreContext } from '../context.js';
import { forEachOwned, isOwner } from '../ownership/ownership.js';
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
  hasRoom,
  NO_ORDER,
  ORDER_SCHEMA_VERSION,
  ORDERS_STREAM,
  type JudgedOrder,
  type OrderOutcome,
  type OrderRecord,
  type SettledRecord,
} from './orderRecords.js';
import type { OrderProgress } from './ordersState.js';
import { auditOwners } from './ownerAudit.js';
import { levelOf, updateDemandLevels } from './demandLevels.js';
import { fleetLoadsOf, hasEffect, nextOrder, placementOf, poolLoadsOf } from './placement.js';

type EventOf<K extends CoreEvent['kind']> = Extract<CoreEvent, { readonly kind: K }>;

const READ_LIMIT = 256;
/** Time after which a read without a reply counts as lost. */
const READ_TIMEOUT_MS = 10_000;
/** A report older than this says nothing. */
const REPORT_AGE_MAX_MS = 10_000;
/** Longest time from the decision to the order; a paused instance gives no stale order. */
const GIVE_WITHIN_MS = 10_000;
/** Time after which an order without a known effect is given again. */
const GIVE_AGAIN_MS = 10_000;
/** Pause after a failed order, times the number of attempts. */
const FAILED_PAUSE_MS = 5_000;

export function startOrders(ctx: CoreContext): void {
  setTimer(ctx, 'orders', ctx.state.settings.ordersTickMs);
}

export function onOrdersTimer(ctx: CoreContext): void {
  const { orders } = ctx.state;
  auditOwners(ctx);
  forgetOthers(ctx);
  updateDemandLevels(ctx);
  let needsLog = orders.progress.size > 0;
  forEachOwned(ctx.state, (upstream) => {
    if (compare(ctx, upstream)) needsLog = true;
  });
  if (needsLog) requestRead(ctx);
  setTimer(ctx, 'orders', ctx.state.settings.ordersTickMs);
}

/** Keeps an engine's report for the next comparison. */
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

/** Drops what is known of orders that have ended and of upstreams that this instance no longer owns. */
function forgetOthers(ctx: CoreContext): void {
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

/** Compares one upstream; returns whether the stream of orders has to be read for it. */
function compare(ctx: CoreContext, upstream: UpstreamConfig): boolean {
  const { orders, configuration } = ctx.state;
  const observed = orders.observed.get(upstream.id);
  if (observed === undefined || ctx.now - observed.at > REPORT_AGE_MAX_MS) return false;
  const { report } = observed;
  const progress = orders.progress.get(upstream.id);
  if (progress !== undefined) {
    watch(ctx, upstream, progress, observed);
    return true;
  }
  const { view } = configuration;
  const isNeeded = !orders.unneeded.has(upstream.id);
  const placement = view && isNeeded ? placementOf(view, upstream) : undefined;
  const wanted = placement && nextOrder(placement, report);
  if (placement === undefined || wanted === undefined) {
    // An earlier owner may have left an order outstanding.
    return tidy(ctx, upstream.id, report) || observed.since > orders.atEndAt;
  }
  if (ctx.now < (orders.notBefore.get(upstream.id) ?? 0)) return false;
  if (ctx.now - orders.atEndAt <= 2 * ctx.state.settings.ordersTickMs) {
    propose(ctx, upstream, placement, wanted);
  }
  return true;
}

/** Settles an order of an earlier owner whose effect is there, or that is no longer wanted. */
function tidy(ctx: CoreContext, upstream: UpstreamId, report: UpstreamReport): boolean {
  const { orders } = ctx.state;
  const outstanding = orders.fold.outstanding.get(upstream);
  if (outstanding === undefined) return false;
  const isDone = hasEffect(outstanding.order, report);
  appendSettled(ctx, upstream, outstanding.number, isDone ? 'done' : 'withdrawn');
  return true;
}

/** Appends an order unless one is outstanding that may still take effect. */
function propose(
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
  const bounds = {
    upstream: upstream.id,
    pool: upstream.pool,
    poolLoads: poolLoadsOf(view, placement, levelOf(ctx.state, placement.pool)),
    fleetLoads: fleetLoadsOf(view),
  };
  if (order.kind === 'load-model' && !hasRoom(orders.fold, bounds)) {
    withdrawAbandoned(ctx);
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
    ...bounds,
  };
  orders.nextOrder += 1;
  orders.progress.set(upstream.id, {
    upstream: upstream.id,
    id: record.id,
    order,
    startedAt: ctx.now,
    phase: 'appending',
    appendId: append(ctx, record),
    number: NO_ORDER,
    givenAt: ctx.now,
    attempts: 0,
  });
}

/** Loads that never ended, of instances or upstreams that are gone, must not hold others up. */
function withdrawAbandoned(ctx: CoreContext): void {
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
 * Another instance's order may be under way. An engine that checks numbers refuses it once a newer
 * one came, so it can be replaced at once; with any other engine it is waited for.
 */
function mayTakeEffect(ctx: CoreContext, upstream: UpstreamConfig, number: number): boolean {
  const { foreignSince } = ctx.state.orders;
  const since = foreignSince.get(number) ?? ctx.now;
  foreignSince.set(number, since);
  const waitMs = upstream.checksOrders ? GIVE_AGAIN_MS : ctx.state.settings.orderTimeoutMs;
  return ctx.now - since < waitMs;
}

/** Looks after an order under way. */
function watch(
  ctx: CoreContext,
  upstream: UpstreamConfig,
  progress: OrderProgress,
  observed: { readonly report: UpstreamReport; readonly at: number },
): void {
  const { orders, settings } = ctx.state;
  if (progress.phase === 'appending') {
    // Whether its record counts is known only from reading it.
    if (ctx.now - progress.startedAt > GIVE_WITHIN_MS) orders.progress.delete(upstream.id);
    return;
  }
  if (observed.at > progress.givenAt && hasEffect(progress.order, observed.report)) {
    end(ctx, progress, 'done');
  } else if (ctx.now - progress.startedAt > settings.orderTimeoutMs) {
    end(ctx, progress, 'failed');
  } else if (progress.phase === 'observing' && ctx.now - progress.givenAt > GIVE_AGAIN_MS) {
    give(ctx, upstream, progress);
  }
}

function give(ctx: CoreContext, upstream: UpstreamConfig, progress: OrderProgress): void {
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
  count(ctx, 'orders.given', 1, { kind: order.kind });
}

/** Takes the engine's answer. What an answer leaves open, the engine's next reports tell. */
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
      // Someone else's newer order stands; the next comparison decides.
      end(ctx, progress, 'withdrawn');
      return;
    default:
      end(ctx, progress, 'failed');
  }
}

function end(ctx: CoreContext, progress: OrderProgress, outcome: OrderOutcome): void {
  const { orders } = ctx.state;
  const { upstream, number, order } = progress;
  orders.progress.delete(upstream);
  if (outcome !== 'done') {
    const pause = FAILED_PAUSE_MS * Math.max(1, progress.attempts);
    orders.notBefore.set(upstream, ctx.now + pause * (1 + ctx.state.random.next()));
  }
  appendSettled(ctx, upstream, number, outcome);
  const detail = `${JSON.stringify(order)} number ${number} ${outcome}`;
  audit(ctx, 'order', upstream, detail, outcome === 'done');
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
  orders.settling.set(append(ctx, record), upstream);
}

function append(ctx: CoreContext, record: OrderRecord | SettledRecord): number {
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
  const isOutstanding =
    orders.readSentAt !== undefined && ctx.now - orders.readSentAt < READ_TIMEOUT_MS;
  if (isOutstanding) return;
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
    // Orders that old have long taken effect or failed; the reports tell.
    orders.fold = createOrdersFold();
    orders.fold.next = result.oldest;
    requestRead(ctx);
  } else if (result.kind === 'records') {
    result.records.forEach((record) => {
      const judged = foldOrder(orders.fold, record);
      if (judged !== undefined) onJudged(ctx, judged);
    });
    orders.fold.next = Math.max(orders.fold.next, result.next);
    if (result.records.length === READ_LIMIT) requestRead(ctx);
    else orders.atEndAt = ctx.now;
  }
}

/** An order of this instance that counts is given, unless it has become old. */
function onJudged(ctx: CoreContext, judged: JudgedOrder): void {
  const { orders, configuration } = ctx.state;
  const { upstream: id } = judged.record;
  const progress = orders.progress.get(id);
  if (progress?.id !== judged.record.id) return;
  const upstream = configuration.view?.upstreams.get(id);
  const isOld = ctx.now - progress.startedAt > GIVE_WITHIN_MS;
  if (!judged.isValid || upstream === undefined || isOld || !isOwner(ctx.state, id)) {
    orders.progress.delete(id);
    return;
  }
  progress.number = judged.number;
  give(ctx, upstream, progress);
}

/** Returns the orders under way here and all that are outstanding in the fleet. */
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
