/**
 * Distinguishes crashes of upstreams from single broken connections. A broken connection triggers a
 * probe; if the upstream does not answer, or has started again, all requests interrupted at about that
 * time are suspected of having crashed it. An upstream that drains or leaves was stopped by its operator.
 *
 * An upstream may also crash without a sign: its connections stay open and bring nothing. Requests that were
 * open when it fell silent are suspected only once the list shows that it is gone or has started again, since
 * one that is cut off for a while is silent, too.
 */
import type { Millis } from '../../core/clock.js';
import { emit, logWarning, type RoutingContext } from '../context.js';
import { recordCrash } from '../suspects/suspects.js';
import { isLeaving } from './leaving.js';
import { remainingPause } from './pauses.js';
import type { InterruptedRequest, Upstream } from './upstreamsState.js';

/**
 * Maximum time between an interrupted request and the loss of its upstream for the two to be
 * related.
 */
const CRASH_WINDOW_MS: Millis = 1_500;
/** Minimum time between two probes triggered by interrupted requests. */
const MIN_PROBE_INTERVAL_MS: Millis = 250;
/** Maximum number of requests kept for one silent upstream. */
const MAX_SILENCED = 100;

/** Records a request that was interrupted at an upstream, and probes the upstream. */
export function recordInterruptedRequest(
  ctx: RoutingContext,
  upstream: Upstream,
  interrupted: InterruptedRequest,
): void {
  if (upstream.listed.phase === 'draining' || isLeaving(ctx, upstream)) return;
  const previous = upstream.interruptedRequests.at(-1);
  recordEndedConnection(ctx, upstream, interrupted);
  if (upstream.reachability.kind === 'lost') {
    confirmCrash(ctx, upstream);
    return;
  }
  // A probe counts as a request. That the upstream starts again shows the crash as well.
  if (remainingPause(ctx, upstream) > 0) return;
  if (previous !== undefined && ctx.now - previous.at < MIN_PROBE_INTERVAL_MS) return;
  const { id, startedAt: upstreamStartedAt, address } = upstream.listed;
  emit(ctx, { kind: 'probe', upstream: id, upstreamStartedAt, address });
}

/**
 * Records a request whose answer ended with its connection. It is complete unless the upstream turns out
 * to have crashed at that time.
 */
export function recordEndedConnection(
  ctx: RoutingContext,
  upstream: Upstream,
  ended: InterruptedRequest,
): void {
  upstream.interruptedRequests = upstream.interruptedRequests.filter(
    ({ at }) => ctx.now - at < CRASH_WINDOW_MS,
  );
  upstream.interruptedRequests.push(ended);
}

/**
 * Records the requests that are open at an upstream that has just fallen silent. It may seem reachable in between,
 * as it takes connections; the first record of a request holds.
 */
export function recordSilence(ctx: RoutingContext, upstream: Upstream): void {
  if (upstream.listed.phase === 'draining' || isLeaving(ctx, upstream)) return;
  const known = new Set(upstream.silencedRequests.map(({ facts }) => facts.request));
  const added = openRequestsAt(ctx, upstream).filter(({ facts }) => !known.has(facts.request));
  upstream.silencedRequests = [...upstream.silencedRequests, ...added].slice(0, MAX_SILENCED);
}

function openRequestsAt(ctx: RoutingContext, upstream: Upstream): readonly InterruptedRequest[] {
  const { id, startedAt: upstreamStartedAt } = upstream.listed;
  const { attempts, open } = ctx.state.requests;
  return [...attempts.values()].flatMap((attempt) => {
    const facts = open.get(attempt.request)?.facts;
    const isHere = attempt.upstream === id && attempt.upstreamStartedAt === upstreamStartedAt;
    if (!isHere || facts === undefined) return [];
    const { startedAt: sentAt, wasAnswering } = attempt;
    return [{ facts, sentAt, at: Math.max(upstream.lastHeardAt, sentAt), wasAnswering }];
  });
}

/** Counts a crash for each request that was open when an upstream fell silent that is gone now. */
export function confirmSilentCrash(ctx: RoutingContext, upstream: Upstream): void {
  const { silencedRequests } = upstream;
  upstream.silencedRequests = [];
  countCrash(ctx, upstream, silencedRequests);
}

/** Counts a crash for each request that was recently interrupted at a lost upstream. */
export function confirmCrash(ctx: RoutingContext, upstream: Upstream): void {
  const { interruptedRequests } = upstream;
  upstream.interruptedRequests = [];
  const recent = interruptedRequests.filter(({ at }) => ctx.now - at < CRASH_WINDOW_MS);
  countCrash(ctx, upstream, recent);
}

function countCrash(
  ctx: RoutingContext,
  upstream: Upstream,
  interrupted: readonly InterruptedRequest[],
): void {
  const [first] = interrupted;
  if (first === undefined) return;
  const suspected = interrupted.filter(({ wasAnswering }) => !wasAnswering);
  const { id, pool } = upstream.listed;
  logWarning(ctx, 'upstreamCrashed', {
    upstream: id,
    pool,
    interrupted: interrupted.length,
    suspected: suspected.length,
    afterMs: Math.round(ctx.now - first.at),
  });
  suspected.forEach(({ facts, at, sentAt }) =>
    recordCrash(ctx, facts, { upstream: upstream.hash, crashedAt: at, runMs: at - sentAt }),
  );
}
