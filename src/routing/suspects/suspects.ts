/**
 * Requests that crash the upstreams that run them. Each instance counts the crashes that it saw of a
 * request, known by its fingerprint, and tells the others; the sum over the instances decides. Once
 * it has reached the limit, the request is refused everywhere until it has not been seen for long.
 *
 * A connection that is reset alone is no crash: only an upstream that is then found unreachable, or
 * that has lost several requests at the same moment, is taken for crashed.
 */
import type { Millis } from '../../core/clock.js';
import { logWarning, type RoutingContext } from '../context.js';
import type { InstanceId } from '../types.js';

/** Time after which crashes of a request that did not come again are forgotten. */
const FORGET_AFTER_MS: Millis = 120_000;
/** Fingerprints that are kept; the oldest go first. */
const MAX_FINGERPRINTS = 2_000;

/** Counts a crash of an upstream while it ran a request of this instance. */
export function noteCrash(ctx: RoutingContext, fingerprint: number, upstream: string): void {
  const own = crashesOf(ctx, fingerprint, ctx.state.self.id);
  own.crashes += 1;
  own.at = ctx.now;
  const total = totalCrashes(ctx, fingerprint);
  logWarning(ctx, 'requestSuspected', { fingerprint, upstream, crashes: total });
}

/** Takes over what another instance, or all of another failure domain, has counted. */
export function noteReportedCrashes(
  ctx: RoutingContext,
  from: InstanceId,
  fingerprint: number,
  crashes: number,
): void {
  const seen = crashesOf(ctx, fingerprint, from);
  if (crashes > seen.crashes) {
    logWarning(ctx, 'requestSuspected', { fingerprint, from, crashes });
    seen.at = ctx.now;
  }
  seen.crashes = Math.max(seen.crashes, crashes);
}

/** Whether a request may no longer be sent to upstreams. */
export function isBlocked(ctx: RoutingContext, fingerprint: number): boolean {
  return totalCrashes(ctx, fingerprint) >= ctx.state.settings.maxCrashes;
}

/** Crashes that some instances saw and that others have to know. */
export function crashesSeenBy(
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

/** Forgets crashes that are long past. */
export function expireCrashes(ctx: RoutingContext): void {
  const { byFingerprint } = ctx.state.suspects;
  byFingerprint.forEach((seen, fingerprint) => {
    const latest = Math.max(...[...seen.values()].map(({ at }) => at));
    if (ctx.now - latest > FORGET_AFTER_MS) byFingerprint.delete(fingerprint);
  });
}

function totalCrashes(ctx: RoutingContext, fingerprint: number): number {
  let total = 0;
  ctx.state.suspects.byFingerprint.get(fingerprint)?.forEach(({ crashes }) => {
    total += crashes;
  });
  return total;
}

function crashesOf(ctx: RoutingContext, fingerprint: number, instance: InstanceId) {
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
