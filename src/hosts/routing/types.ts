/**
 * Interfaces that a platform adapter implements for the hosts of the routing core. An adapter
 * translates headers and records; it makes no routing decisions.
 */
import type { Clock, Millis } from '../../core/clock.js';
import type { InstanceIdentity } from '../../core/types.js';
import type {
  AnnouncedInstance,
  AttemptPlan,
  ConfigurationChange,
  Cursor,
  EventId,
  LocalAnswer,
  PollOutcome,
  RequestFacts,
  RoutingEvent,
  UpstreamChange,
  UpstreamStatements,
  VersionHistoryOutcome,
} from '../../routing/types.js';

/** Posts an event to the loop. Never calls back into the host synchronously. */
export type PostRoutingEvent = (event: RoutingEvent) => void;

/** Alternating names and values, as received. */
export type RawHeaders = readonly string[];

/** Request line and headers of a caller's request. */
export interface RequestHead {
  readonly method: string;
  /** Path including the query string. */
  readonly path: string;
  readonly rawHeaders: RawHeaders;
}

/** Facts taken from a request's head; the host adds the omitted ones. */
export type RequestHeadFacts = Omit<RequestFacts, 'request' | 'fingerprint' | 'path'>;

export type RequestHeadResult =
  | { readonly kind: 'facts'; readonly facts: RequestHeadFacts }
  | { readonly kind: 'malformed'; readonly reason: string };

/** Facts taken from the head of an upstream's response. */
export interface ResponseFacts {
  /** Id of the request it responds to, if present. */
  readonly requestId?: string;
  /** Whether the upstream states that it did not execute the request. */
  readonly isNotExecuted: boolean;
  /** Whether the headers show that the upstream itself produced the response. */
  readonly isGenuine: boolean;
  /** What the upstream says of itself. */
  readonly statements: UpstreamStatements;
}

/** Translates request and response headers. */
export interface RequestProtocol {
  readonly parseRequestHead: (head: RequestHead) => RequestHeadResult;
  /** Headers of the upstream request, derived from those of the caller. */
  readonly upstreamHeaders: (
    head: RequestHead,
    plan: AttemptPlan,
    resumeAfter: EventId | undefined,
  ) => readonly string[];
  readonly parseResponseHead: (rawHeaders: RawHeaders) => ResponseFacts;
  /** Additional headers of a response that the instance generates itself. */
  readonly localResponseHeaders: (
    answer: Pick<LocalAnswer, 'retryAfterMs'>,
  ) => Readonly<Record<string, string>>;
}

/** Result of a poll; `isWhole` if it is a full snapshot rather than changes. */
export interface PollResult<T> {
  readonly isWhole: boolean;
  readonly outcome: PollOutcome<T>;
}

/** Access to the platform's configuration, upstreams and instances. No call rejects. */
export interface RoutingPlatform {
  readonly pollConfiguration: (
    cursor: Cursor | undefined,
    waitMs: Millis,
  ) => Promise<PollResult<ConfigurationChange>>;
  /** Answers a read of changes with one change for each record since `cursor`. */
  readonly pollUpstreams: (cursor: Cursor | undefined) => Promise<PollResult<UpstreamChange>>;
  /** Reads what the history of the upstream list tells of software versions. */
  readonly readUpstreamHistory: (beatMs: Millis) => Promise<VersionHistoryOutcome>;
  readonly pollInstances: (
    cursor: Cursor | undefined,
    waitMs: Millis,
  ) => Promise<PollResult<AnnouncedInstance>>;
  /** Publishes the address of this instance; resolves with a reason on failure. */
  readonly announce: (self: InstanceIdentity) => Promise<string | undefined>;
  readonly close: () => void;
}

/** Time that the monotonic clock did not count. */
export interface ClockGap {
  readonly ms: Millis;
  /** The clock that showed the gap; `none` if its length is unknown. */
  readonly clock: 'timeOfDay' | 'sinceBoot' | 'none';
}

/** A monotonic clock that detects time it did not count. */
export interface GapClock extends Clock {
  /** Returns a gap that was detected since the last call; usually `undefined`. */
  readonly takeGap: () => ClockGap | undefined;
  /** Whether the time since boot has kept pace with the monotonic clock and is still used. */
  readonly isBootTrusted: () => boolean;
}
