/** Queries about suspects: which requests may run, and on which upstreams. */
import type { CoreState } from '../state.js';
import type { RequestFacts, UpstreamId } from '../types.js';
import type { Fingerprint, Suspect } from './quarantineState.js';

/** Number of crashes after which a request is quarantined. */
export const QUARANTINE_CRASH_THRESHOLD = 2;

export function isSuspect(state: CoreState, fingerprint: Fingerprint): boolean {
  return state.quarantine.suspects.has(fingerprint);
}

export function isQuarantined(state: CoreState, fingerprint: Fingerprint): boolean {
  return (state.quarantine.suspects.get(fingerprint)?.crashes ?? 0) >= QUARANTINE_CRASH_THRESHOLD;
}

/**
 * Whether a request may run now: it is not a suspect, or this instance has a ready permit for it.
 */
export function mayRun(state: CoreState, facts: RequestFacts): boolean {
  if (state.quarantine.catchUp === 'asking') return false;
  const suspect = state.quarantine.suspects.get(facts.fingerprint);
  if (suspect === undefined) return true;
  if (suspect.crashes >= QUARANTINE_CRASH_THRESHOLD) return false;
  return suspect.permit?.requestId === facts.requestId && suspect.permit.isReady;
}

/** Whether a request may run on an upstream. A suspect may run only where no other suspect runs. */
export function mayRunOn(state: CoreState, facts: RequestFacts, upstream: UpstreamId): boolean {
  if (!mayRun(state, facts)) return false;
  return !isSuspect(state, facts.fingerprint) || !isRunningSuspect(state, upstream);
}

function isRunningSuspect(state: CoreState, upstream: UpstreamId): boolean {
  for (const suspect of state.quarantine.suspects.values()) {
    if (runsOn(suspect, upstream)) return true;
  }
  return false;
}

function runsOn(suspect: Suspect, upstream: UpstreamId): boolean {
  if (suspect.permit?.upstream === upstream) return true;
  return [...suspect.runs.values()].some((run) => run.upstream === upstream);
}
