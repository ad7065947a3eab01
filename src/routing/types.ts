/**
 * Data types of the routing core: configuration, upstreams, incoming requests, attempts, events and
 * effects. All of them are read-only.
 *
 * Units: times and durations are in milliseconds (`Millis`), sizes in bytes, `tokens` as counted by
 * the tokenizer of a model.
 */
import type { Millis } from '../core/clock.js';
import type {
  FailureDomainId,
  InstanceId,
  InstanceIdentity,
  LogLevel,
  PeerMessage,
  PeerMessageOf,
  PoolId,
  RegionId,
  UpstreamId,
} from '../core/types.js';
import type { RoutingEventCode } from './eventTable.js';
import type { LoadReading } from './load/instanceLoad.js';
import type { RoutingSettings } from './settings.js';

export type { FailureDomainId, InstanceId, InstanceIdentity, PoolId, RegionId, UpstreamId };

export type RouteName = string;
export type CustomerName = string;
/** Number of a request, unique within one instance. */
export type RequestNumber = number;
/** Number of an attempt, unique within one instance. */
export type AttemptNumber = number;
/** Id of a prompt part; equal parts have equal ids. */
export type PrefixPartId = string;

// Configuration

/**
 * Whether requests of a route may run more than once, and whether they are answered by a stream.
 */
export type RouteMode =
  /** A request may run any number of times. */
  | 'idempotent'
  /** A request runs at most once. */
  | 'nonIdempotent'
  /** An event stream that runs at most once. */
  | 'stream'
  /** An event stream that another upstream can resume after the last event. */
  | 'resumableStream';

export interface RouteTarget {
  readonly pool: PoolId;
  /** Share of the route's requests, relative to the weights of its other targets. */
  readonly weight: number;
}

export interface Route {
  readonly name: RouteName;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly mode: RouteMode;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of upstreams that one request may be sent to. */
  readonly maxUpstreams: number;
  /** Maximum time that a caller waits for an answer. */
  readonly timeoutMs: Millis;
  /** Target for the time to the answer, or to the first event of a stream. */
  readonly objectiveMs: Millis;
  /** Whether requests are served without a key. */
  readonly isPublic: boolean;
}

export interface Pool {
  readonly id: PoolId;
  /** Maximum connections to one upstream of the pool, from all instances together. */
  readonly maxConnections: number;
  /**
   * Prompt and output tokens that fit into the memory of one upstream, for pools of model engines.
   */
  readonly memoryTokens?: number;
}

/** Limits on what a caller may send and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Millis;
  readonly idleTimeoutMs: Millis;
}

/** An accepted configuration. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: ReadonlyMap<PoolId, Pool>;
  /** Whether callers are identified by keys. If not, every route is served without one. */
  readonly hasCustomers: boolean;
  readonly customersByKey: ReadonlyMap<string, CustomerName>;
  readonly callerLimits: CallerLimits;
}

// Upstreams

export type UpstreamPhase = 'ready' | 'draining';

/** An entry of the platform's upstream list. */
export interface ListedUpstream {
  readonly id: UpstreamId;
  readonly pool: PoolId;
  /** `ip:port`. */
  readonly address: string;
  readonly domain: FailureDomainId;
  readonly slots: number;
  /** Version of its software; empty if it does not tell. */
  readonly version: string;
  readonly phase: UpstreamPhase;
  /**
   * Start time of the upstream. An upstream that restarts under the same id has lost all its state.
   */
  readonly startedAt: Millis;
  /** Sequence number of the entry, counted from the start of the upstream. */
  readonly beat: number;
}

// Requests

export interface PrefixPart {
  readonly id: PrefixPartId;
  readonly tokens: number;
}

/** A request goes on with a stream that has broken off. */
export interface TakeUp {
  /** Id of the caller's request that brought the first event, if the caller tells it. */
  readonly beganAs?: string;
}

/**
 * The properties of a request that routing decisions use. Its body and headers stay in the host.
 */
export interface RequestFacts {
  readonly request: RequestNumber;
  /** Id that the caller supplied, for logs. */
  readonly requestId: string;
  readonly host: string;
  /** Path, including the query. */
  readonly path: string;
  /** Key of the caller, if it sent one. */
  readonly key?: string;
  /** Time after the arrival at which the caller stops waiting. */
  readonly deadlineMs?: Millis;
  readonly promptTokens: number;
  /** Estimate of, or limit on, the generated tokens. */
  readonly outputTokens: number;
  readonly prefix: readonly PrefixPart[];
  /** Requested model. Prompt parts are cached separately for each model. */
  readonly model: string;
  /** Hash of method, path, key and body. */
  readonly fingerprint: number;
  /** Set if the request goes on with a stream of which the caller has received events. */
  readonly takesUp?: TakeUp;
  /** Time that the request has waited at this instance for its admission decision. */
  readonly waitedMs?: Millis;
}

/** Whether the host can keep the body of a request. */
export interface BodyRoom {
  readonly hasRoom: boolean;
  /** Bytes to be kept. */
  readonly bytes: number;
  /** Bytes that all requests hold, and may hold. */
  readonly usedBytes: number;
  readonly limitBytes: number;
}

/** Id of the last event that the caller of a resumed stream received. */
export type EventId = string;

/** Everything that the host needs to send a request to an upstream. */
export interface AttemptPlan {
  readonly attempt: AttemptNumber;
  readonly request: RequestNumber;
  readonly upstream: UpstreamId;
  readonly address: string;
  /** Start time of the upstream process that the plan targets. */
  readonly upstreamStartedAt: Millis;
  readonly customer?: CustomerName;
  /** Time until the attempt must end. */
  readonly deadlineMs: Millis;
  readonly mode: RouteMode;
  /** Whether the answer resumes after the last event that the caller received. */
  readonly isResumed: boolean;
  readonly maxConnections: number;
}

/** Outcome of an attempt. */
export type AttemptOutcome =
  /** The complete answer was forwarded to the caller. */
  | {
      readonly kind: 'complete';
      readonly status: number;
      /** Whether only the end of its connection showed that the answer was complete. */
      readonly endsWithConnection?: boolean;
    }
  /** No byte of the request left this instance. */
  | { readonly kind: 'notSent'; readonly reason: string }
  /** The upstream reported that it did not run the request. */
  | { readonly kind: 'declined'; readonly status: number }
  /**
   * The upstream answered with a server error. The host holds it until the core decides about it.
   */
  | { readonly kind: 'failed'; readonly status: number }
  /** The upstream answered with a client error. The host holds it as well. */
  | { readonly kind: 'rejected'; readonly status: number }
  /** The connection ended before the answer was complete. */
  | { readonly kind: 'cut'; readonly reason: string }
  /** The answer belonged to another request and was discarded. */
  | { readonly kind: 'foreign' }
  /** The core cancelled or withdrew the attempt. */
  | { readonly kind: 'cancelled' };

/** What an answer of an upstream says of the rate of requests that it accepts. */
export type RateStatement =
  | { readonly kind: 'unlimited' }
  /** Maximum number of requests per second from all instances together. */
  | { readonly kind: 'limited'; readonly perSecond: number }
  | { readonly kind: 'unreadable'; readonly text: string };

/** For how long an upstream that refuses a request wants no others of this instance. */
export type PauseStatement =
  | { readonly kind: 'for'; readonly ms: Millis }
  | { readonly kind: 'unreadable'; readonly text: string };

/** What an answer of an upstream says of the upstream itself. */
export interface UpstreamStatements {
  /** Unset if the host cannot tell. */
  readonly rate?: RateStatement;
  /** Whether the upstream leaves and wants no new requests. */
  readonly isLeaving?: boolean;
  /** Counts only if the upstream refuses the request for lack of capacity. */
  readonly pause?: PauseStatement;
}

/** Status of a response that this instance generates itself. */
export type LocalStatus = 401 | 404 | 429 | 502 | 503 | 504;

/** A response that this instance generates itself. */
export interface LocalAnswer {
  readonly request: RequestNumber;
  readonly status: LocalStatus;
  readonly reason: RoutingEventCode;
  readonly retryAfterMs?: Millis;
}

// Polls

/** Position in a stream of the platform up to which it has been read. */
export type Cursor = number;

/**
 * Number that rises each time the platform comes back from a copy of itself. What was written after
 * the copy was taken is lost then, and positions are given out again.
 */
export type Era = number;

export type PollOutcome<T> =
  | {
      readonly kind: 'answered';
      readonly cursor: Cursor;
      readonly changes: readonly T[];
      /** Unset if the platform does not tell. */
      readonly era?: Era;
    }
  /** The history since the cursor is not available; the whole state has to be read. */
  | { readonly kind: 'expired'; readonly era?: Era }
  | { readonly kind: 'failed'; readonly reason: string };

/** A change to one entry of the upstream list. */
export type UpstreamChange =
  | { readonly kind: 'listed'; readonly upstream: ListedUpstream }
  | { readonly kind: 'removed'; readonly id: UpstreamId }
  | { readonly kind: 'unreadable'; readonly id: UpstreamId; readonly reason: string };

/** A software version that occurs in the history of the upstream list. */
export interface VersionMention {
  readonly pool: PoolId;
  readonly version: string;
  /** Time that has passed at least since an upstream of it was last listed or removed. */
  readonly ageMs: Millis;
}

/** Versions that occur in the history of the upstream list. */
export interface VersionHistory {
  readonly mentions: readonly VersionMention[];
  /** Time that the history covers at least; infinite if nothing of it is missing. */
  readonly coversMs: Millis;
}

export type VersionHistoryOutcome =
  | ({ readonly kind: 'read' } & VersionHistory)
  | { readonly kind: 'failed'; readonly reason: string };

/** A change to the operators' configuration. */
export type ConfigurationChange =
  | { readonly kind: 'configured'; readonly configuration: RoutingConfiguration }
  | { readonly kind: 'unreadable'; readonly reason: string };

/** Identity and address of an instance, as it announces itself on the platform. */
export type AnnouncedInstance = InstanceIdentity;

// Events and effects

export type RoutingTimer =
  | 'configurationPoll'
  | 'upstreamPoll'
  | 'instancePoll'
  | 'announce'
  | 'exchange'
  | 'health'
  | 'stop';

export type RoutingEvent =
  | { readonly kind: 'start' }
  | { readonly kind: 'timer'; readonly timer: RoutingTimer }
  /**
   * The process was suspended or its clocks disagree, so up to `gapMs` may have passed unnoticed.
   */
  | {
      readonly kind: 'clockGap';
      readonly gapMs: Millis;
      /** The clock that showed the gap, for logs. */
      readonly clock?: string;
    }
  | {
      readonly kind: 'configurationPolled';
      /** Time at which the read request was sent. */
      readonly askedAt: Millis;
      /** Whether the whole state was read, as opposed to changes only. */
      readonly isWhole: boolean;
      readonly outcome: PollOutcome<ConfigurationChange>;
    }
  | {
      readonly kind: 'upstreamsPolled';
      readonly askedAt: Millis;
      readonly isWhole: boolean;
      /** Position from which changes were read; unset if the whole state was read. */
      readonly from?: Cursor | undefined;
      readonly outcome: PollOutcome<UpstreamChange>;
    }
  | {
      readonly kind: 'listHistoryRead';
      readonly askedAt: Millis;
      readonly outcome: VersionHistoryOutcome;
    }
  | {
      readonly kind: 'instancesPolled';
      /** Time at which the read request was sent. */
      readonly askedAt: Millis;
      /** Whether the whole state was read, as opposed to changes only. */
      readonly isWhole: boolean;
      readonly outcome: PollOutcome<AnnouncedInstance>;
    }
  | { readonly kind: 'announced'; readonly reason?: string }
  | { readonly kind: 'requestArrived'; readonly facts: RequestFacts }
  /** The head of a request has arrived whose body is long, or for whose body there is no room. */
  | {
      readonly kind: 'headArrived';
      /** The fingerprint is not known yet. */
      readonly facts: RequestFacts;
      readonly room: BodyRoom;
    }
  | { readonly kind: 'callerGone'; readonly request: RequestNumber }
  /** The status and headers of an answer arrived. */
  | ({
      readonly kind: 'attemptAnswered';
      readonly attempt: AttemptNumber;
      readonly status: number;
    } & UpstreamStatements)
  /**
   * Part of the answer was forwarded. The host limits the rate of these events for each attempt.
   */
  | { readonly kind: 'attemptProgress'; readonly attempt: AttemptNumber }
  | {
      readonly kind: 'attemptEnded';
      readonly attempt: AttemptNumber;
      readonly outcome: AttemptOutcome;
    }
  | {
      readonly kind: 'peerMessage';
      readonly from: InstanceId;
      readonly incarnation: number;
      readonly message: PeerMessageOf<'routingNews'>;
    }
  | {
      readonly kind: 'probed';
      readonly upstream: UpstreamId;
      readonly upstreamStartedAt: Millis;
      readonly isAlive: boolean;
    }
  | { readonly kind: 'loadMeasured'; readonly reading: LoadReading }
  | { readonly kind: 'settingsChanged'; readonly settings: Partial<RoutingSettings> }
  | { readonly kind: 'plannedStop' };

export type RoutingEffect =
  | { readonly kind: 'setTimer'; readonly timer: RoutingTimer; readonly at: Millis }
  | {
      readonly kind: 'pollConfiguration';
      readonly cursor?: Cursor | undefined;
      readonly waitMs: Millis;
    }
  | { readonly kind: 'pollUpstreams'; readonly cursor?: Cursor | undefined }
  | {
      readonly kind: 'pollInstances';
      readonly cursor?: Cursor | undefined;
      readonly waitMs: Millis;
    }
  /** Reads the history of the upstream list; `beatMs` is the interval at which upstreams write. */
  | { readonly kind: 'readListHistory'; readonly beatMs: Millis }
  | { readonly kind: 'announce'; readonly self: InstanceIdentity }
  | { readonly kind: 'send'; readonly plan: AttemptPlan }
  | { readonly kind: 'cancel'; readonly attempt: AttemptNumber }
  /**
   * Cancels an attempt in favour of another one and reports its end. Has no effect if an answer has
   * started in the meantime, unless `mayResume` is set and another upstream can resume the answer.
   */
  | { readonly kind: 'withdraw'; readonly attempt: AttemptNumber; readonly mayResume: boolean }
  | { readonly kind: 'answer'; readonly answer: LocalAnswer }
  /** Reads the body of a request whose head has arrived. */
  | { readonly kind: 'readBody'; readonly request: RequestNumber }
  /** Forwards the upstream's error that the host holds. */
  | { readonly kind: 'passError'; readonly request: RequestNumber }
  /** Closes the connection of a caller whose answer cannot be completed. */
  | { readonly kind: 'cutAnswer'; readonly request: RequestNumber }
  /**
   * Closes the connections to an upstream that was removed or has restarted, once they are idle.
   */
  | {
      readonly kind: 'forgetUpstream';
      readonly upstream: UpstreamId;
      readonly upstreamStartedAt: Millis;
    }
  | {
      readonly kind: 'probe';
      readonly upstream: UpstreamId;
      readonly upstreamStartedAt: Millis;
      readonly address: string;
    }
  | { readonly kind: 'limitCallers'; readonly limits: CallerLimits }
  | { readonly kind: 'setReady'; readonly isReady: boolean }
  /** Starts or stops closing callers' connections after each answer. */
  | { readonly kind: 'moveCallers'; readonly isMoving: boolean }
  /** Closes idle connections of callers, and the other ones after their next answer. */
  | { readonly kind: 'closeCallers' }
  | {
      readonly kind: 'sendPeer';
      readonly to: InstanceId;
      readonly address: string;
      readonly message: PeerMessage;
    }
  | {
      readonly kind: 'log';
      readonly level: LogLevel;
      readonly code: RoutingEventCode;
      readonly fields: LogFields;
    }
  | { readonly kind: 'observe'; readonly metric: RoutingHistogram; readonly valueMs: Millis }
  | { readonly kind: 'count'; readonly decision: RoutingEventCode }
  | { readonly kind: 'stopped' };

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>> &
  /** Fields that `RoutingLog` adds to each line, and that events must not set. */
  Partial<Readonly<Record<'time' | 'level' | 'instance' | 'event' | 'code', never>>>;

/** Latencies that are recorded in histograms. */
export type RoutingHistogram = 'firstPart' | 'whole' | 'predictionError';
