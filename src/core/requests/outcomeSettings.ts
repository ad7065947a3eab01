/** Settings of attempts, retries, claims, quarantine and stops. All durations are milliseconds. */
import type { Millis } from '../clock.js';

export interface OutcomeSettings {
  /** Retries, as a share of first attempts, that the fleet allows itself. */
  readonly retryRatio: number;
  /** Interval at which the use of the retry budget is exchanged. */
  readonly retryWindowMs: Millis;
  /** Largest delay of a first retry; doubles with each further one. */
  readonly retryBackoffMs: Millis;
  /** Delay after which a request is offered again when it could not use a grant. */
  readonly requeueMs: Millis;
  /** Time for which an upstream that refused a connection is left alone. */
  readonly avoidMs: Millis;
  /** Number of times that one answer is resumed on its engine. */
  readonly maxResumes: number;
  /** `Retry-After` of refusals for want of capacity or of the log. */
  readonly retryAfterMs: Millis;

  /** Longest wait for a claim to be read back. */
  readonly claimTimeoutMs: Millis;
  /** Age, from its first append, after which a claim no longer permits a dispatch. */
  readonly claimHoldMs: Millis;
  /** Time for which a key is remembered after it was last read in the log. */
  readonly claimMemoryMs: Millis;
  /** Appends to the claims stream per second that the whole fleet allows itself. */
  readonly claimAppendsPerSecond: number;
  /** Number of instances that append claims for the others. */
  readonly claimWriters: number;
  /** Time after which a record that has not been read back is appended again. */
  readonly claimResubmitMs: Millis;
  /** Resolution of claim time-outs. */
  readonly claimTickMs: Millis;
  /** Time for which the log holds back a read that finds nothing. */
  readonly claimReadWaitMs: Millis;
  /** Interval of reads while no claim of this instance is pending. */
  readonly claimReadIdleMs: Millis;
  /** Time after which the log counts as down once it fails. */
  readonly logOutageMs: Millis;
  /** Longest wait for another instance's answer to an outcome query. */
  readonly outcomeQueryMs: Millis;
  /** Largest answer, in bytes, that is recorded under an idempotency key. */
  readonly recordedAnswerBytes: number;
  /** Bytes of recorded answers that an instance keeps in memory. */
  readonly answerMemoryBytes: number;
  /** Interval of checkpoints of the claims stream. */
  readonly claimCheckpointMs: Millis;

  /** Time within which failures at one upstream are taken for one crash. */
  readonly crashWindowMs: Millis;
  /** Delay of a retry after a broken connection, in which the upstream is looked at. */
  readonly crashProbeMs: Millis;
  /** Time for which a suspicion is kept. */
  readonly suspicionMs: Millis;
  /** Time for which a request stays in quarantine. */
  readonly quarantineMs: Millis;
  /** Time between announcing that a suspect is to run and running it. */
  readonly suspectSettleMs: Millis;
  /** Interval at which suspects' permits advance and suspicions expire. */
  readonly quarantineTickMs: Millis;

  /** Longest wait of a stopping instance for its records to be read back from the log. */
  readonly drainLogTimeoutMs: Millis;
}

export const DEFAULT_OUTCOME_SETTINGS: OutcomeSettings = {
  retryRatio: 0.08,
  retryWindowMs: 1_000,
  retryBackoffMs: 50,
  requeueMs: 50,
  avoidMs: 500,
  maxResumes: 3,
  retryAfterMs: 1_000,

  claimTimeoutMs: 5_000,
  claimHoldMs: 60_000,
  claimMemoryMs: 900_000,
  claimAppendsPerSecond: 200,
  claimWriters: 2,
  claimResubmitMs: 1_000,
  claimTickMs: 50,
  claimReadWaitMs: 1_000,
  claimReadIdleMs: 200,
  logOutageMs: 1_000,
  outcomeQueryMs: 500,
  recordedAnswerBytes: 4_096,
  answerMemoryBytes: 8_388_608,
  claimCheckpointMs: 60_000,

  crashWindowMs: 2_000,
  crashProbeMs: 100,
  suspicionMs: 600_000,
  quarantineMs: 1_800_000,
  suspectSettleMs: 300,
  quarantineTickMs: 100,

  drainLogTimeoutMs: 5_000,
};
