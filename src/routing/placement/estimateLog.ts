/** Tells operators what this instance has learnt of the speed of each pool's upstreams. */
import type { Millis } from '../../core/clock.js';
import { logInfo, type RoutingContext } from '../context.js';

/** Logs the estimates of each pool of whose upstreams something has been learnt. */
export function logEstimates(ctx: RoutingContext): void {
  const { poolSpeeds, poolWaits } = ctx.state.upstreams;
  poolSpeeds.forEach((speed, pool) => {
    const baseMs = speed.baseMs();
    if (baseMs === undefined) return;
    const perTokenMs = speed.perTokenMs();
    logInfo(ctx, 'poolEstimated', {
      pool,
      baseMs: Math.round(baseMs),
      perTokenMs: perTokenMs === undefined ? undefined : Number(perTokenMs.toPrecision(3)),
      holdMs: roundIfKnown(speed.holdMs()),
      idleness: Number((poolWaits.get(pool)?.idleness() ?? 0).toFixed(2)),
    });
  });
}

/** Returns the longest estimated time to a first event without any wait and tokens, among pools. */
export function longestBase({ state }: RoutingContext): Millis {
  const bases = [...state.upstreams.poolSpeeds.values()].map((speed) => speed.baseMs() ?? 0);
  return Math.max(0, ...bases);
}

function roundIfKnown(value: Millis | undefined): Millis | undefined {
  return value === undefined ? undefined : Math.round(value);
}
