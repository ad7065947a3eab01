/**
 * Permits ensure that at most one instance of the fleet runs a suspect at a time. An instance
 * announces that it intends to run a suspect and waits for `suspectSettleMs`. If several instances
 * announce the same suspect, one that already runs it takes precedence, then the one with the
 * lowest id.
 */
import type { CoreContext } from '../context.js';
import { scheduleAnnouncement } from '../dispatch/queues.js';
import type { ActiveRequest, InstanceId, UpstreamId } from '../types.js';
import { ANY_UPSTREAM, type Fingerprint, type Suspect } from './quarantineState.js';
import { QUARANTINE_CRASH_THRESHOLD } from './suspects.js';
import { announceSuspect } from './suspicions.js';

/** Requests permits for queued suspects, and marks uncontested permits as ready. */
export function advancePermits(ctx: CoreContext): void {
  const { quarantine, requests } = ctx.state;
  if (quarantine.suspects.size === 0) return;
  requests.active.forEach((request) => requestPermit(ctx, request));
  quarantine.suspects.forEach((suspect, fingerprint) => advancePermit(ctx, fingerprint, suspect));
}

/** Records the upstream on which a suspect runs, and announces it to the other members. */
export function recordPermitUse(
  ctx: CoreContext,
  fingerprint: Fingerprint,
  upstream: UpstreamId,
): void {
  const permit = ctx.state.quarantine.suspects.get(fingerprint)?.permit;
  if (permit === undefined) return;
  permit.upstream = upstream;
  announceSuspect(ctx, fingerprint);
}

/** Releases the permit of a request that no longer runs. */
export function releasePermit(ctx: CoreContext, fingerprint: Fingerprint, requestId: string): void {
  const suspect = ctx.state.quarantine.suspects.get(fingerprint);
  if (suspect?.permit?.requestId !== requestId) return;
  suspect.permit = undefined;
  announceSuspect(ctx, fingerprint);
}

function requestPermit(ctx: CoreContext, request: ActiveRequest): void {
  if (request.state !== 'waiting' && request.state !== 'retrying') return;
  const { fingerprint, requestId } = request.facts;
  const suspect = ctx.state.quarantine.suspects.get(fingerprint);
  if (suspect === undefined || suspect.permit !== undefined) return;
  if (suspect.crashes >= QUARANTINE_CRASH_THRESHOLD || suspect.runs.size > 0) return;
  const readyAt = ctx.now + ctx.state.settings.suspectSettleMs;
  suspect.permit = { requestId, readyAt, isReady: false, upstream: ANY_UPSTREAM };
  announceSuspect(ctx, fingerprint);
}

function advancePermit(ctx: CoreContext, fingerprint: Fingerprint, suspect: Suspect): void {
  const { permit } = suspect;
  if (permit === undefined) return;
  const request = ctx.state.requests.active.get(permit.requestId);
  if (request === undefined || isContested(ctx.state.self.id, suspect)) {
    releasePermit(ctx, fingerprint, permit.requestId);
    return;
  }
  if (!permit.isReady && permit.readyAt <= ctx.now) {
    permit.isReady = true;
    scheduleAnnouncement(ctx, request.facts.pool);
  }
  announceSuspect(ctx, fingerprint);
}

function isContested(self: InstanceId, suspect: Suspect): boolean {
  if (suspect.permit?.upstream !== ANY_UPSTREAM) return false;
  for (const [instance, run] of suspect.runs) {
    if (run.upstream !== ANY_UPSTREAM || instance < self) return true;
  }
  return false;
}
