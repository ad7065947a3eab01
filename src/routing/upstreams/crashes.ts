/**
 * Tells crashes of upstreams from single broken connections. A broken connection is checked by a
 * probe; if the upstream does not answer it, all requests that it cut off at that time are suspected
 * to have crashed it.
 */
import type { Millis } from '../../core/clock.js';
import { emit, type RoutingContext } from '../context.js';
import { recordCrash } from '../suspects/suspects.js';
import type { Upstream } from './upstreamsState.js';

/** Time within which a cut and the loss of its upstream belong together. */
const CRASH_SPAN_MS: Millis = 1_500;
/** Shortest time between two probes after cuts. */
const PROBE_SPACING_MS: Millis = 250;

/** Counts a request that was cut off at an upstream, and has the upstream probed. */
export function noteCut(ctx: RoutingContext, upstream: Upstream, fingerprint: number): void {
  upstream.cuts = upstream.cuts.filter(({ at }) => ctx.now - at < CRASH_SPAN_MS);
  const previous = upstream.cuts.at(-1);
  upstream.cuts.push({ fingerprint, at: ctx.now });
  if (upstream.reachability.kind === 'lost') {
    confirmCrash(ctx, upstream);
    return;
  }
  if (previous !== undefined && ctx.now - previous.at < PROBE_SPACING_MS) return;
  const { id, bornAt, address } = upstream.listed;
  emit(ctx, { kind: 'probe', upstream: id, bornAt, address });
}

/** The upstream is gone: what it cut off lately is suspected. */
export function confirmCrash(ctx: RoutingContext, upstream: Upstream): void {
  const { cuts } = upstream;
  upstream.cuts = [];
  cuts
    .filter(({ at }) => ctx.now - at < CRASH_SPAN_MS)
    .forEach(({ fingerprint }) => recordCrash(ctx, fingerprint, upstream.listed.id));
}
