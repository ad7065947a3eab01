/**
 * Shapes of the routing core: the configuration in force, upstreams, requests as they arrive,
 * attempts, events and effects. All of them are read-only data.
 *
 * Units: times and durations are milliseconds (`Millis`), sizes are bytes, `tokens` are those of a
 * model's tokenizer.
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
import type { LoadReading } from './load/ownLoad.js';
import type { RoutingSettings } from './settings.js';

export type { FailureDomainId, InstanceId, InstanceIdentity, PoolId, RegionId, UpstreamId };

export type RouteName = string;
export type CustomerName = string;
/** Number of a caller's request within one instance. */
export type RequestNumber = number;
/** Number of an attempt within one instance. */
export type AttemptNumber = number;
/** Identifies a part of a prompt; equal parts have equal ids. */
export type PrefixPartId = string;

// Configuration

/** What may be repeated of a route's requests. */
export type RouteMode =
  /** May run any number of times. */
  | 'idempotent'
  /** Runs at most once for each request. */
  | 'nonIdempotent'
  /** A stream of events that runs at most once. */
  | 'stream'
  /** A stream of events that may go on at another upstream after its last event. */
  | 'resumableStream';

export interface RouteTarget {
  readonly pool: PoolId;
  /** Share of the route's requests relative to its other targets. */
  readonly weight: number;
}

export interface Route {
  readonly name: RouteName;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly mode: RouteMode;
  readonly targets: readonly RouteTarget[];
  /** Largest number of upstreams that one request may be sent to. */
  readonly maxUpstreams: number;
  /** Longest time that a caller is kept waiting for its answer. */
  readonly timeoutMs: Millis;
  /** Time to the answer, or to a stream's first event, that callers expect. */
  readonly objectiveMs: Millis;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
}

export interface Pool {
  readonly id: PoolId;
  /** Connections that one of its upstreams takes from all instances together. */
  readonly maxConnections: number;
  /** Tokens of prompts and answers that an upstream keeps in memory, for pools of model engines. */
  readonly memoryTokens?: number;
}

/** Limits on what a caller may send and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Millis;
  readonly idleTimeoutMs: Millis;
}

/** One accepted configuration. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: ReadonlyMap<PoolId, Pool>;
  /** Whether callers are known by keys at all. */
  readonly hasCustomers: boolean;
  readonly customersByKey: ReadonlyMap<string, CustomerName>;
  readonly callerLimits: CallerLimits;
}

// Upstreams

export type UpstreamPhase = 'ready' | 'draining';

/** What the platform's list says of one upstream. */
export interface ListedUpstream {
  readonly id: UpstreamId;
  readonly pool: PoolId;
  /** `ip:port`. */
  readonly address: string;
  readonly domain: FailureDomainId;
  readonly slots: number;
  readonly phase: UpstreamPhase;
  /** Time of its start; a later start under the same id knows nothing of the earlier one. */
  readonly bornAt: Millis;
  /** Counts the entries of one start. */
  readonly beat: number;
}

// Requests

export interface PrefixPart {
  readonly id: PrefixPartId;
  readonly tokens: number;
}

/** What the decisions need of a request; its body and headers stay with the host. */
export interface RequestFacts {
  readonly request: RequestNumber;
  /** Id that the caller gave, for logs. */
  readonly requestId: string;
  readonly host: string;
  /** Path with its query. */
  readonly path: string;
  /** Key of the caller, if it brought one. */
  readonly key?: string;
  /** Time that the caller waits, counted from the arrival. */
  readonly deadlineMs?: Millis;
  readonly promptTokens: number;
  /** Estimate or limit of the tokens that are generated. */
  readonly outputTokens: number;
  readonly prefix: readonly PrefixPart[];
  /** Model that is asked for; parts are kept for each model by itself. */
  readonly model: string;
  /** Hash of method, path, key and body. */
  readonly fingerprint: number;
  /** Time that it has waited at this instance for its decision. */
  readonly waitedMs?: Millis;
}

/** Id of the last event that the caller of a resumed stream has. */
export type EventId = string;

/** All that the host needs to send a request to an upstream. */
export interface AttemptPlan {
  readonly attempt: AttemptNumber;
  readonly request: RequestNumber;
  readonly upstream: UpstreamId;
  readonly address: string;
  /** Start of the upstream that the plan is meant for. */
  readonly bornAt: Millis;
  readonly customer?: CustomerName;
  /** Time that the upstream may take. */
  readonly deadlineMs: Millis;
  readonly mode: RouteMode;
  /** Whether the answer goes on after the last event that the caller has. */
  readonly isResumed: boolean;
  readonly maxConnections: number;
}

/** How an attempt ended. */
export type AttemptOutcome =
  /** The whole answer was passed on to the caller. */
  | { readonly kind: 'complete'; readonly status: number }
  /** No byte of the request left this instance. */
  | { readonly kind: 'notSent'; readonly reason: string }
  /** The upstream said that it did not run the request. */
  | { readonly kind: 'declined'; readonly status: number }
  /** A server error of the upstream, held back: the core decides whether the caller gets it. */
  | { readonly kind: 'failed'; readonly status: number }
  /** The upstream found the request at fault; held back as well. */
  | { readonly kind: 'rejected'; readonly status: number }
  /** The connection ended before the answer was complete. */
  | { readonly kind: 'cut'; readonly reason: string }
  /** The answer belonged to another request and was dropped. */
  | { readonly kind: 'foreign' }
  /** Ended by an effect of the core. */
  | { readonly kind: 'cancelled' };

/** Status of an answer that this instance gives itself. */
export type OwnStatus = 401 | 404 | 502 | 503 | 504;

export interface OwnAnswer {
  readonly request: RequestNumber;
  readonly status: OwnStatus;
  readonly reason: RoutingEventCode;
  readonly retryAfterMs?: Millis;
}

// Polls

/** Place in a stream of the platform up to which it has been read. */
export type Cursor = number;

export type PollOutcome<T> =
  | { readonly kind: 'answered'; readonly cursor: Cursor; readonly changes: readonly T[] }
  /** The history since the cursor is gone; the whole state has to be read. */
  | { readonly kind: 'expired' }
  | { readonly kind: 'failed'; readonly reason: string };

/** A change of one entry of the upstream list. */
export type UpstreamChange =
  | { readonly kind: 'listed'; readonly upstream: ListedUpstream }
  | { readonly kind: 'removed'; readonly id: UpstreamId }
  | { readonly kind: 'unreadable'; readonly id: UpstreamId; readonly reason: string };

/** A change of the operators' configuration. */
export type ConfigurationChange =
  | { readonly kind: 'configured'; readonly configuration: RoutingConfiguration }
  | { readonly kind: 'unreadable'; readonly reason: string };

/** Where an instance can be reached, as it announces itself on the platform. */
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
  /** The process was suspended, or clocks disagree: this much time may have passed unnoticed. */
  | {
      readonly kind: 'clockGap';
      readonly gapMs: Millis;
      /** The clock that told it, for logs. */
      readonly clock?: string;
    }
  | {
      readonly kind: 'configurationPolled';
      /** Time at which the read was sent. */
      readonly askedAt: Millis;
      /** Whether the whole state was read rather than changes. */
      readonly isWhole: boolean;
      readonly outcome: PollOutcome<ConfigurationChange>;
    }
  | {
      readonly kind: 'upstreamsPolled';
      readonly askedAt: Millis;
      readonly isWhole: boolean;
      readonly outcome: PollOutcome<UpstreamChange>;
    }
  | {
      readonly kind: 'instancesPolled';
      readonly outcome: PollOutcome<AnnouncedInstance>;
    }
  | { readonly kind: 'announced'; readonly reason?: string }
  | { readonly kind: 'requestArrived'; readonly facts: RequestFacts }
  | { readonly kind: 'callerGone'; readonly request: RequestNumber }
  /** The head of an answer arrived. */
  | {
      readonly kind: 'attemptAnswered';
      readonly attempt: AttemptNumber;
      readonly status: number;
    }
  /** Part of the answer was passed on; at most some a second for each attempt. */
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
      readonly news: PeerMessageOf<'routingNews'>;
    }
  | {
      readonly kind: 'probed';
      readonly upstream: UpstreamId;
      readonly bornAt: Millis;
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
  | { readonly kind: 'announce'; readonly self: InstanceIdentity }
  | { readonly kind: 'send'; readonly plan: AttemptPlan }
  | { readonly kind: 'cancel'; readonly attempt: AttemptNumber }
  /**
   * Ends an attempt in favour of another one, and reports its end. Left out if the attempt has begun
   * to answer meanwhile, unless `mayResume` is set and the answer can go on elsewhere.
   */
  | { readonly kind: 'withdraw'; readonly attempt: AttemptNumber; readonly mayResume: boolean }
  | { readonly kind: 'answer'; readonly answer: OwnAnswer }
  /** Passes on the server error that the host held back. */
  | { readonly kind: 'passError'; readonly request: RequestNumber }
  /** Closes the connection of a caller whose answer can no longer be completed. */
  | { readonly kind: 'cutAnswer'; readonly request: RequestNumber }
  /** Drops kept connections to an upstream that is gone. */
  | { readonly kind: 'forgetUpstream'; readonly upstream: UpstreamId; readonly bornAt: Millis }
  | {
      readonly kind: 'probe';
      readonly upstream: UpstreamId;
      readonly bornAt: Millis;
      readonly address: string;
    }
  | { readonly kind: 'limitCallers'; readonly limits: CallerLimits }
  | { readonly kind: 'setReady'; readonly isReady: boolean }
  /** Has each answer end its connection, or no longer. */
  | { readonly kind: 'moveCallers'; readonly isMoving: boolean }
  /** Ends idle connections of callers, and others with their next answer. */
  | { readonly kind: 'closeCallers' }
  | {
      readonly kind: 'sendPeer';
      readonly to: InstanceId;
      readonly address: string;
      readonly message: PeerMessage;
    }
  | { readonly kind: 'dropPeer'; readonly to: InstanceId }
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
  /** Fields that each line has of itself; see `RoutingLog`. */
  Partial<Readonly<Record<'time' | 'level' | 'instance' | 'event' | 'code', never>>>;

/** Latencies that are kept as histograms. */
export type RoutingHistogram = 'firstPart' | 'whole' | 'predictionError';
