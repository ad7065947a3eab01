/**
 * Quarantine of requests that crash the upstreams that run them.
 *
 * A crash is inferred when a connection breaks and the upstream then refuses connections, stops
 * reporting or reports a new epoch; for an upstream without reports, when the connections of
 * several requests break within a short time. Every request that ran there becomes a suspect,
 * because the one that caused the crash is unknown. A suspect is retried only where no other
 * suspect runs, and by one instance of the fleet at a time. If it finishes, it is cleared; if the
 * upstream crashes again, the request is quarantined fleet-wide until the quarantine expires or an
 * operator lifts it.
 */
import { cancelAttempt } from '../attempts/cancel.js';
import type { AttemptRecord } from '../attempts/attemptsState.js';
import { emitAuditEntry, emitLog, setTimer, type CoreContext } from '../context.js';
import { failRequest, isUnexecuted, refuseRequest } from '../requests/outcomes.js';
import type {
  ActiveRequest,
  AttemptOutcome,
  InstanceId,
  PeerMessageOf,
  Problem,
  RequestFacts,
  UpstreamId,
  UpstreamReport,
} from '../types.js';
import { advancePermits, releasePermit } from './permits.js';
import type { AttemptFailure, Crash, Fingerprint } from './quarantineState.js';
import { nextTickDelay, syncSuspicions, finishCatchUp, startCatchUp } from './catchUp.js';
import { isQuarantined, QUARANTINE_CRASH_THRESHOLD } from './suspects.js';
import {
  announceSuspect,
  clearSuspect,
  expireSuspicions,
  liftSuspect,
  mergeSuspicion,
  sendAllSuspicions,
  getOrCreateSuspect,
} from './suspicions.js';

const UNPROCESSABLE = 422;
/** Distinct requests whose connections must break within the crash window to imply a crash. */
const CRASH_CUT_THRESHOLD = 2;

export function startQuarantine(ctx: CoreContext): void {
  ctx.state.quarantine.lastGossipAt = ctx.now;
  startCatchUp(ctx);
  setTimer(ctx, 'quarantine', nextTickDelay(ctx));
}

export function onQuarantineTimer(ctx: CoreContext): void {
  syncSuspicions(ctx);
  expireSuspicions(ctx);
  advancePermits(ctx);
  setTimer(ctx, 'quarantine', nextTickDelay(ctx));
}

/** Ends a request that is in quarantine, and returns whether it did. */
export function refuseQuarantined(ctx: CoreContext, facts: RequestFacts): boolean {
  const request = ctx.state.requests.active.get(facts.requestId);
  if (request === undefined || !isQuarantined(ctx.state, facts.fingerprint)) return false;
  endQuarantined(ctx, request);
  return true;
}

/** Updates suspicions from the outcome of an attempt. May end the attempt's request. */
export function recordAttemptOutcome(
  ctx: CoreContext,
  attempt: AttemptRecord,
  outcome: AttemptOutcome,
): void {
  switch (outcome.kind) {
    case 'complete':
      clearSuspect(ctx, attempt.fingerprint);
      return;
    case 'cut':
      recordFailure(ctx, attempt, true);
      probeUpstream(ctx, attempt.grant.upstream);
      break;
    case 'upstreamError':
    case 'silent':
      recordFailure(ctx, attempt, false);
      break;
    case 'notSent':
      confirmCrash(ctx, attempt.grant.upstream);
      break;
    default:
      break;
  }
  releasePermit(ctx, attempt.fingerprint, attempt.requestId);
}

/** Infers a crash from an upstream's report or from a missing one. */
export function recordUpstreamReport(
  ctx: CoreContext,
  upstream: UpstreamId,
  report: UpstreamReport | undefined,
): void {
  const { epochs } = ctx.state.quarantine;
  const known = epochs.get(upstream);
  const hasRestarted = report !== undefined && known !== undefined && known !== report.epoch;
  if (report !== undefined) epochs.set(upstream, report.epoch);
  if (report === undefined || hasRestarted) confirmCrash(ctx, upstream);
}

export function onSuspicions(
  ctx: CoreContext,
  from: InstanceId,
  message: PeerMessageOf<'suspicions'>,
): void {
  if (message.wantsAll) sendAllSuspicions(ctx, from);
  else finishCatchUp(ctx);
  for (const entry of message.entries) {
    if (mergeSuspicion(ctx, from, entry)) enforceQuarantine(ctx, entry.fingerprint);
  }
}

/** Lifts the suspicion or quarantine of a fingerprint; returns false if there is none. */
export function liftQuarantine(ctx: CoreContext, fingerprint: Fingerprint): boolean {
  return liftSuspect(ctx, fingerprint);
}

function recordFailure(ctx: CoreContext, attempt: AttemptRecord, isCut: boolean): void {
  const { upstream } = attempt.grant;
  const { attemptId, fingerprint } = attempt;
  const failures = recentFailures(ctx, upstream);
  failures.push({ attemptId, fingerprint, at: ctx.now, isCut });
  ctx.state.quarantine.failures.set(upstream, failures);
  const cuts = new Set(failures.filter((failure) => failure.isCut).map((f) => f.fingerprint));
  const isInferredCrash = cuts.size >= CRASH_CUT_THRESHOLD && !supportsReports(ctx, upstream);
  if (isInferredCrash || recentCrash(ctx, upstream) !== undefined) confirmCrash(ctx, upstream);
}

function supportsReports(ctx: CoreContext, upstream: UpstreamId): boolean {
  return ctx.state.configuration.view?.upstreams.get(upstream)?.reportsLoad ?? false;
}

/** Polls an upstream to find out whether it still answers. */
function probeUpstream(ctx: CoreContext, id: UpstreamId): void {
  const upstream = ctx.state.configuration.view?.upstreams.get(id);
  if (upstream === undefined || !supportsReports(ctx, id)) return;
  ctx.emit({ kind: 'pollUpstream', upstream: id, url: upstream.url, cacheAfter: 0 });
}

/** Counts a crash of an upstream against the requests whose attempts failed there recently. */
function confirmCrash(ctx: CoreContext, upstream: UpstreamId): void {
  const failures = recentFailures(ctx, upstream);
  if (failures.length === 0) return;
  const crash = recentCrash(ctx, upstream) ?? { at: ctx.now, fingerprints: new Set() };
  ctx.state.quarantine.crashes.set(upstream, crash);
  for (const { fingerprint } of failures) countCrash(ctx, crash, fingerprint);
  ctx.state.quarantine.failures.delete(upstream);
}

function countCrash(ctx: CoreContext, crash: Crash, fingerprint: Fingerprint): void {
  if (crash.fingerprints.has(fingerprint)) return;
  crash.fingerprints.add(fingerprint);
  const { settings } = ctx.state;
  const suspect = getOrCreateSuspect(ctx, fingerprint);
  suspect.crashes += 1;
  const isQuarantine = suspect.crashes >= QUARANTINE_CRASH_THRESHOLD;
  const retentionMs = isQuarantine ? settings.quarantineMs : settings.suspicionMs;
  suspect.expiresAt = Math.max(suspect.expiresAt, ctx.now + retentionMs);
  emitLog(ctx, 'warn', 'quarantine', 'suspected', { fingerprint, crashes: suspect.crashes });
  announceSuspect(ctx, fingerprint);
  enforceQuarantine(ctx, fingerprint);
}

/** Ends the active requests of a fingerprint if it is in quarantine. */
function enforceQuarantine(ctx: CoreContext, fingerprint: Fingerprint): void {
  if (!isQuarantined(ctx.state, fingerprint)) return;
  emitAuditEntry(ctx, 'quarantine', fingerprint, 'crashed upstreams twice');
  ctx.state.requests.active.forEach((request) => {
    if (request.facts.fingerprint === fingerprint) endQuarantined(ctx, request);
  });
}

function endQuarantined(ctx: CoreContext, request: ActiveRequest): void {
  const problem: Omit<Problem, 'executed'> = {
    code: 'quarantined',
    status: UNPROCESSABLE,
    step: 'admit',
    peer: { kind: 'self' },
    retryAfterMs: ctx.state.settings.quarantineMs,
  };
  if (isUnexecuted(request)) {
    refuseRequest(ctx, request, { ...problem, executed: 'no' });
    return;
  }
  if (request.state === 'dispatched') cancelAttempt(ctx, request.attempt);
  failRequest(ctx, request, { ...problem, executed: 'unknown' });
}

function recentFailures(ctx: CoreContext, upstream: UpstreamId): AttemptFailure[] {
  const since = ctx.now - ctx.state.settings.crashWindowMs;
  const failures = ctx.state.quarantine.failures.get(upstream) ?? [];
  return failures.filter((failure) => failure.at >= since);
}

function recentCrash(ctx: CoreContext, upstream: UpstreamId): Crash | undefined {
  const crash = ctx.state.quarantine.crashes.get(upstream);
  const since = ctx.now - ctx.state.settings.crashWindowMs;
  return crash !== undefined && crash.at >= since ? crash : undefined;
}
