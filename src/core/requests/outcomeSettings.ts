/**
 * Settings of attempts, retries, claims, quarantine and planned stops. All durations are in
 * milliseconds.
 */
import type { Millis } from '../clock.js';

export interface OutcomeSettings {
  /** Maximum ratio of retries to first attempts over the fleet. */
  readonly retryRatio: number;
  /** Interval at which instances exchange their usage of the retry budget. */
  readonly retryWindowMs: Millis;
  /** Maximum delay of the first retry; doubles with each further retry. */
  readonly retryBackoffMs: Millis;
  /** Delay after which a request that could not use its grant is queued again. */
  readonly requeueMs: Millis;
  /**
   * Time for which an upstream is not used after a request could not be sent to it, for example
   * because it refused the connection.
   */
  readonly avoidMs: Millis;
  /** Maximum number of times a response is resumed. */
  readonly maxResumes: number;
  /** `Retry-After` of refusals caused by missing capacity or an unavailable log. */
  readonly retryAfterMs: Millis;

  /** Timeout for reading a claim back from the log. */
  readonly claimTimeoutMs: Millis;
  /** Time from its first append after which a claim no longer permits a dispatch. */
  readonly claimHoldMs: Millis;
  /** Time for which a key is kept after it was last read from the log. */
  readonly claimMemoryMs: Millis;
  /** Maximum number of appends per second to the claims stream by the whole fleet. */
  readonly claimAppendsPerSecond: number;
  /** Number of instances that append claims on behalf of the others. */
  readonly claimWriters: number;
  /** Time after which a record that has not been read back is appended again. */
  readonly claimResubmitMs: Millis;
  /** Interval at which claim timeouts are checked. */
  readonly claimTickMs: Millis;
  /** Long-poll timeout of reads from the claims stream. */
  readonly claimReadWaitMs: Millis;
  /** Interval between reads while no claim of this instance is pending. */
  readonly claimReadIdleMs: Millis;
  /** Time of continuous failure after which the log is considered unavailable. */
  readonly logOutageMs: Millis;
  /** Timeout for the reply of another instance to an outcome query. */
  readonly outcomeQueryMs: Millis;
  /** Maximum size, in bytes, of a response that is recorded under an idempotency key. */
  readonly recordedAnswerBytes: number;
  /** Maximum total size, in bytes, of the recorded responses kept in memory. */
  readonly answerMemoryBytes: number;
  /** Interval between checkpoints of the claims stream. */
  readonly claimCheckpointMs: Millis;

  /** Time within which failures of an upstream count as a single crash. */
  readonly crashWindowMs: Millis;
  /** Delay of a retry after a closed connection, during which the upstream is probed. */
  readonly crashProbeMs: Millis;
  /** Time after which a suspicion expires. */
  readonly suspicionMs: Millis;
  /** Time for which a request stays in quarantine. */
  readonly quarantineMs: Millis;
  /** Time between announcing that a suspect request is about to run and running it. */
  readonly suspectSettleMs: Millis;
  /**
   * Interval at which the permits of suspect requests and the expiry of suspicions are processed.
   */
  readonly quarantineTickMs: Millis;

  /** Time that a stopping instance waits for its records to be read back from the log. */
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
