/**
 * The instance's own processor as a resource: how busy its loop is and by how much it is late.
 *
 * Load pattern: many callers reach one small instance, or all of them return to a fleet that has just
 * started. Its upstreams are idle, and yet callers wait, because the process itself is saturated.
 * What control takes from callers then has to be little.
 */
import type { Millis } from '../../core/clock.js';
import { emit, logInfo, logWarning, type RoutingContext } from '../context.js';
import type { LogFields } from '../types.js';

/** What the host has measured over the last interval. */
export interface LoadReading {
  /** Part of the time in which the loop was at work or waited for the processor, from 0 to 1. */
  readonly utilization: number;
  /** Time by which the loop was late. */
  readonly lagMs: Millis;
  /** Counts of what passed the ports, for logs. */
  readonly counts: Readonly<Record<string, number>>;
}

export interface OwnLoad {
  utilization: number;
  lagMs: Millis;
  /** Whether new callers are better off at another instance. */
  isSaturated: boolean;
}

/** Utilization from which on control is told and read less often. */
const BUSY = 0.5;
/** How many times as seldom at most. */
const MAX_STRETCH = 3;
/** Utilization from which on the process counts as saturated. */
const SATURATED = 0.95;
/** Utilization up to which a saturated process takes new callers again. */
const RELIEVED = 0.7;

export function createOwnLoad(): OwnLoad {
  return { utilization: 0, lagMs: 0, isSaturated: false };
}

/** Takes in a reading; a saturated process leaves a line of the class that is kept longest. */
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
  const log = reading.utilization >= SATURATED ? logWarning : logInfo;
  log(ctx, 'loadMeasured', fields);
}

/** The balancer sends new callers elsewhere, and answers end their connections meanwhile. */
function updateSaturation(ctx: RoutingContext): void {
  const { load } = ctx.state;
  const isSaturated = load.utilization > (load.isSaturated ? RELIEVED : SATURATED);
  if (isSaturated === load.isSaturated) return;
  load.isSaturated = isSaturated;
  emit(ctx, { kind: 'moveCallers', isMoving: isSaturated });
}

/** Factor of the intervals of control: 1 while the processor has time to spare. */
export function controlStretch({ state }: RoutingContext): number {
  const { utilization } = state.load;
  const excess = Math.max(0, utilization - BUSY) / (1 - BUSY);
  return 1 + excess * (MAX_STRETCH - 1);
}
