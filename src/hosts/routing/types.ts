/**
 * Interfaces between the routing core's hosts and the platform that an instance runs on. The adapter
 * of a platform implements them: it translates headers and entries, and decides nothing.
 */
import type { Clock, Millis } from '../../core/clock.js';
import type { InstanceIdentity } from '../../core/types.js';
import type {
  AnnouncedInstance,
  AttemptPlan,
  ConfigurationChange,
  Cursor,
  EventId,
  OwnAnswer,
  PollOutcome,
  RequestFacts,
  RoutingEvent,
  UpstreamChange,
} from '../../routing/types.js';

/** Hands an event to the loop. Never calls back into the host synchronously. */
export type PostRoutingEvent = (event: RoutingEvent) => void;

/** Names and values by turns, as they were received. */
export type RawHeaders = readonly string[];

/** Head of a caller's request. */
export interface RequestHead {
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  readonly rawHeaders: RawHeaders;
}

/** What the head of a request tells, without what the host itself knows. */
export type RequestHeadFacts = Omit<RequestFacts, 'request' | 'fingerprint' | 'path'>;

export type RequestHeadResult =
  | { readonly kind: 'facts'; readonly facts: RequestHeadFacts }
  | { readonly kind: 'malformed'; readonly reason: string };

/** What the head of an upstream's answer tells. */
export interface ResponseFacts {
  /** Id of the request that it answers, if it names one. */
  readonly requestId?: string;
  /** Whether the upstream says that it did not run the request. */
  readonly isNotExecuted: boolean;
  /** Whether it bears what marks an answer of the upstream as its own. */
  readonly isGenuine: boolean;
}

/** Translates the headers of requests and answers. */
export interface RequestProtocol {
  readonly parseRequestHead: (head: RequestHead) => RequestHeadResult;
  /** End-to-end headers for the upstream, in place of those of the caller. */
  readonly upstreamHeaders: (
    head: RequestHead,
    plan: AttemptPlan,
    resumeAfter: EventId | undefined,
  ) => readonly string[];
  readonly parseResponseHead: (rawHeaders: RawHeaders) => ResponseFacts;
  /** Headers of an answer that the instance gives itself. */
  readonly localResponseHeaders: (
    answer: Pick<OwnAnswer, 'retryAfterMs'>,
  ) => Readonly<Record<string, string>>;
}

/** Result of a read, with whether the whole state was read rather than changes. */
export interface PollResult<T> {
  readonly isWhole: boolean;
  readonly outcome: PollOutcome<T>;
}

/** The platform's configuration, upstream list and list of instances. No call rejects. */
export interface RoutingPlatform {
  readonly pollConfiguration: (
    cursor: Cursor | undefined,
    waitMs: Millis,
  ) => Promise<PollResult<ConfigurationChange>>;
  readonly pollUpstreams: (cursor: Cursor | undefined) => Promise<PollResult<UpstreamChange>>;
  readonly pollInstances: (
    cursor: Cursor | undefined,
    waitMs: Millis,
  ) => Promise<PollResult<AnnouncedInstance>>;
  /** Announces an instance; resolves with the reason if it failed. */
  readonly announce: (self: InstanceIdentity) => Promise<string | undefined>;
  readonly close: () => void;
}

/** Time that the steady clock did not count. */
export interface ClockGap {
  readonly ms: Millis;
  /** The clock that told it; none where it is not known how long it was. */
  readonly clock: 'timeOfDay' | 'sinceBoot' | 'none';
}

/** Finds time that the steady clock did not count. */
export interface GapClock extends Clock {
  /** Time since the last call that the steady clock did not count; none in general. */
  readonly takeGap: () => ClockGap | undefined;
  /** Whether the time since boot keeps pace with the steady clock, and counts. */
  readonly isBootTrusted: () => boolean;
}
