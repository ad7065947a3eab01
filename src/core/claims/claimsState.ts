/**
 * State of the claims: this instance's claims, the keys read from the log, and the read position.
 */
import type { Millis } from '../clock.js';
import type {
  CustomerNumber,
  InstanceId,
  RecordedAnswer,
  RequestFacts,
  RequestId,
} from '../types.js';
import type { ClaimId, ClaimsRecord } from './records.js';

/** A customer number and idempotency key, joined into one map key. */
export type KeyId = string;

export function keyIdOf(customer: CustomerNumber, key: string): KeyId {
  return `${customer}:${key}`;
}

/**
 * `pending`: not read back yet. `won`: read back as the first claim of its key. `abandoned`: this
 * instance never dispatches under it; if it still wins, it is released.
 */
export type OwnClaimStatus = 'pending' | 'won' | 'abandoned';

/** A claim of this instance. */
export interface OwnClaim {
  readonly claimId: ClaimId;
  readonly facts: RequestFacts;
  readonly key: string;
  /** Lower bound of the time at which a record of the claim reached the log. */
  readonly submittedAt: Millis;
  status: OwnClaimStatus;
}

/** The winning claim of a key and the instance that made it. */
export interface ClaimHolder {
  readonly claimId: ClaimId;
  readonly instance: InstanceId;
  readonly incarnation: number;
  readonly fingerprint: string;
}

/** How the request that held a key ended, with its answer if that was recorded. */
export interface ClaimOutcome {
  readonly executed: 'yes' | 'unknown';
  readonly answer?: RecordedAnswer;
}

/** State of a key, derived from the log. */
export interface KeyState {
  /** `undefined` after the winner has released the key. */
  holder: ClaimHolder | undefined;
  outcome: ClaimOutcome | undefined;
  /** Released claims; later duplicates of their records are ignored. */
  readonly released: ClaimId[];
  /** Offset of the first record of the key since it was last forgotten. */
  firstOffset: number;
  readAt: Millis;
}

/** A record of this instance that has not been read back yet. */
export interface UnconfirmedRecord {
  readonly record: ClaimsRecord;
  sentAt: Millis;
  sends: number;
}

/** A query to the holder of a key about the outcome of its request. */
export interface OutcomeQuery {
  readonly requestId: RequestId;
  readonly knownKey: KeyId;
  readonly sentAt: Millis;
}

/** The outstanding read of the log. */
export interface PendingRead {
  readonly stream: string;
  readonly from: number;
  readonly sentAt: Millis;
}

export interface ClaimsState {
  readonly own: Map<ClaimId, OwnClaim>;
  readonly byRequest: Map<RequestId, ClaimId>;
  nextClaim: number;

  /** Keys, ordered by the time at which a record of them was last read. */
  readonly known: Map<KeyId, KeyState>;
  /** Body sizes in bytes of the recorded answers in memory, oldest first. */
  readonly answers: Map<KeyId, number>;
  answerBytes: number;

  /** Records of this instance that have not been read back, by record type and claim id. */
  readonly unseen: Map<string, UnconfirmedRecord>;
  /** Encoded records that wait for this instance's next append. */
  readonly toAppend: Set<string>;
  nextAppendAt: Millis;
  nextAppendId: number;

  /** `locating`: reads the checkpoints stream. `following`: reads the claims stream. */
  phase: 'locating' | 'following';
  /** Next offset to read, in the stream that `phase` selects. */
  next: number;
  /** Whether a read of the claims stream has succeeded. */
  hasRead: boolean;
  /** Largest offset that a checkpoint contained. */
  checkpoint: number;
  lastCheckpointAt: Millis;
  read: PendingRead | undefined;
  nextReadAt: Millis;
  /** Time of the first failure since the log last answered a read; `undefined` if none. */
  failingSince: Millis | undefined;

  readonly queries: Map<number, OutcomeQuery>;
  nextQuery: number;
}

export function createClaimsState(): ClaimsState {
  return {
    own: new Map(),
    byRequest: new Map(),
    nextClaim: 1,
    known: new Map(),
    answers: new Map(),
    answerBytes: 0,
    unseen: new Map(),
    toAppend: new Set(),
    nextAppendAt: 0,
    nextAppendId: 1,
    phase: 'locating',
    next: 0,
    hasRead: false,
    checkpoint: 0,
    lastCheckpointAt: 0,
    read: undefined,
    nextReadAt: 0,
    failingSince: undefined,
    queries: new Map(),
    nextQuery: 1,
  };
}
