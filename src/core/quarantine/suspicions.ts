/**
 * What instances tell each other of suspects. News go to all members at once, since they are rare;
 * for those who missed them, each instance now and then tells two others all that it knows.
 */
import { logLine, sendTo, type CoreContext } from '../context.js';
import { forEachOther } from '../membership/membership.js';
import type { InstanceId, PeerMessageOf } from '../types.js';
import type { Fingerprint, Suspect, SuspectRun } from './quarantineState.js';
import { QUARANTINE_CRASHES } from './suspects.js';

type Suspicion = PeerMessageOf<'suspicions'>['entries'][number];

const GOSSIP_MS = 5_000;
const GOSSIP_FANOUT = 2;
/** Slack for the travel time of a message when expiries are compared. */
const EXPIRY_SLACK_MS = 1_000;
/** Time for which an announced run counts unless it is announced again. */
const RUN_MS = 2_000;

/** Returns a suspect, creating it if need be. */
export function suspectOf(ctx: CoreContext, fingerprint: Fingerprint): Suspect {
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

/** Tells all members of a suspect. */
export function announceSuspect(ctx: CoreContext, fingerprint: Fingerprint): void {
  const suspect = ctx.state.quarantine.suspects.get(fingerprint);
  if (suspect !== undefined) broadcast(ctx, encode(ctx, fingerprint, suspect));
}

/** Clears a request that has finished, here and everywhere. */
export function clearSuspect(ctx: CoreContext, fingerprint: Fingerprint): void {
  const suspect = ctx.state.quarantine.suspects.get(fingerprint);
  if (suspect === undefined || suspect.crashes >= QUARANTINE_CRASHES) return;
  broadcast(ctx, { ...encode(ctx, fingerprint, suspect), cleared: true });
  forget(ctx, fingerprint, suspect);
}

/** Lifts a suspicion or a quarantine on an operator's word; false if there is none. */
export function liftSuspect(ctx: CoreContext, fingerprint: Fingerprint): boolean {
  const suspect = ctx.state.quarantine.suspects.get(fingerprint);
  if (suspect === undefined) return false;
  broadcast(ctx, { ...encode(ctx, fingerprint, suspect), crashes: 0, cleared: true });
  forget(ctx, fingerprint, suspect);
  logLine(ctx, 'info', 'quarantine', 'quarantineLifted', { fingerprint });
  return true;
}

/** Merges one entry of a message; returns whether the suspect's crashes have grown. */
export function mergeSuspicion(ctx: CoreContext, from: InstanceId, entry: Suspicion): boolean {
  const { suspects, cleared } = ctx.state.quarantine;
  const known = suspects.get(entry.fingerprint);
  const expiresAt = ctx.now + entry.expiresInMs;
  if (entry.cleared) {
    const isLift = entry.crashes === 0;
    if (known !== undefined && (isLift || known.crashes <= entry.crashes)) {
      forget(ctx, entry.fingerprint, known);
    }
    return false;
  }
  const clearedUntil = cleared.get(entry.fingerprint);
  if (clearedUntil !== undefined && expiresAt <= clearedUntil + EXPIRY_SLACK_MS) return false;
  const suspect = suspectOf(ctx, entry.fingerprint);
  const hasGrown = entry.crashes > suspect.crashes;
  suspect.crashes = Math.max(suspect.crashes, entry.crashes);
  suspect.expiresAt = Math.max(suspect.expiresAt, expiresAt);
  if (entry.runningOn === '') suspect.runs.delete(from);
  else suspect.runs.set(from, { upstream: entry.runningOn, until: ctx.now + RUN_MS });
  return hasGrown;
}

/** Forgets what has expired and now and then tells two members of the rest. */
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
  if (ctx.now - quarantine.lastGossipAt < GOSSIP_MS) return;
  quarantine.lastGossipAt = ctx.now;
  gossip(ctx);
}

function gossip(ctx: CoreContext): void {
  const entries = allEntries(ctx);
  if (entries.length === 0) return;
  const others: InstanceId[] = [];
  forEachOther(ctx.state, (member) => others.push(member.id));
  for (let i = 0; i < GOSSIP_FANOUT && others.length > 0; i += 1) {
    const [to] = others.splice(ctx.state.random.nextInt(others.length), 1);
    if (to !== undefined) sendEntries(ctx, to, entries);
  }
}

/** Tells one member all that this instance knows. */
export function sendAll(ctx: CoreContext, to: InstanceId): void {
  sendEntries(ctx, to, allEntries(ctx));
}

function sendEntries(ctx: CoreContext, to: InstanceId, entries: readonly Suspicion[]): void {
  sendTo(ctx, to, { $case: 'suspicions', value: { entries, wantsAll: false } });
}

function allEntries(ctx: CoreContext): readonly Suspicion[] {
  return [...ctx.state.quarantine.suspects].map(([fingerprint, suspect]) =>
    encode(ctx, fingerprint, suspect),
  );
}

function forget(ctx: CoreContext, fingerprint: Fingerprint, suspect: Suspect): void {
  ctx.state.quarantine.suspects.delete(fingerprint);
  ctx.state.quarantine.cleared.set(fingerprint, suspect.expiresAt);
}

function encode(ctx: CoreContext, fingerprint: Fingerprint, suspect: Suspect): Suspicion {
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
