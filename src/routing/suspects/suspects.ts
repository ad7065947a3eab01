/**
 * Finds out which requests, or which parts of prompts, crash upstreams, and has them refused on all
 * instances.
 *
 * Load pattern: requests that share one part crash every upstream that begins to answer them. They come
 * in at any instance, no two alike, and share their other parts with sound requests. An upstream that
 * crashes holds many sound requests, whose parts are suspected with the deadly one. Three things tell
 * them apart: a cause that is answered anywhere is cleared at once; only crashes that followed one
 * another count (`crash.ts`); and a request that had been answered for a while when its upstream crashed
 * is not suspected at all. A cause with `maxCrashes` of them is refused until a trial (`trials.ts`)
 * succeeds.
 *
 * Load pattern: a request comes again with the same body, at any instance, and its sender and its caller
 * repeat it at once. A service of three upstreams is gone in less than half a second, comes back after some
 * seconds, and is gone again. Such a request is refused after fewer crashes, until an early trial
 * (`verdict.ts`).
 *
 * Each instance tells the others what it observed (`suspectNews.ts`); all of them add it up alike.
 */
import type { Millis } from '../../core/clock.js';
import { emit, logInfo, logWarning, type RoutingContext } from '../context.js';
import type { RoutingState } from '../state.js';
import type { RequestFacts } from '../types.js';
import { causesOf, namedCausesOf, type CauseHash, type NamedCause } from './causes.js';
import { queueChange, queueUrgentChange } from './changeQueue.js';
import { addCrash, type Crash } from './crash.js';
import type { Suspect } from './suspectsState.js';
import { isTrialDue, trialDueAt } from './trials.js';
import { judge, type Verdict } from './verdict.js';

/** Time after the last crash after which a cause that is not proven is no longer suspected. */
const FORGET_SUSPECT_MS: Millis = 120_000;
/** The same for a proven cause that nobody has asked for. */
const FORGET_BLOCKED_MS: Millis = 60 * 60_000;
/** Maximum number of suspected causes that are not refused; the oldest are evicted. */
const MAX_SUSPECTS = 8_000;
/** Maximum number of refused causes; beyond it no further ones are refused. */
const MAX_BLOCKED = 500;
/** Maximum number of causes of which it is kept when they were answered. */
const MAX_ANSWERED = 8_000;
/** Within this time, reports are about the same trial. */
const SAME_TRIAL_MS: Millis = 1_000;
/** Minimum retry delay of callers of a refused cause. */
const MIN_RETRY_AFTER_MS: Millis = 1_000;

/** Why a request must not be sent. */
export interface BlockedCause extends NamedCause {
  readonly verdict: Verdict;
  readonly crashes: number;
  /** Time until a request with the cause may be sent again. */
  readonly retryAfterMs: Millis;
}

/** Records that an upstream crashed while it held a request. */
export function recordCrash(ctx: RoutingContext, facts: RequestFacts, crash: Crash): void {
  namedCausesOf(facts).forEach((cause) => {
    const { hash, isWhole } = cause;
    if (mergeCrash(ctx, cause, crash, true))
      queueUrgentChange(ctx, { kind: 'crash', cause: hash, isWhole, crash });
  });
}

/**
 * Records that a request was answered, or that its answer has run for a while: none of its causes
 * crashes upstreams.
 */
export function recordAnswered(ctx: RoutingContext, facts: RequestFacts): void {
  const at = ctx.now;
  causesOf(facts).forEach((cause) => {
    noteAnswered(ctx, cause, at);
    if (mergeAnswered(ctx, cause, at)) queueUrgentChange(ctx, { kind: 'answered', cause, at });
  });
}

/**
 * Adds a crash of a cause that this instance observed, or that another one reported. Returns whether
 * it was unknown.
 */
export function mergeCrash(
  ctx: RoutingContext,
  { hash: cause, part, isWhole }: NamedCause,
  crash: Crash,
  isObserved: boolean,
): boolean {
  const { suspects, answeredAt } = ctx.state.suspects;
  const at = answeredAt.get(cause);
  if (at !== undefined && at > crash.crashedAt) {
    // Those who reported the crash may not know that the cause has been answered since.
    if (!isObserved) queueChange(ctx, { kind: 'answered', cause, at });
    return false;
  }
  const known = suspects.get(cause);
  const crashes = addCrash(known?.crashes ?? [], crash, isObserved);
  if (crashes === known?.crashes) return false;
  const suspect = {
    part: known?.part ?? part,
    isWhole: isWhole || known?.isWhole === true,
    crashes,
    lastTrialAt: known?.lastTrialAt,
  };
  const judgment = judge(crashes, suspect.isWhole, ctx.state.settings.maxCrashes);
  suspects.delete(cause);
  suspects.set(cause, { ...suspect, ...judgment });
  evictSuspects(ctx);
  updateBlocked(ctx, cause, known?.verdict ?? 'open');
  return true;
}

/** Merges that a request with a cause was answered. Returns whether the cause was suspected until then. */
export function mergeAnswered(ctx: RoutingContext, cause: CauseHash, at: Millis): boolean {
  const { suspects, blocked } = ctx.state.suspects;
  const suspect = suspects.get(cause);
  if (suspect === undefined) return false;
  const crashes = suspect.crashes.filter(({ crashedAt }) => crashedAt >= at);
  if (crashes.length === suspect.crashes.length) return false;
  suspect.crashes = crashes;
  Object.assign(suspect, judge(crashes, suspect.isWhole, ctx.state.settings.maxCrashes));
  if (suspect.verdict === 'open' && blocked.delete(cause)) {
    emit(ctx, { kind: 'count', decision: 'causeFreed' });
    logInfo(ctx, 'causeFreed', { cause, part: suspect.part, crashes: suspect.count });
  }
  if (crashes.length === 0) suspects.delete(cause);
  return true;
}

/** Notes that a cause was answered, for crashes before it that are reported later. */
export function noteAnswered(ctx: RoutingContext, cause: CauseHash, at: Millis): void {
  const { answeredAt } = ctx.state.suspects;
  const known = answeredAt.get(cause) ?? -Infinity;
  answeredAt.delete(cause);
  answeredAt.set(cause, Math.max(known, at));
  if (answeredAt.size > MAX_ANSWERED) deleteOldest(answeredAt);
}

/** Returns the cause for which a request must not be sent to any upstream, if there is one. */
export function findBlockedCause(
  ctx: RoutingContext,
  facts: RequestFacts,
): BlockedCause | undefined {
  const { suspects, blocked } = ctx.state.suspects;
  if (blocked.size === 0) return undefined;
  const named = namedCausesOf(facts);
  const refused = named.filter(({ hash }) => blocked.has(hash));
  refused.forEach(({ hash, part }) => nameSuspect(suspects.get(hash), part));
  const [found] = refused;
  const suspect = found && suspects.get(found.hash);
  if (found === undefined || suspect === undefined) return undefined;
  const dueAt = trialDueAt(ctx, found.hash, suspect, new Set(named.map(({ hash }) => hash)));
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, dueAt - ctx.now);
  return { ...found, verdict: suspect.verdict, crashes: suspect.crashes.length, retryAfterMs };
}

/** Notes the name of a cause that was known by its hash only. */
function nameSuspect(suspect: Suspect | undefined, part: string | undefined): void {
  if (suspect !== undefined) suspect.part ??= part;
}

/** Returns whether a request may be sent as a trial of each of its refused causes, and notes it. */
export function tryTrial(ctx: RoutingContext, facts: RequestFacts): boolean {
  const { suspects, blocked } = ctx.state.suspects;
  const all = new Set(causesOf(facts));
  const refused = [...all].filter((cause) => blocked.has(cause));
  if (!refused.every((cause) => isTrialDue(ctx, cause, all))) return false;
  refused.forEach((cause) => {
    const suspect = suspects.get(cause);
    if (suspect !== undefined) suspect.lastTrialAt = ctx.now;
    queueUrgentChange(ctx, { kind: 'trial', cause, at: ctx.now });
  });
  return true;
}

/** Merges that an instance tries a request with a cause. Returns whether this was not known. */
export function mergeTrial(ctx: RoutingContext, cause: CauseHash, at: Millis): boolean {
  const suspect = ctx.state.suspects.suspects.get(cause);
  // Several messages tell of a trial, at ages that differ by the delay of the messages.
  if (suspect === undefined || at - (suspect.lastTrialAt ?? -Infinity) < SAME_TRIAL_MS)
    return false;
  suspect.lastTrialAt = at;
  return true;
}

/** A refused cause, as operators see it. */
export interface BlockedCauseStatus {
  readonly cause: CauseHash;
  readonly part: string | undefined;
  readonly verdict: Verdict;
  /** Number of upstreams that have crashed since a request with the cause was last answered. */
  readonly crashes: number;
  readonly lastCrashAgeMs: Millis;
}

/** Lists the refused causes, those with the latest crash first. */
export function listBlockedCauses(
  { suspects }: Pick<RoutingState, 'suspects'>,
  now: Millis,
): readonly BlockedCauseStatus[] {
  return [...suspects.blocked]
    .map((cause) => {
      const { part, verdict = 'open', crashes = [] } = suspects.suspects.get(cause) ?? {};
      const lastCrashAgeMs = Math.round(now - (crashes.at(-1)?.crashedAt ?? now));
      return { cause, part, verdict, crashes: crashes.length, lastCrashAgeMs };
    })
    .sort((a, b) => a.lastCrashAgeMs - b.lastCrashAgeMs);
}

/** Removes causes that have not crashed an upstream for long. */
export function expireSuspects(ctx: RoutingContext): void {
  const { suspects, blocked } = ctx.state.suspects;
  suspects.forEach(({ crashes, verdict }, cause) => {
    const ageMs = ctx.now - (crashes.at(-1)?.crashedAt ?? -Infinity);
    if (ageMs <= (verdict === 'proven' ? FORGET_BLOCKED_MS : FORGET_SUSPECT_MS)) return;
    suspects.delete(cause);
    if (blocked.delete(cause)) logInfo(ctx, 'causeFreed', { cause, ageMs: Math.round(ageMs) });
  });
}

/** Refuses requests with a cause if its verdict says so. */
function updateBlocked(ctx: RoutingContext, cause: CauseHash, before: Verdict): void {
  const { suspects, blocked } = ctx.state.suspects;
  const suspect = suspects.get(cause);
  if (suspect === undefined || suspect.verdict === 'open' || suspect.verdict === before) return;
  const { crashes, part, verdict, count: successive } = suspect;
  const sinceMs = sinceFirst(ctx, crashes);
  const fields = { cause, part, verdict, crashes: crashes.length, successive, sinceMs };
  if (blocked.size >= MAX_BLOCKED && !blocked.has(cause)) {
    logWarning(ctx, 'causeNotBlocked', { ...fields, limit: MAX_BLOCKED });
    return;
  }
  blocked.add(cause);
  ctx.state.suspects.hasNewBlocked = true;
  emit(ctx, { kind: 'count', decision: 'causeBlocked' });
  logWarning(ctx, 'causeBlocked', fields);
}

function sinceFirst(ctx: RoutingContext, crashes: readonly Crash[]): Millis {
  return Math.round(ctx.now - (crashes[0]?.crashedAt ?? ctx.now));
}

/** Evicts the oldest causes that are not refused. */
function evictSuspects(ctx: RoutingContext): void {
  const { suspects, blocked } = ctx.state.suspects;
  if (suspects.size - blocked.size <= MAX_SUSPECTS) return;
  for (const [cause] of suspects) {
    if (blocked.has(cause)) continue;
    suspects.delete(cause);
    return;
  }
}

function deleteOldest<K>(map: Map<K, unknown>): void {
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}
