/** State of quarantine: suspects, and the failures from which crashes are inferred. */
import type { Millis } from '../clock.js';
import type { AttemptId, InstanceId, RequestId, UpstreamId } from '../types.js';

/** Fingerprint of a request; see `RequestFacts.fingerprint`. */
export type Fingerprint = string;

/** Stands for an upstream while a suspect is announced but not yet dispatched. */
export const ANY_UPSTREAM = '*';

/** A run of a suspect at some instance, announced or under way. */
export interface SuspectRun {
  readonly upstream: UpstreamId;
  /** Time at which the run is forgotten unless it is announced again. */
  readonly until: Millis;
}

/** This instance's leave to run a suspect. */
export interface SuspectPermit {
  readonly requestId: RequestId;
  /** Time from which the suspect may be dispatched. */
  readonly readyAt: Millis;
  isReady: boolean;
  upstream: UpstreamId;
}

export interface Suspect {
  /** Number of crashes at which the request ran; two put it in quarantine. */
  crashes: number;
  expiresAt: Millis;
  permit: SuspectPermit | undefined;
  /** Runs of other instances. */
  readonly runs: Map<InstanceId, SuspectRun>;
}

/** A failed attempt that may have been caused by a crash. */
export interface AttemptFailure {
  readonly attemptId: AttemptId;
  readonly fingerprint: Fingerprint;
  readonly at: Millis;
  /** Whether the connection broke, which is what a crash does. */
  readonly isCut: boolean;
}

/** The latest crash of an upstream and the requests that it was counted against. */
export interface Crash {
  readonly at: Millis;
  readonly fingerprints: Set<Fingerprint>;
}

/** `due`: no other instance is known yet. `asking`: runs nothing until one of them has answered. */
export type CatchUp = 'due' | 'asking' | 'done';

export interface QuarantineState {
  readonly suspects: Map<Fingerprint, Suspect>;
  /** Expiry of suspicions that were cleared or lifted; older news of them counts for nothing. */
  readonly cleared: Map<Fingerprint, Millis>;
  readonly failures: Map<UpstreamId, AttemptFailure[]>;
  readonly crashes: Map<UpstreamId, Crash>;
  readonly epochs: Map<UpstreamId, string>;
  lastGossipAt: Millis;
  /** Members that know what this instance knows, by incarnation. */
  readonly informed: Map<InstanceId, number>;
  /** How far this instance has come in learning what the others know. */
  catchUp: CatchUp;
  /** Time from which it runs requests although nobody has answered. */
  catchUpUntil: Millis;
  lastTickAt: Millis;
}

export function createQuarantineState(): QuarantineState {
  return {
    suspects: new Map(),
    cleared: new Map(),
    failures: new Map(),
    crashes: new Map(),
    epochs: new Map(),
    lastGossipAt: 0,
    informed: new Map(),
    catchUp: 'due',
    catchUpUntil: 0,
    lastTickAt: 0,
  };
}
