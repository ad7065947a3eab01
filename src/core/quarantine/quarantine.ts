/**
 * Quarantine of requests that crash the upstreams that run them.
 *
 * A crash is inferred when a connection breaks and the upstream then refuses connections, does not
 * report or reports a new start; at an upstream without reports, when several break at once. Every request that
 * ran there becomes a suspect, since nobody can tell which one did it. A suspect runs again only as
 * the one suspect of an upstream, at one instance of the fleet at a time; if it finishes, it is
 * cleared, and if the upstream crashes again, it is quarantined everywhere until the quarantine
 * expires or an operator lifts it.
 */
import { cancelAttempt } from '../attempts/cancel.js';
import type { AttemptRecord } from '../attempts/attemptsState.js';
import { audit, logLine, setTimer, type CoreContext } from '../context.js';
import { failRequest, isUntried, refuseRequest } from '../requests/outcomes.js';
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
import { advancePermits, dropPermit } from './permits.js';
import type { AttemptFailure, Crash, Fingerprint } from './quarantineState.js';
import { catchUpTick, keepInformed, noteCaughtUp, startCatchUp } from './catchUp.js';
import { isQuarantined, QUARANTINE_CRASHES } from './suspects.js';
import {
  announceSuspect,
  clearSuspect,
  expireSuspicions,
  liftSuspect,
  mergeSuspicion,
  sendAll,
  suspectOf,
} from './suspicions.js';

const UNPROCESSABLE = 422;
/** Broken connections to one upstream, close in time, that are taken for its crash. */
const CUTS_OF_A_CRASH = 2;

export function startQuarantine(ctx: CoreContext): void {
  ctx.state.quarantine.lastGossipAt = ctx.now;
  startCatchUp(ctx);
  setTimer(ctx, 'quarantine', catchUpTick(ctx));
}

export function onQuarantineTimer(ctx: CoreContext): void {
  keepInformed(ctx);
  expireSuspicions(ctx);
  advancePermits(ctx);
  setTimer(ctx, 'quarantine', catchUpTick(ctx));
}

/** Refuses a request that is in quarantine; true if it did. */
export function refuseQuarantined(ctx: CoreContext, facts: RequestFacts): boolean {
  const request = ctx.state.requests.active.get(facts.requestId);
  if (request === undefined || !isQuarantined(ctx.state, facts.fingerprint)) return false;
  endQuarantined(ctx, request);
  return true;
}

/** Learns from the end of an attempt. May end the attempt's request. */
export function noteAttemptOutcome(
  ctx: CoreContext,
  attempt: AttemptRecord,
  outcome: AttemptOutcome,
): void {
  switch (outcome.kind) {
    case 'complete':
      clearSuspect(ctx, attempt.fingerprint);
      return;
    case 'cut':
      noteFailure(ctx, attempt, true);
      probe(ctx, attempt.grant.upstream);
      break;
    case 'upstreamError':
    case 'silent':
      noteFailure(ctx, attempt, false);
      break;
    case 'notSent':
      confirmCrash(ctx, attempt.grant.upstream);
      break;
    default:
      break;
  }
  dropPermit(ctx, attempt.fingerprint, attempt.requestId);
}

/** Learns from a report, or from its absence. */
export function noteReport(
  ctx: CoreContext,
  upstream: UpstreamId,
  report: UpstreamReport | undefined,
): void {
  const { epochs } = ctx.state.quarantine;
  const known = epochs.get(upstream);
  const isNewStart = report !== undefined && known !== undefined && known !== report.epoch;
  if (report !== undefined) epochs.set(upstream, report.epoch);
  if (report === undefined || isNewStart) confirmCrash(ctx, upstream);
}

export function onSuspicions(
  ctx: CoreContext,
  from: InstanceId,
  message: PeerMessageOf<'suspicions'>,
): void {
  if (message.wantsAll) sendAll(ctx, from);
  else noteCaughtUp(ctx);
  for (const entry of message.entries) {
    if (mergeSuspicion(ctx, from, entry)) noteCrashes(ctx, entry.fingerprint);
  }
}

/** Lifts the quarantine of a request; false if it is in none. */
export function liftQuarantine(ctx: CoreContext, fingerprint: Fingerprint): boolean {
  return liftSuspect(ctx, fingerprint);
}

function noteFailure(ctx: CoreContext, attempt: AttemptRecord, isCut: boolean): void {
  const { upstream } = attempt.grant;
  const { attemptId, fingerprint } = attempt;
  const failures = recentFailures(ctx, upstream);
  failures.push({ attemptId, fingerprint, at: ctx.now, isCut });
  ctx.state.quarantine.failures.set(upstream, failures);
  const cuts = new Set(failures.filter((failure) => failure.isCut).map((f) => f.fingerprint));
  const isEnough = cuts.size >= CUTS_OF_A_CRASH && !canProbe(ctx, upstream);
  if (isEnough || recentCrash(ctx, upstream) !== undefined) confirmCrash(ctx, upstream);
}

function canProbe(ctx: CoreContext, upstream: UpstreamId): boolean {
  return ctx.state.configuration.view?.upstreams.get(upstream)?.reportsLoad ?? false;
}

/** Looks whether an upstream still answers. */
function probe(ctx: CoreContext, id: UpstreamId): void {
  const upstream = ctx.state.configuration.view?.upstreams.get(id);
  if (upstream === undefined || !canProbe(ctx, id)) return;
  ctx.emit({ kind: 'pollUpstream', upstream: id, url: upstream.url, cacheAfter: 0 });
}

/** Counts a crash against the requests whose attempts failed shortly before. */
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
  const suspect = suspectOf(ctx, fingerprint);
  suspect.crashes += 1;
  const isQuarantine = suspect.crashes >= QUARANTINE_CRASHES;
  const keptMs = isQuarantine ? settings.quarantineMs : settings.suspicionMs;
  suspect.expiresAt = Math.max(suspect.expiresAt, ctx.now + keptMs);
  logLine(ctx, 'warn', 'quarantine', 'suspected', { fingerprint, crashes: suspect.crashes });
  announceSuspect(ctx, fingerprint);
  noteCrashes(ctx, fingerprint);
}

/** Ends the requests of a fingerprint once it is in quarantine. */
function noteCrashes(ctx: CoreContext, fingerprint: Fingerprint): void {
  if (!isQuarantined(ctx.state, fingerprint)) return;
  audit(ctx, 'quarantine', fingerprint, 'crashed upstreams twice');
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
  if (isUntried(request)) {
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
