/** Requests that have no final answer, and the attempts that run for them. */
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

export interface OpenRequest {
  readonly facts: RequestFacts;
  readonly route: Route;
  readonly pool: PoolId;
  readonly customer: CustomerName | undefined;
  readonly arrivedAt: Millis;
  /** Time by which the caller has its final answer, unless one has begun. */
  readonly dueAt: Millis;
  /** Time at which the caller leaves. */
  readonly deadlineAt: Millis;
  /** Upstreams to which the request may have been sent, the latest last. */
  readonly tried: UpstreamId[];
  /** Upstreams that could not be reached. */
  readonly unreachable: UpstreamId[];
  attempt: AttemptNumber | undefined;
  /** Whether the present attempt is being ended in favour of another one. */
  isMoving: boolean;
  /** Whether a part of an answer may have been passed on to the caller. */
  isAnswering: boolean;
  /** Time at which the caller got the first part of its answer. */
  firstPartAt: Millis | undefined;
}

export interface Attempt {
  readonly number: AttemptNumber;
  readonly request: RequestNumber;
  readonly upstream: UpstreamId;
  readonly bornAt: Millis;
  readonly startedAt: Millis;
  /** Prompt tokens to be read for it and before it. */
  readonly uncachedTokens: number;
  readonly tokensAhead: number;
  readonly heldTokens: number;
  readonly expectedMs: Millis;
  firstPartAt: Millis | undefined;
  lastPartAt: Millis | undefined;
}

export interface RequestsState {
  readonly open: Map<RequestNumber, OpenRequest>;
  readonly attempts: Map<AttemptNumber, Attempt>;
  nextAttempt: AttemptNumber;
  /** Time of the last watch over them. */
  watchedAt: Millis | undefined;
}

export function createRequestsState(): RequestsState {
  return { open: new Map(), attempts: new Map(), nextAttempt: 1, watchedAt: undefined };
}
