/** State of the requests that have no final answer yet, and of their attempts. */
import type { Millis } from '../../core/clock.js';
import type {
  AttemptNumber,
  CustomerName,
  PoolId,
  RequestFacts,
  RequestNumber,
  Route,
  UpstreamId,
} from '../types.js';
import type { VersionHash, VersionNeed } from '../versions/versionsState.js';

export interface OpenRequest {
  readonly facts: RequestFacts;
  readonly route: Route;
  readonly pool: PoolId;
  readonly customer: CustomerName | undefined;
  readonly arrivedAt: Millis;
  /**
   * Time by which an answer must have started: the earlier of the route's and the caller's limit.
   */
  readonly dueAt: Millis;
  /** Time of the caller's deadline. */
  readonly deadlineAt: Millis;
  /** Upstreams that may have received the request, most recent last. */
  readonly tried: UpstreamId[];
  /** Upstreams to which no connection could be opened. */
  readonly unreachable: UpstreamId[];
  /** Software version that the stream needs, if it is one that has begun. */
  versionNeed: VersionNeed;
  /** Whether it was sent to see if upstreams still crash on it. */
  readonly isTrial: boolean;
  /** The current attempt. */
  attempt: AttemptNumber | undefined;
  /** Whether the current attempt is being withdrawn in favour of one at another upstream. */
  isWithdrawing: boolean;
  /** Whether part of an answer may have been forwarded to the caller. */
  hasAnswerStarted: boolean;
  /** Time at which the first part of an answer was forwarded to the caller. */
  firstPartAt: Millis | undefined;
}

export interface Attempt {
  readonly number: AttemptNumber;
  readonly request: RequestNumber;
  readonly upstream: UpstreamId;
  /** Start time of the upstream process that the attempt was sent to. */
  readonly upstreamStartedAt: Millis;
  /** Software version of the upstream when the attempt was sent, if it tells. */
  readonly upstreamVersion: VersionHash | undefined;
  readonly startedAt: Millis;
  /** Prompt tokens that the upstream has to read for this attempt. */
  readonly uncachedTokens: number;
  /** Prompt tokens that the upstream has to read before those of this attempt. */
  readonly tokensAhead: number;
  /** Prompt and output tokens that the attempt occupies in the upstream's memory. */
  readonly heldTokens: number;
  /** Time to the first part of the answer, as expected when the attempt was sent. */
  readonly expectedMs: Millis;
  firstPartAt: Millis | undefined;
  lastPartAt: Millis | undefined;
  /** Whether the answer has been running long enough to show that it does not crash the upstream. */
  wasAnswering: boolean;
}

export interface RequestsState {
  readonly open: Map<RequestNumber, OpenRequest>;
  readonly attempts: Map<AttemptNumber, Attempt>;
  nextAttempt: AttemptNumber;
  /** Time of the last health check over the open requests. */
  lastCheckedAt: Millis | undefined;
}

export function createRequestsState(): RequestsState {
  return { open: new Map(), attempts: new Map(), nextAttempt: 1, lastCheckedAt: undefined };
}
