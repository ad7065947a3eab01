/**
 * Distinguishes crashes of upstreams from single broken connections. A broken connection triggers a
 * probe; if the upstream does not answer, or has started again, all requests interrupted at about that
 * time are suspected of having crashed it. An upstream that drains or leaves was stopped by its operator.
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

/** Counts a crash for each request that was recently interrupted at a lost upstream. */
export function confirmCrash(ctx: RoutingContext, upstream: Upstream): void {
  const { interruptedRequests } = upstream;
  upstream.interruptedRequests = [];
  const recent = interruptedRequests.filter(({ at }) => ctx.now - at < CRASH_WINDOW_MS);
  const [first] = recent;
  if (first === undefined) return;
  const suspected = recent.filter(({ wasAnswering }) => !wasAnswering);
  const { id, pool } = upstream.listed;
  logWarning(ctx, 'upstreamCrashed', {
    upstream: id,
    pool,
    interrupted: recent.length,
    suspected: suspected.length,
    afterMs: Math.round(ctx.now - first.at),
  });
  suspected.forEach(({ facts, at, sentAt }) =>
    recordCrash(ctx, facts, { upstream: upstream.hash, crashedAt: at, runMs: at - sentAt }),
  );
}
