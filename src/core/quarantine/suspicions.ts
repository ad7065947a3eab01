/**
 * Exchange of suspicions between instances. Changes are rare and are broadcast to all members. To
 * reach members that missed a message, each instance periodically sends all its suspicions to two
 * random members.
 */
import { emitLog, sendToInstance, type CoreContext } from '../context.js';
import { forEachOther } from '../membership/membership.js';
import type { InstanceId, PeerMessageOf } from '../types.js';
import type { Fingerprint, Suspect, SuspectRun } from './quarantineState.js';
import { QUARANTINE_CRASH_THRESHOLD } from './suspects.js';

type Suspicion = PeerMessageOf<'suspicions'>['entries'][number];

const GOSSIP_INTERVAL_MS = 5_000;
const GOSSIP_FANOUT = 2;
/** Tolerance for message latency when expiry times are compared. */
const EXPIRY_SLACK_MS = 1_000;
/** Time after which an announced run expires unless it is announced again. */
const RUN_TTL_MS = 2_000;

/** Returns the suspect of a fingerprint, creating it if necessary. */
export function getOrCreateSuspect(ctx: CoreContext, fingerprint: Fingerprint): Suspect {
  const { suspects } = ctx.state.quarantine;
  const suspect = suspects.get(fingerprint) ?? {
    crashes: 0,
    expiresAt: ctx.now,
    permit: undefined,
    runs: new Map<InstanceId, SuspectRun>(),
  };
  suspects.set(fingerprint, suspect);
  return suspect;
}

/** Broadcasts the state of a suspect to all members. */
export function announceSuspect(ctx: CoreContext, fingerprint: Fingerprint): void {
  const suspect = ctx.state.quarantine.suspects.get(fingerprint);
  if (suspect !== undefined) broadcast(ctx, encodeSuspicion(ctx, fingerprint, suspect));
}

/** Clears the suspicion of a request that has finished, on all members. */
export function clearSuspect(ctx: CoreContext, fingerprint: Fingerprint): void {
  const suspect = ctx.state.quarantine.suspects.get(fingerprint);
  if (suspect === undefined || suspect.crashes >= QUARANTINE_CRASH_THRESHOLD) return;
  broadcast(ctx, { ...encodeSuspicion(ctx, fingerprint, suspect), cleared: true });
  removeSuspect(ctx, fingerprint, suspect);
}

/** Lifts a suspicion or quarantine on behalf of an operator; returns false if there is none. */
export function liftSuspect(ctx: CoreContext, fingerprint: Fingerprint): boolean {
  const suspect = ctx.state.quarantine.suspects.get(fingerprint);
  if (suspect === undefined) return false;
  broadcast(ctx, { ...encodeSuspicion(ctx, fingerprint, suspect), crashes: 0, cleared: true });
  removeSuspect(ctx, fingerprint, suspect);
  emitLog(ctx, 'info', 'quarantine', 'quarantineLifted', { fingerprint });
  return true;
}

/** Merges one entry of a message, and returns whether the suspect's crash count has increased. */
export function mergeSuspicion(ctx: CoreContext, from: InstanceId, entry: Suspicion): boolean {
  const { suspects, cleared } = ctx.state.quarantine;
  const known = suspects.get(entry.fingerprint);
  const expiresAt = ctx.now + entry.expiresInMs;
  if (entry.cleared) {
    const isLifted = entry.crashes === 0;
    if (known !== undefined && (isLifted || known.crashes <= entry.crashes)) {
      removeSuspect(ctx, entry.fingerprint, known);
    }
    return false;
  }
  const clearedUntil = cleared.get(entry.fingerprint);
  if (clearedUntil !== undefined && expiresAt <= clearedUntil + EXPIRY_SLACK_MS) return false;
  const suspect = getOrCreateSuspect(ctx, entry.fingerprint);
  const hasNewCrash = entry.crashes > suspect.crashes;
  suspect.crashes = Math.max(suspect.crashes, entry.crashes);
  suspect.expiresAt = Math.max(suspect.expiresAt, expiresAt);
  if (entry.runningOn === '') suspect.runs.delete(from);
  else suspect.runs.set(from, { upstream: entry.runningOn, until: ctx.now + RUN_TTL_MS });
  return hasNewCrash;
}

/** Removes expired runs and suspicions, and periodically gossips the remaining ones. */
export function expireSuspicions(ctx: CoreContext): void {
  const { quarantine } = ctx.state;
  quarantine.suspects.forEach((suspect, fingerprint) => {
    suspect.runs.forEach((run, instance) => {
      if (run.until <= ctx.now) suspect.runs.delete(instance);
    });
    if (suspect.expiresAt <= ctx.now) quarantine.suspects.delete(fingerprint);
  });
  quarantine.cleared.forEach((until, fingerprint) => {
    if (until + EXPIRY_SLACK_MS <= ctx.now) quarantine.cleared.delete(fingerprint);
  });
  if (ctx.now - quarantine.lastGossipAt < GOSSIP_INTERVAL_MS) return;
  quarantine.lastGossipAt = ctx.now;
  gossip(ctx);
}

function gossip(ctx: CoreContext): void {
  const entries = encodeAllSuspicions(ctx);
  if (entries.length === 0) return;
  const others: InstanceId[] = [];
  forEachOther(ctx.state, (member) => others.push(member.id));
  for (let i = 0; i < GOSSIP_FANOUT && others.length > 0; i += 1) {
    const [to] = others.splice(ctx.state.random.nextInt(others.length), 1);
    if (to !== undefined) sendEntries(ctx, to, entries);
  }
}

/** Sends all suspicions of this instance to one member. */
export function sendAllSuspicions(ctx: CoreContext, to: InstanceId): void {
  sendEntries(ctx, to, encodeAllSuspicions(ctx));
}

function sendEntries(ctx: CoreContext, to: InstanceId, entries: readonly Suspicion[]): void {
  sendToInstance(ctx, to, { $case: 'suspicions', value: { entries, wantsAll: false } });
}

function encodeAllSuspicions(ctx: CoreContext): readonly Suspicion[] {
  return [...ctx.state.quarantine.suspects].map(([fingerprint, suspect]) =>
    encodeSuspicion(ctx, fingerprint, suspect),
  );
}

function removeSuspect(ctx: CoreContext, fingerprint: Fingerprint, suspect: Suspect): void {
  ctx.state.quarantine.suspects.delete(fingerprint);
  ctx.state.quarantine.cleared.set(fingerprint, suspect.expiresAt);
}

function encodeSuspicion(ctx: CoreContext, fingerprint: Fingerprint, suspect: Suspect): Suspicion {
  return {
    fingerprint,
    crashes: suspect.crashes,
    expiresInMs: Math.max(0, Math.round(suspect.expiresAt - ctx.now)),
    runningOn: suspect.permit?.upstream ?? '',
    cleared: false,
  };
}

function broadcast(ctx: CoreContext, entry: Suspicion): void {
  forEachOther(ctx.state, (member) => {
    sendEntries(ctx, member.id, [entry]);
  });
}
