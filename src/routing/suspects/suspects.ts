/**
 * Detects requests that crash upstreams. Each instance counts the crashes it observed per request
 * fingerprint and sends the counts to the others; the sum over all instances decides. Once the sum
 * reaches the limit, the request is refused on all instances until no further crash has been
 * counted for `EXPIRE_AFTER_MS`.
 *
 * A connection reset alone is not a crash: an upstream counts as crashed only if it is then found
 * to be unreachable (`upstreams/crashes.ts`).
 */
import type { Millis } from '../../core/clock.js';
import { logWarning, type RoutingContext } from '../context.js';
import type { InstanceId } from '../types.js';

/** Time without a new crash after which the counts of a request are removed. */
const EXPIRE_AFTER_MS: Millis = 120_000;
/** Maximum number of fingerprints; the oldest are evicted first. */
const MAX_FINGERPRINTS = 2_000;

/** Counts a crash of an upstream that was running a request of this instance. */
export function recordCrash(ctx: RoutingContext, fingerprint: number, upstream: string): void {
  const own = crashRecordOf(ctx, fingerprint, ctx.state.self.id);
  own.crashes += 1;
  own.at = ctx.now;
  const total = totalCrashes(ctx, fingerprint);
  logWarning(ctx, 'requestSuspected', { fingerprint, upstream, crashes: total });
}

/** Merges the count reported by another instance, or by the relay of another failure domain. */
export function recordReportedCrashes(
  ctx: RoutingContext,
  from: InstanceId,
  fingerprint: number,
  crashes: number,
): void {
  const seen = crashRecordOf(ctx, fingerprint, from);
  if (crashes > seen.crashes) {
    logWarning(ctx, 'requestSuspected', { fingerprint, from, crashes });
    seen.at = ctx.now;
  }
  seen.crashes = Math.max(seen.crashes, crashes);
}

/** Returns whether a request must not be sent to upstreams any more. */
export function isBlocked(ctx: RoutingContext, fingerprint: number): boolean {
  return totalCrashes(ctx, fingerprint) >= ctx.state.settings.maxCrashes;
}

/** Sums the crashes that the given instances observed, by fingerprint. */
export function crashCountsOf(
  ctx: RoutingContext,
  instances: ReadonlySet<InstanceId>,
): readonly { readonly fingerprint: number; readonly crashes: number }[] {
  const found: { fingerprint: number; crashes: number }[] = [];
  ctx.state.suspects.byFingerprint.forEach((seen, fingerprint) => {
    let total = 0;
    seen.forEach(({ crashes }, instance) => {
      if (instances.has(instance)) total += crashes;
    });
    if (total > 0) found.push({ fingerprint, crashes: total });
  });
  return found;
}

/** Removes counts that have not increased for `EXPIRE_AFTER_MS`. */
export function expireCrashes(ctx: RoutingContext): void {
  const { byFingerprint } = ctx.state.suspects;
  byFingerprint.forEach((seen, fingerprint) => {
    const latest = Math.max(...[...seen.values()].map(({ at }) => at));
    if (ctx.now - latest > EXPIRE_AFTER_MS) byFingerprint.delete(fingerprint);
  });
}

function totalCrashes(ctx: RoutingContext, fingerprint: number): number {
  let total = 0;
  ctx.state.suspects.byFingerprint.get(fingerprint)?.forEach(({ crashes }) => {
    total += crashes;
  });
  return total;
}

function crashRecordOf(ctx: RoutingContext, fingerprint: number, instance: InstanceId) {
  const { byFingerprint } = ctx.state.suspects;
  const seen =
    byFingerprint.get(fingerprint) ?? new Map<InstanceId, { crashes: number; at: Millis }>();
  if (!byFingerprint.has(fingerprint) && byFingerprint.size >= MAX_FINGERPRINTS) {
    const [oldest] = byFingerprint.keys();
    if (oldest !== undefined) byFingerprint.delete(oldest);
  }
  byFingerprint.set(fingerprint, seen);
  const crashes = seen.get(instance) ?? { crashes: 0, at: ctx.now };
  seen.set(instance, crashes);
  return crashes;
}
