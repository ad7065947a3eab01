/**
 * Planned stop of an instance. It is no longer ready at once, still takes requests for a short time
 * in which callers move away, lets what runs end, and then stops; at the latest a little before the
 * platform would end the process.
 */
import type { Millis } from '../../core/clock.js';
import { emit, logInfo, setTimer, type RoutingContext } from '../context.js';
import { announceLeaving } from '../exchange/exchange.js';

const CHECK_INTERVAL_MS: Millis = 100;
/** Shortest time to the end: the balancer takes some seconds to send new callers elsewhere. */
const MIN_STOP_MS: Millis = 2_800;
/** The process ends by itself this long before the platform would end it. */
const STOP_MARGIN_MS: Millis = 350;

export function onPlannedStop(ctx: RoutingContext): void {
  if (ctx.state.stopRequestedAt !== undefined) return;
  ctx.state.stopRequestedAt = ctx.now;
  ctx.state.phase = 'stopping';
  logInfo(ctx, 'stopRequested', { open: ctx.state.requests.open.size });
  updateReadiness(ctx);
  announceLeaving(ctx);
  emit(ctx, { kind: 'closeCallers' });
  setTimer(ctx, 'stop', CHECK_INTERVAL_MS);
}

export function onStopTimer(ctx: RoutingContext): void {
  const { stopRequestedAt, settings, requests } = ctx.state;
  if (stopRequestedAt === undefined || ctx.state.phase === 'stopped') return;
  const since = ctx.now - stopRequestedAt;
  const isIdle = requests.open.size === 0 && since >= MIN_STOP_MS;
  if (!isIdle && since < settings.stopGraceMs - STOP_MARGIN_MS) {
    setTimer(ctx, 'stop', CHECK_INTERVAL_MS);
    return;
  }
  ctx.state.phase = 'stopped';
  logInfo(ctx, 'stopped', { afterMs: Math.round(since), open: requests.open.size });
  emit(ctx, { kind: 'stopped' });
}

/** Tells the balancer whether new callers may come. */
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
