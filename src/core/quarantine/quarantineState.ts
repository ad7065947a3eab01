/** State of the quarantine: suspects, and the failures from which crashes are inferred. */
import type { Millis } from '../clock.js';
import type { AttemptId, InstanceId, RequestId, UpstreamId } from '../types.js';

/** Fingerprint of a request; see `RequestFacts.fingerprint`. */
export type Fingerprint = string;

/** Placeholder for the upstream of a suspect that is announced but not dispatched yet. */
export const ANY_UPSTREAM = '*';

/** A run of a suspect by another instance, announced or in progress. */
export interface SuspectRun {
  readonly upstream: UpstreamId;
  /** Time at which the run expires unless it is announced again. */
  readonly until: Millis;
}

/** Permit of this instance to run a suspect. */
export interface SuspectPermit {
  readonly requestId: RequestId;
  /** Earliest time at which the permit becomes ready. */
  readonly readyAt: Millis;
  isReady: boolean;
  upstream: UpstreamId;
}

/** A request that ran on an upstream when that upstream crashed. */
export interface Suspect {
  /** Number of crashes counted against the request; two put it in quarantine. */
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
  /** Whether the connection broke, as it does in a crash. */
  readonly isCut: boolean;
}

/** The latest crash of an upstream and the requests that it was counted against. */
export interface Crash {
  readonly at: Millis;
  readonly fingerprints: Set<Fingerprint>;
}

/** `due`: no other member is known yet. `asking`: no request runs until a member has answered. */
export type CatchUp = 'due' | 'asking' | 'done';

export interface QuarantineState {
  readonly suspects: Map<Fingerprint, Suspect>;
  /** Expiry of cleared or lifted suspicions; messages with no later expiry are ignored. */
  readonly cleared: Map<Fingerprint, Millis>;
  readonly failures: Map<UpstreamId, AttemptFailure[]>;
  readonly crashes: Map<UpstreamId, Crash>;
  readonly epochs: Map<UpstreamId, string>;
  lastGossipAt: Millis;
  /** Members that have been sent all suspicions, with their incarnation. */
  readonly informed: Map<InstanceId, number>;
  /** Progress of fetching the suspicions of other members. */
  catchUp: CatchUp;
  /** Time at which the catch-up ends even without an answer. */
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
