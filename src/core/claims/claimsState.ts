/** State of claims: this instance's own ones, the keys known from the log, and the log's position. */
import type { Millis } from '../clock.js';
import type {
  CustomerNumber,
  InstanceId,
  RecordedAnswer,
  RequestFacts,
  RequestId,
} from '../types.js';
import type { ClaimId, ClaimsRecord } from './records.js';

/** A customer's key as one text. */
export type KnownKeyId = string;

export function knownKeyOf(customer: CustomerNumber, key: string): KnownKeyId {
  return `${customer}:${key}`;
}

/**
 * `pending`: not read back yet. `won`: read back as the first of its key. `abandoned`: this instance
 * will never dispatch under it; if it wins nevertheless, it is released.
 */
export type OwnClaimStatus = 'pending' | 'won' | 'abandoned';

/** A claim of this instance. */
export interface OwnClaim {
  readonly claimId: ClaimId;
  readonly facts: RequestFacts;
  readonly key: string;
  /** Time before which no record of the claim can have reached the log. */
  readonly submittedAt: Millis;
  status: OwnClaimStatus;
}

export interface ClaimHolder {
  readonly claimId: ClaimId;
  readonly instance: InstanceId;
  readonly incarnation: number;
  readonly fingerprint: string;
}

export interface ClaimOutcome {
  readonly executed: 'yes' | 'unknown';
  readonly answer?: RecordedAnswer;
}

/** What the log says of a key. */
export interface KnownKey {
  /** Absent once the winner has released the key. */
  holder: ClaimHolder | undefined;
  outcome: ClaimOutcome | undefined;
  /** Claims that were released; later copies of their records count for nothing. */
  readonly released: ClaimId[];
  /** Offset of the first record of the key that is remembered. */
  firstOffset: number;
  readAt: Millis;
}

/** A record of this instance that has not been read back yet. */
export interface UnseenRecord {
  readonly record: ClaimsRecord;
  sentAt: Millis;
  sends: number;
}

export interface OutcomeQuery {
  readonly requestId: RequestId;
  readonly knownKey: KnownKeyId;
  readonly sentAt: Millis;
}

export interface PendingRead {
  readonly stream: string;
  readonly from: number;
  readonly sentAt: Millis;
}

export interface ClaimsState {
  readonly own: Map<ClaimId, OwnClaim>;
  readonly byRequest: Map<RequestId, ClaimId>;
  nextClaim: number;

  /** Keys in the order in which they were last read. */
  readonly known: Map<KnownKeyId, KnownKey>;
  /** Sizes of the answers in memory, the oldest first. */
  readonly answers: Map<KnownKeyId, number>;
  answerBytes: number;

  /** Records by type and claim. */
  readonly unseen: Map<string, UnseenRecord>;
  /** Records that wait for the next append of this instance, by their text. */
  readonly toAppend: Set<string>;
  nextAppendAt: Millis;
  nextAppendId: number;

  /** `locating`: looks for the latest checkpoint. `following`: reads the claims stream. */
  phase: 'locating' | 'following';
  /** Offset of the checkpoints stream or the claims stream to read next. */
  next: number;
  /** Whether the claims stream was ever read. */
  hasRead: boolean;
  /** Largest offset that a checkpoint has named. */
  checkpoint: number;
  lastCheckpointAt: Millis;
  read: PendingRead | undefined;
  nextReadAt: Millis;
  /** Time of the first failure since the log last answered. */
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
