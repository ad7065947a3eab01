/**
 * Detects unresponsive upstreams by how they respond to callers' requests, since open connections
 * may fall silent without an error, and a health check may pass while requests fail. An upstream is
 * lost if it refuses connections, or if it has open work and has sent nothing for longer than it
 * usually takes. A lost upstream receives no requests; it is probed periodically and used again
 * once it answers.
 */
import type { Millis } from '../../core/clock.js';
import { emit, logInfo, logWarning, type RoutingContext } from '../context.js';
import { remainingPause } from './pauses.js';
import type { Upstream } from './upstreamsState.js';

/** Lower bound of the silence timeout, whatever the upstream's usual response time. */
const MIN_SILENCE_TIMEOUT_MS: Millis = 600;
/** Silence timeout as a multiple of the usual time to the first event. */
const SILENCE_TIMEOUT_FACTOR = 4;
const PROBE_INTERVAL_MS: Millis = 700;
/** Smoothing factor of the failure rate, applied for each result. */
const FAILURE_RATE_SMOOTHING = 0.08;
/** Failure rate from which an upstream is logged as faulty; the line includes its pool's rate. */
const REPORTED_FAILURE_RATE = 0.25;
/** Consecutive failed connections after which an upstream counts as lost. */
const MAX_FAILED_CONNECTS = 2;

/** Records that an upstream has sent a part of an answer. */
export function markAnswering(ctx: RoutingContext, upstream: Upstream): void {
  // A probe is a connection only, which a crashed upstream may accept as well.
  upstream.silencedRequests = [];
  markReachable(ctx, upstream);
}

/** Records that an upstream takes connections. */
export function markReachable(ctx: RoutingContext, upstream: Upstream): void {
  upstream.lastHeardAt = ctx.now;
  upstream.failedConnects = 0;
  if (upstream.reachability.kind === 'reachable') return;
  const { since } = upstream.reachability;
  upstream.reachability = { kind: 'reachable' };
  logInfo(ctx, 'upstreamRegained', { upstream: upstream.listed.id, lostForMs: ctx.now - since });
}

export function markLost(ctx: RoutingContext, upstream: Upstream, reason: string): void {
  if (upstream.reachability.kind === 'lost') return;
  upstream.reachability = { kind: 'lost', since: ctx.now, nextProbeAt: ctx.now };
  const { id } = upstream.listed;
  const silentForMs = ctx.now - upstream.lastHeardAt;
  logWarning(ctx, 'upstreamLost', {
    upstream: id,
    reason,
    silentForMs,
    running: upstream.own.running,
  });
}

/** Counts a failed attempt to open a connection. */
export function recordFailedConnect(ctx: RoutingContext, upstream: Upstream, reason: string): void {
  upstream.failedConnects += 1;
  if (upstream.failedConnects >= MAX_FAILED_CONNECTS) markLost(ctx, upstream, reason);
}

/** Updates the failure rate of an upstream with the result of a request. */
export function recordResult(ctx: RoutingContext, upstream: Upstream, isFailure: boolean): void {
  const before = upstream.failureRate;
  upstream.failureRate += FAILURE_RATE_SMOOTHING * ((isFailure ? 1 : 0) - before);
  const hasCrossedThreshold =
    before < REPORTED_FAILURE_RATE && upstream.failureRate >= REPORTED_FAILURE_RATE;
  if (!hasCrossedThreshold) return;
  const { id, pool } = upstream.listed;
  const { failureRate } = upstream;
  logWarning(ctx, 'upstreamFaulty', {
    upstream: id,
    failureRate,
    ofPool: poolFailureRate(ctx, pool),
  });
}

/** Returns the mean failure rate of a pool's upstreams. */
function poolFailureRate(ctx: RoutingContext, pool: string): number {
  const rates = [...ctx.state.upstreams.byId.values()]
    .filter(({ listed }) => listed.pool === pool)
    .map(({ failureRate }) => failureRate);
  if (rates.length === 0) return 0;
  return rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
}

/** Returns how long an upstream with open work may be silent before it counts as lost. */
export function silenceTimeout(upstream: Upstream, objectiveMs: Millis): Millis {
  const usual = upstream.speed.baseMs() ?? objectiveMs;
  return Math.max(MIN_SILENCE_TIMEOUT_MS, objectiveMs, SILENCE_TIMEOUT_FACTOR * usual);
}

/** Probes the lost upstreams whose next probe is due, unless they want no requests. */
export function probeLostUpstreams(ctx: RoutingContext): void {
  ctx.state.upstreams.byId.forEach((upstream) => {
    const { reachability, listed } = upstream;
    if (reachability.kind !== 'lost' || ctx.now < reachability.nextProbeAt) return;
    if (remainingPause(ctx, upstream) > 0) return;
    const jitter = PROBE_INTERVAL_MS * ctx.state.random.next();
    upstream.reachability = {
      ...reachability,
      nextProbeAt: ctx.now + PROBE_INTERVAL_MS + jitter,
    };
    const { id, startedAt: upstreamStartedAt, address } = listed;
    emit(ctx, { kind: 'probe', upstream: id, upstreamStartedAt, address });
  });
}
