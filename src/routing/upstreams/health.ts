/**
 * Finds upstreams that do not answer, from the answers themselves: open connections may fall silent
 * without an error, and a health check may pass while requests fail. An upstream is lost when it
 * refuses connections, or when work is open there and nothing has come for longer than it usually
 * takes. A lost upstream gets no requests; it is probed now and then and used again once it answers.
 */
import type { Millis } from '../../core/clock.js';
import { emit, logInfo, logWarning, type RoutingContext } from '../context.js';
import type { Upstream } from './upstreamsState.js';

/** Shortest silence that counts, whatever the upstream's usual times are. */
const MIN_SILENCE_MS: Millis = 600;
/** Silence that counts, relative to the usual time to a first event. */
const SILENCE_FACTOR = 4;
const PROBE_INTERVAL_MS: Millis = 700;
/** Weight of one outcome in the part of requests that failed. */
const FAILURE_WEIGHT = 0.08;
/** Share of failures from which an upstream is reported, if its pool has fewer. */
const REPORTED_FAILURE_RATE = 0.25;
/** Failed connections in a row after which an upstream is taken for lost. */
const MAX_FAILED_CONNECTS = 2;

export function noteHeard(ctx: RoutingContext, upstream: Upstream): void {
  upstream.lastHeardAt = ctx.now;
  upstream.failedConnects = 0;
  if (upstream.reachability.kind === 'reachable') return;
  const { since } = upstream.reachability;
  upstream.reachability = { kind: 'reachable' };
  logInfo(ctx, 'upstreamRegained', { upstream: upstream.listed.id, lostForMs: ctx.now - since });
}

export function noteLost(ctx: RoutingContext, upstream: Upstream, reason: string): void {
  if (upstream.reachability.kind === 'lost') return;
  upstream.reachability = { kind: 'lost', since: ctx.now, probeAt: ctx.now };
  const { id } = upstream.listed;
  const silentForMs = ctx.now - upstream.lastHeardAt;
  logWarning(ctx, 'upstreamLost', {
    upstream: id,
    reason,
    silentForMs,
    running: upstream.own.running,
  });
}

/** Counts a connection that could not be opened. */
export function noteFailedConnect(ctx: RoutingContext, upstream: Upstream, reason: string): void {
  upstream.failedConnects += 1;
  if (upstream.failedConnects >= MAX_FAILED_CONNECTS) noteLost(ctx, upstream, reason);
}

/** Takes in whether a request went well at an upstream. */
export function noteResult(ctx: RoutingContext, upstream: Upstream, isFailure: boolean): void {
  const before = upstream.failureRate;
  upstream.failureRate += FAILURE_WEIGHT * ((isFailure ? 1 : 0) - before);
  const crossed = before < REPORTED_FAILURE_RATE && upstream.failureRate >= REPORTED_FAILURE_RATE;
  if (!crossed) return;
  const { id, pool } = upstream.listed;
  const { failureRate } = upstream;
  logWarning(ctx, 'upstreamFaulty', {
    upstream: id,
    failureRate,
    ofPool: poolFailureRate(ctx, pool),
  });
}

/** Average part of the requests of a pool that fail. */
function poolFailureRate(ctx: RoutingContext, pool: string): number {
  const rates = [...ctx.state.upstreams.byId.values()]
    .filter(({ listed }) => listed.pool === pool)
    .map(({ failureRate }) => failureRate);
  if (rates.length === 0) return 0;
  return rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
}

/** Silence of an upstream with open work from which on it is taken for lost. */
export function longestSilence(upstream: Upstream, objectiveMs: Millis): Millis {
  const usual = upstream.speed.baseMs() ?? objectiveMs;
  return Math.max(MIN_SILENCE_MS, objectiveMs, SILENCE_FACTOR * usual);
}

/** Probes the lost upstreams that are due. */
export function probeLost(ctx: RoutingContext): void {
  ctx.state.upstreams.byId.forEach((upstream) => {
    const { reachability, listed } = upstream;
    if (reachability.kind !== 'lost' || ctx.now < reachability.probeAt) return;
    const jitter = PROBE_INTERVAL_MS * ctx.state.random.next();
    upstream.reachability = {
      ...reachability,
      probeAt: ctx.now + PROBE_INTERVAL_MS + jitter,
    };
    const { id, bornAt, address } = listed;
    emit(ctx, { kind: 'probe', upstream: id, bornAt, address });
  });
}
