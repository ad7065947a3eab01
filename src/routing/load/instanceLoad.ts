/**
 * Load of the instance's own process: utilization and lag of its event loop.
 *
 * Load pattern: many callers reach one small instance, or all of them return to a fleet that has
 * just started. The upstreams are idle, yet callers wait because the process itself is saturated.
 * Control traffic must then take little time from callers.
 */
import type { Millis } from '../../core/clock.js';
import { emit, logInfo, logWarning, type RoutingContext } from '../context.js';
import type { LogFields } from '../types.js';

/** Measurements of the host over the last interval. */
export interface LoadReading {
  /**
   * Fraction of the time in which the event loop was busy or waited for the processor, from 0 to 1.
   */
  readonly utilization: number;
  /** Lag of the event loop. */
  readonly lagMs: Millis;
  /** Traffic counts of the ports, for logging. */
  readonly counts: Readonly<Record<string, number>>;
}

export interface InstanceLoad {
  utilization: number;
  lagMs: Millis;
  /** Smoothed lateness of the periodic checks (`ownDelay.ts`). */
  turnDelayMs: Millis;
  /** Whether new callers should be directed to another instance. */
  isSaturated: boolean;
}

/** Utilization above which control messages are sent and read less often. */
const BUSY_UTILIZATION = 0.5;
/** Upper bound of the factor by which control intervals are extended. */
const MAX_INTERVAL_FACTOR = 3;
/** Utilization at which the process counts as saturated. */
const SATURATED_UTILIZATION = 0.95;
/**
 * Utilization at which a saturated process accepts new callers again. The gap to
 * `SATURATED_UTILIZATION` is hysteresis.
 */
const RELIEVED_UTILIZATION = 0.7;

export function createInstanceLoad(): InstanceLoad {
  return { utilization: 0, lagMs: 0, turnDelayMs: 0, isSaturated: false };
}

/**
 * Applies a measurement. A saturated process logs it as a warning, since warnings are kept longest.
 */
export function onLoadMeasured(ctx: RoutingContext, reading: LoadReading): void {
  const { load, requests, isReady } = ctx.state;
  load.utilization = reading.utilization;
  load.lagMs = reading.lagMs;
  updateSaturation(ctx);
  const fields: LogFields = {
    ...reading.counts,
    utilization: Number(reading.utilization.toFixed(3)),
    lagMs: Math.round(reading.lagMs),
    open: requests.open.size,
    isReady,
  };
  const log = reading.utilization >= SATURATED_UTILIZATION ? logWarning : logInfo;
  log(ctx, 'loadMeasured', fields);
}

/**
 * Updates whether the process is saturated. While it is, the load balancer sends new callers to
 * other instances, and responses close the connections of callers.
 */
function updateSaturation(ctx: RoutingContext): void {
  const { load } = ctx.state;
  const isSaturated =
    load.utilization > (load.isSaturated ? RELIEVED_UTILIZATION : SATURATED_UTILIZATION);
  if (isSaturated === load.isSaturated) return;
  load.isSaturated = isSaturated;
  emit(ctx, { kind: 'moveCallers', isMoving: isSaturated });
}

/** Returns the factor for control intervals: 1 while the processor has time to spare. */
export function controlIntervalFactor({ state }: RoutingContext): number {
  const { utilization } = state.load;
  const excess = Math.max(0, utilization - BUSY_UTILIZATION) / (1 - BUSY_UTILIZATION);
  return 1 + excess * (MAX_INTERVAL_FACTOR - 1);
}
