/**
 * Graceful shutdown. The instance reports itself as not ready at once, still accepts requests for a
 * short time while callers move to other instances, waits for open requests and then stops. It
 * stops shortly before the platform would kill the process, even if requests are still open.
 */
import type { Millis } from '../../core/clock.js';
import { emit, logInfo, setTimer, type RoutingContext } from '../context.js';
import { announceLeaving } from '../exchange/exchange.js';

const STOP_CHECK_INTERVAL_MS: Millis = 100;
/**
 * Minimum duration of a stop: the load balancer needs some seconds to route new callers elsewhere.
 */
const MIN_STOP_DURATION_MS: Millis = 2_800;
/** The process exits by itself this long before the platform would kill it. */
const STOP_MARGIN_MS: Millis = 350;

export function onPlannedStop(ctx: RoutingContext): void {
  if (ctx.state.stopRequestedAt !== undefined) return;
  ctx.state.stopRequestedAt = ctx.now;
  ctx.state.phase = 'stopping';
  logInfo(ctx, 'stopRequested', { open: ctx.state.requests.open.size });
  updateReadiness(ctx);
  announceLeaving(ctx);
  emit(ctx, { kind: 'closeCallers' });
  setTimer(ctx, 'stop', STOP_CHECK_INTERVAL_MS);
}

export function onStopTimer(ctx: RoutingContext): void {
  const { stopRequestedAt, settings, requests } = ctx.state;
  if (stopRequestedAt === undefined || ctx.state.phase === 'stopped') return;
  const elapsedMs = ctx.now - stopRequestedAt;
  const isIdle = requests.open.size === 0 && elapsedMs >= MIN_STOP_DURATION_MS;
  if (!isIdle && elapsedMs < settings.stopGraceMs - STOP_MARGIN_MS) {
    setTimer(ctx, 'stop', STOP_CHECK_INTERVAL_MS);
    return;
  }
  ctx.state.phase = 'stopped';
  logInfo(ctx, 'stopped', { afterMs: Math.round(elapsedMs), open: requests.open.size });
  emit(ctx, { kind: 'stopped' });
}

/** Returns how long open requests of a stopping instance may still run; `undefined` if it is not stopping. */
export function remainingGrace({ state, now }: RoutingContext): Millis | undefined {
  const { stopRequestedAt, settings } = state;
  if (stopRequestedAt === undefined) return undefined;
  return stopRequestedAt + settings.stopGraceMs - STOP_MARGIN_MS - now;
}

/** Updates the readiness that the load balancer sees. */
export function updateReadiness(ctx: RoutingContext): void {
  const { freshness, upstreams, load, phase } = ctx.state;
  const isStopping = phase === 'stopping' || phase === 'stopped';
  const isReady = !isStopping && freshness.isFresh && upstreams.isKnown && !load.isSaturated;
  if (isReady === ctx.state.isReady) return;
  ctx.state.isReady = isReady;
  if (isReady && phase === 'starting') ctx.state.phase = 'running';
  emit(ctx, { kind: 'setReady', isReady });
  logInfo(ctx, isReady ? 'ready' : 'notReady', {
    isConfigurationFresh: freshness.isFresh,
    isListKnown: upstreams.isKnown,
    isSaturated: load.isSaturated,
    phase,
  });
}
