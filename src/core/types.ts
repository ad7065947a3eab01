/**
 * Shared unions and shapes of the core: identities, the configuration in force, requests and their
 * states, attempts, problems, events, effects and peer messages. All of them are read-only data.
 *
 * Units: durations and times are milliseconds (`Millis`), sizes are bytes, service is counted in
 * cost units (see `PoolConfig.cost`).
 */
import type { Millis } from './clock.js';
import type { DiagnosticArgs, DiagnosticCode } from './diagnostics.js';
import type * as peer from '../protocol/generated/peer.js';

// Identities

export type InstanceId = string;
export type CustomerId = string;
/** Number that the configuration assigns to a customer once; never reused. */
export type CustomerNumber = number;
export type PoolId = string;
/** Number that the configuration assigns to a pool once; never reused. */
export type PoolNumber = number;
export type UpstreamId = string;
export type RequestId = string;
export type AttemptId = string;
/** Number of a grant, unique with its owner and the owner's incarnation. */
export type GrantId = number;
export type FailureDomainId = string;
export type RegionId = string;
/** SHA-256 of a caller's key in lower-case hexadecimal. */
export type KeyHash = string;

/** One start of one instance. A later start has the larger incarnation. */
export interface InstanceIdentity {
  readonly id: InstanceId;
  readonly incarnation: number;
  /** Address of the peer port as `ip:port`. */
  readonly address: string;
  readonly domain: FailureDomainId;
  readonly region: RegionId;
}

export type InstancePhase = 'starting' | 'ready' | 'leaving';

/** What is believed of one instance. */
export interface Member extends InstanceIdentity {
  readonly phase: InstancePhase;
  readonly beat: number;
  readonly lastHeardAt: Millis;
  readonly configurationVersion: number;
}

// Configuration in force

export type PoolKind = 'model' | 'service';

/** Prices, in cost units, from which the cost of a request is computed. */
export interface CostConfig {
  readonly perPromptToken: number;
  readonly perOutputToken: number;
  /** Price of a millisecond of a plain service's slot. */
  readonly perSlotMs: number;
}

export interface CustomerLimits {
  readonly waitingRequests: number;
  readonly waitingBytes: number;
  readonly concurrency: number;
  /** Requests per second, fleet-wide. */
  readonly rate: number;
}

export interface CustomerConfig {
  readonly id: CustomerId;
  readonly number: CustomerNumber;
  readonly keyHashes: readonly KeyHash[];
  readonly limits: CustomerLimits;
}

/** A customer's entitlement weight in a pool; 1 where the configuration names none. */
export interface EntitlementConfig {
  readonly customer: CustomerId;
  readonly pool: PoolId;
  readonly weight: number;
}

export interface PoolConfig {
  readonly id: PoolId;
  readonly number: PoolNumber;
  readonly kind: PoolKind;
  readonly cost: CostConfig;
  /** Whether a retry or a pulled request may run in another region. */
  readonly crossRegion: boolean;
  /** Cost, in milliseconds of waiting, that a crossing of regions has to save. */
  readonly crossRegionPriceMs: Millis;
  /** Largest share of slots that may be freed by suspending streams. */
  readonly suspendShare: number;
  /** Whether requests without a mark are idempotent. */
  readonly idempotentByDefault: boolean;
}

export interface UpstreamConfig {
  readonly id: UpstreamId;
  readonly pool: PoolId;
  /** Base address, `http://ip:port`. */
  readonly url: string;
  readonly domain: FailureDomainId;
  readonly region: RegionId;
  /** Largest number of requests at a time. */
  readonly slots: number;
  /** Whether the upstream refuses an order with an old number. */
  readonly checksOrders: boolean;
  /** Whether the upstream has a load report and cache events. */
  readonly reportsLoad: boolean;
}

/** Marks part of a plain service's paths; the longest matching prefix decides. */
export interface RouteConfig {
  readonly pool: PoolId;
  readonly pathPrefix: string;
  readonly methods: readonly string[];
  readonly idempotent: boolean;
}

export interface PlannedStopConfig {
  readonly upstream: UpstreamId;
  readonly reason: string;
}

export type ShareScope = 'pool' | 'fleet';

export interface FairnessConfig {
  readonly scope: ShareScope;
  /** Largest debt, in cost units per weight, that is repaid after a partition. */
  readonly debtCap: number;
  /** Largest amount charged at once while a stream runs, in cost units. */
  readonly chargeStep: number;
}

export interface PlacementConfig {
  readonly pool: PoolId;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  /** Role that the engines are given; empty or absent for any. */
  readonly role?: string;
  readonly minUpstreams: number;
  readonly maxUpstreams: number;
  /** Smallest share of the pool that keeps serving during a rolling load. */
  readonly servingShare: number;
}

/** The accepted configuration, indexed for use. `version` is the offset of its last record. */
export interface ConfigurationView {
  readonly version: number;
  readonly customers: ReadonlyMap<CustomerNumber, CustomerConfig>;
  readonly customersByKey: ReadonlyMap<KeyHash, CustomerNumber>;
  readonly customersById: ReadonlyMap<CustomerId, CustomerNumber>;
  readonly pools: ReadonlyMap<PoolId, PoolConfig>;
  readonly poolsByNumber: ReadonlyMap<PoolNumber, PoolConfig>;
  readonly upstreams: ReadonlyMap<UpstreamId, UpstreamConfig>;
  readonly upstreamsByPool: ReadonlyMap<PoolId, readonly UpstreamConfig[]>;
  readonly routes: readonly RouteConfig[];
  readonly plannedStops: ReadonlyMap<UpstreamId, PlannedStopConfig>;
  readonly fairness: FairnessConfig;
  readonly placement: readonly PlacementConfig[];
  /** Model loads that may be under way at a time in the whole fleet. */
  readonly concurrentLoads?: number;
  /** Weight of a customer in a pool. */
  readonly weightOf: (customer: CustomerNumber, pool: PoolId) => number;
}

// Requests

/** What is known of a request when it arrives. The body stays with the caller host. */
export interface RequestFacts {
  readonly requestId: RequestId;
  readonly customer: CustomerNumber;
  readonly pool: PoolId;
  readonly idempotent: boolean;
  readonly idempotencyKey?: string;
  /** Hash of the customer, method, path and body. */
  readonly fingerprint: string;
  readonly bodyBytes: number;
  /** Rough number of prompt tokens; 0 for a plain service. */
  readonly promptTokens: number;
  /** The caller's hint of the cost, in cost units; rough or wrong. */
  readonly costHint?: number;
  /** Hashes of the prompt's prefix blocks, from the shortest to the longest prefix. */
  readonly prefixBlocks: readonly string[];
  readonly streamed: boolean;
  readonly arrivedAt: Millis;
  readonly deadlineAt: Millis;
}

/** Passed the checks; not yet in a queue (a claim may be pending). */
export interface AcceptedRequest {
  readonly state: 'accepted';
  readonly facts: RequestFacts;
}

/** In the queue of its customer and pool. No attempt has been made, or none was run. */
export interface WaitingRequest {
  readonly state: 'waiting';
  readonly facts: RequestFacts;
  readonly since: Millis;
  /** Upstreams of attempts that certainly did not run the request, the latest last. */
  readonly tried: readonly UpstreamId[];
}

/** Holds a slot on an upstream; nothing has been sent yet. */
export interface GrantedRequest {
  readonly state: 'granted';
  readonly facts: RequestFacts;
  readonly grant: GrantFacts;
}

/** An attempt was handed to the upstream host; bytes may have left. */
export interface DispatchedRequest {
  readonly state: 'dispatched';
  readonly facts: RequestFacts;
  readonly attempt: AttemptId;
  /** Upstreams of this and earlier attempts, the latest last. */
  readonly tried: readonly UpstreamId[];
  /** Output tokens that earlier attempts passed on to the caller. */
  readonly forwardedTokens: number;
  /** Whether an earlier attempt passed on any byte of an answer. */
  readonly hasForwarded: boolean;
  /** Whether an earlier attempt may have run the request. */
  readonly mayHaveRun: boolean;
  /** Number of times that the answer was resumed. */
  readonly resumes: number;
  /** Whether the caller has left while the outcome is still wanted for its key. */
  readonly isCallerGone: boolean;
}

/** A stream that goes on at another engine, to which its key-value cache is copied first. */
export interface CacheMove {
  readonly attemptId: AttemptId;
  readonly fromUrl: string;
}

/**
 * An idempotent request that an upstream may have run and that waits for another upstream. It can
 * fail, but it can never be refused as not run.
 */
export interface RetryingRequest {
  readonly state: 'retrying';
  readonly facts: RequestFacts;
  readonly since: Millis;
  readonly tried: readonly UpstreamId[];
  readonly forwardedTokens: number;
  readonly hasForwarded: boolean;
  readonly resumes: number;
  /** Present for a stream that has passed on tokens. */
  readonly move?: CacheMove;
}

export type ActiveRequest =
  AcceptedRequest | WaitingRequest | GrantedRequest | DispatchedRequest | RetryingRequest;

/** Requests that certainly no upstream has seen; only these can be refused as not run. */
export type UntriedRequest = AcceptedRequest | WaitingRequest | GrantedRequest;

/** The slot that a grant stands for. */
export interface GrantFacts {
  readonly grantId: GrantId;
  readonly owner: InstanceId;
  readonly upstream: UpstreamId;
  readonly expiresAt: Millis;
  /** Part of the prompt, from 0 to 1, that the upstream's cache is believed to hold. */
  readonly cachedShare?: number;
}

// Problems

/** Whether an upstream ran the request. */
export type Executed = 'no' | 'yes' | 'unknown';

/** Step of a request's way at which a problem arose. */
export type Step =
  | 'receive'
  | 'authenticate'
  | 'route'
  | 'admit'
  | 'claim'
  | 'wait'
  | 'grant'
  | 'dispatch'
  | 'stream'
  | 'settle'
  | 'stop'
  | 'configure'
  | 'order'
  | 'append'
  | 'read';

/** Party at which a problem arose. */
export type Peer =
  | { readonly kind: 'caller' }
  | { readonly kind: 'self' }
  | { readonly kind: 'instance'; readonly id: InstanceId }
  | { readonly kind: 'upstream'; readonly id: UpstreamId }
  | { readonly kind: 'platform'; readonly part: 'log' | 'list' | 'weights' };

/** A refusal or failure told to a caller as problem+json. */
export interface Problem {
  readonly code: DiagnosticCode;
  readonly status: number;
  readonly executed: Executed;
  readonly step: Step;
  readonly peer: Peer;
  readonly detail?: string;
  /** Values of the place-holders in the diagnostic's text. */
  readonly args?: DiagnosticArgs;
  readonly retryAfterMs?: Millis;
}

/** A problem whose request no upstream has seen. */
export interface NotRunProblem extends Problem {
  readonly executed: 'no';
}

/** An answer kept under an idempotency key. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

// Attempts

/** All that the upstream host needs for one attempt. */
export interface AttemptPlan {
  readonly attemptId: AttemptId;
  readonly requestId: RequestId;
  readonly upstream: UpstreamId;
  readonly url: string;
  readonly pool: PoolId;
  readonly kind: PoolKind;
  /** First output token that the caller lacks; 0 for a fresh start. */
  readonly resumeFromToken: number;
  /** Longest silence between two parts of the answer. */
  readonly idleTimeoutMs: Millis;
  /** Longest wait for the first part of the answer. */
  readonly firstByteTimeoutMs: Millis;
  /** Whether the host keeps a copy of a small answer for the claim's outcome. */
  readonly captureAnswer: boolean;
  /** Time after which no byte may leave any more; the attempt then ends as `notSent`. */
  readonly sendBefore?: Millis;
}

/** Status and end-to-end headers of an upstream's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** How an attempt ended, as the upstream host saw it. */
export type AttemptOutcome =
  /** The whole answer, with its end mark or full length, was passed on to the caller. */
  | {
      readonly kind: 'complete';
      readonly status: number;
      readonly outputTokens: number;
      readonly promptTokens?: number;
      readonly answer?: RecordedAnswer;
    }
  /** No byte of the request left this instance. */
  | { readonly kind: 'notSent'; readonly detail: string }
  /** The upstream said itself that it did not run the request (429, or 503 with `executed: no`). */
  | { readonly kind: 'declined'; readonly status: number; readonly retryAfterMs?: Millis }
  /** A server error; nothing was passed on. The request may have run. */
  | { readonly kind: 'upstreamError'; readonly status: number; readonly detail: string }
  /** The connection ended before the end mark. */
  | { readonly kind: 'cut'; readonly detail: string }
  /** Nothing arrived for longer than the time limit; the connection was given up. */
  | { readonly kind: 'silent' }
  /** The reply carried another attempt's id and was dropped. */
  | { readonly kind: 'foreign' }
  /** Stopped on request of the core. */
  | { readonly kind: 'cancelled' };

// Upstreams

/** Load and cache of an upstream as it reports them, with a lag. */
export interface UpstreamReport {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly tokensPerSecond: number;
  readonly model: string;
  readonly version: string;
  readonly role: string;
  readonly adapters: readonly string[];
  readonly orderNumber: number;
  /** Changes when the upstream starts afresh. */
  readonly epoch: string;
}

export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly block: string;
}

/** An order to an engine. */
export type EngineOrder =
  | { readonly kind: 'load-model'; readonly model: string; readonly version: string }
  | { readonly kind: 'load-adapter'; readonly adapter: string }
  | { readonly kind: 'set-role'; readonly role: string };

// Platform

export interface StreamRecord {
  readonly offset: number;
  readonly data: string;
}

export type LogReadResult =
  | {
      readonly kind: 'records';
      readonly records: readonly StreamRecord[];
      readonly next: number;
    }
  | { readonly kind: 'expired'; readonly oldest: number }
  | { readonly kind: 'failed'; readonly detail: string };

export type AppendResult =
  | { readonly kind: 'appended'; readonly offset: number }
  /** Certainly not appended. */
  | { readonly kind: 'rejected'; readonly detail: string; readonly retryAfterMs?: Millis }
  /** May have been appended. */
  | { readonly kind: 'unknown'; readonly detail: string };

/** An entry of the platform's instance list. */
export interface ListedInstance {
  readonly id: InstanceId;
  readonly address: string;
  readonly domain: FailureDomainId;
  readonly region: RegionId;
  readonly state: 'live' | 'leaving';
  /** Whether the entry is one of our instances or an upstream. */
  readonly kind: 'instance' | 'upstream';
}

// Operators

/** What an operator asks of an instance. */
export type OperatorCommand =
  | {
      readonly kind: 'publish';
      readonly editId: string;
      readonly section: string;
      readonly baseVersion: number;
      readonly text: string;
      readonly author: string;
      readonly keyHash: KeyHash;
    }
  /** The source of a section, or of the document, in force or at an earlier version. */
  | {
      readonly kind: 'getConfiguration';
      readonly section?: string;
      readonly version?: number;
      readonly keyHash: KeyHash;
    }
  /** Parses and checks a section or document without publishing it. */
  | {
      readonly kind: 'checkConfiguration';
      readonly section: string;
      readonly text: string;
      readonly keyHash: KeyHash;
    }
  | { readonly kind: 'configurationHistory'; readonly limit: number; readonly keyHash: KeyHash }
  | { readonly kind: 'readAudit'; readonly limit: number; readonly keyHash: KeyHash }
  | { readonly kind: 'listOrders'; readonly keyHash: KeyHash }
  | { readonly kind: 'liftQuarantine'; readonly fingerprint: string; readonly keyHash: KeyHash }
  | { readonly kind: 'status' };

export type OperatorResult =
  | { readonly kind: 'done'; readonly data: unknown }
  | { readonly kind: 'rejected'; readonly problem: Problem; readonly data?: unknown };

/** A line of the audit trail. */
export interface AuditEntry {
  readonly at: Millis;
  readonly who: string;
  readonly action: string;
  readonly subject: string;
  readonly accepted: boolean;
  readonly detail: string;
  /** Old and new state of the subject, shortened, without key hashes. */
  readonly before?: string;
  readonly after?: string;
}

// Timers

/** Timers of the core; setting one again replaces it. */
export type TimerName =
  | 'heartbeat'
  | 'instanceList'
  | 'announce'
  | 'exchange'
  | 'assign'
  | 'poll'
  | 'deadlines'
  | 'limits'
  | 'claims'
  | 'claimAppend'
  | 'quarantine'
  | 'retries'
  | 'configuration'
  | 'checkpoint'
  | 'apply'
  | 'orders'
  | 'drain';

// Events

export interface CallerRequestEvent {
  readonly kind: 'callerRequest';
  readonly requestId: RequestId;
  readonly keyHash: KeyHash;
  readonly pool: PoolId;
  readonly method: string;
  /** Path below the pool for a plain service, or the completion path. */
  readonly path: string;
  /** The caller's mark; absent when it set none. */
  readonly idempotent?: boolean;
  readonly idempotencyKey?: string;
  readonly fingerprint: string;
  readonly bodyBytes: number;
  readonly promptTokens: number;
  readonly costHint?: number;
  readonly prefixBlocks: readonly string[];
  readonly streamed: boolean;
  /** Time until the caller gives up; absent for the instance's default. */
  readonly deadlineInMs?: Millis;
}

export type CoreEvent =
  | { readonly kind: 'start' }
  | CallerRequestEvent
  | { readonly kind: 'callerGone'; readonly requestId: RequestId }
  /** The head of the answer arrived and carries the attempt's id. */
  | { readonly kind: 'attemptStarted'; readonly attemptId: AttemptId }
  /** Parts of the answer were passed on to the caller; counts since the last such event. */
  | {
      readonly kind: 'attemptProgress';
      readonly attemptId: AttemptId;
      readonly outputTokens: number;
      readonly bytes: number;
    }
  | {
      readonly kind: 'attemptEnded';
      readonly attemptId: AttemptId;
      readonly outcome: AttemptOutcome;
    }
  | {
      readonly kind: 'peerMessage';
      readonly from: InstanceId;
      readonly incarnation: number;
      readonly message: PeerMessage;
    }
  | { readonly kind: 'peerUnreachable'; readonly to: InstanceId }
  | {
      readonly kind: 'logRead';
      readonly stream: string;
      readonly from: number;
      readonly result: LogReadResult;
    }
  | {
      readonly kind: 'appendSettled';
      readonly appendId: number;
      readonly stream: string;
      readonly result: AppendResult;
    }
  | {
      readonly kind: 'instanceList';
      /** Absent when the list could not be read. */
      readonly instances?: readonly ListedInstance[];
    }
  | {
      readonly kind: 'upstreamReport';
      readonly upstream: UpstreamId;
      /** Absent when the upstream could not be asked. */
      readonly report?: UpstreamReport;
      readonly cacheEvents: readonly CacheEvent[];
      /** Sequence from which the next events are to be read. */
      readonly cacheNext: number;
      /** Whether events before `cacheEvents` were lost. */
      readonly cacheGap: boolean;
    }
  | {
      readonly kind: 'orderSettled';
      readonly upstream: UpstreamId;
      readonly orderNumber: number;
      readonly result: 'accepted' | 'stale' | 'failed' | 'unknown';
    }
  | {
      readonly kind: 'operatorCommand';
      readonly commandId: string;
      readonly command: OperatorCommand;
    }
  | { readonly kind: 'timer'; readonly timer: TimerName }
  /** The process was told to stop (SIGTERM). */
  | { readonly kind: 'plannedStop' };

export type CoreEventKind = CoreEvent['kind'];

// Effects

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export type Part =
  | 'core'
  | 'membership'
  | 'ownership'
  | 'shares'
  | 'dispatch'
  | 'limits'
  | 'attempts'
  | 'claims'
  | 'quarantine'
  | 'configuration'
  | 'orders'
  | 'drain'
  | 'callers'
  | 'upstreams'
  | 'peers'
  | 'platform'
  | 'daemon'
  | 'cli';

export type Effect =
  | { readonly kind: 'dispatch'; readonly attempt: AttemptPlan }
  | { readonly kind: 'cancelAttempt'; readonly attemptId: AttemptId; readonly upstream: UpstreamId }
  | {
      readonly kind: 'suspendAttempt' | 'resumeAttempt';
      readonly attemptId: AttemptId;
      readonly upstream: UpstreamId;
    }
  /** Copies the key-value cache of an attempt from one engine to another before a resume. */
  | {
      readonly kind: 'moveCache';
      readonly attemptId: AttemptId;
      readonly fromUrl: string;
      readonly toUrl: string;
    }
  /** Ends the caller's answer, all of which has been passed on. */
  | { readonly kind: 'finishAnswer'; readonly requestId: RequestId }
  /** Sends a whole answer that was kept under an idempotency key. */
  | {
      readonly kind: 'replayAnswer';
      readonly requestId: RequestId;
      readonly answer: RecordedAnswer;
    }
  /** Tells the caller of a request that was not run. */
  | { readonly kind: 'refuse'; readonly requestId: RequestId; readonly problem: NotRunProblem }
  /** Tells the caller of a failure; within a stream as its explicit last event. */
  | { readonly kind: 'fail'; readonly requestId: RequestId; readonly problem: Problem }
  | {
      readonly kind: 'sendPeer';
      readonly to: InstanceId;
      readonly address: string;
      readonly message: PeerMessage;
    }
  | { readonly kind: 'dropPeer'; readonly to: InstanceId }
  | {
      readonly kind: 'readLog';
      readonly stream: string;
      readonly from: number;
      readonly limit: number;
      readonly waitMs: Millis;
    }
  | {
      readonly kind: 'appendLog';
      readonly appendId: number;
      readonly stream: string;
      readonly records: readonly string[];
    }
  | { readonly kind: 'readInstanceList' }
  | {
      readonly kind: 'pollUpstream';
      readonly upstream: UpstreamId;
      readonly url: string;
      readonly cacheAfter: number;
    }
  | {
      readonly kind: 'giveOrder';
      readonly upstream: UpstreamId;
      readonly url: string;
      readonly orderNumber: number;
      readonly order: EngineOrder;
    }
  | {
      readonly kind: 'operatorReply';
      readonly commandId: string;
      readonly result: OperatorResult;
    }
  | { readonly kind: 'setTimer'; readonly timer: TimerName; readonly at: Millis }
  | { readonly kind: 'audit'; readonly entry: AuditEntry }
  | {
      readonly kind: 'count';
      readonly metric: string;
      readonly value: number;
      readonly tags: Readonly<Record<string, string>>;
    }
  | {
      readonly kind: 'log';
      readonly level: LogLevel;
      readonly part: Part;
      readonly code: DiagnosticCode;
      readonly args: Readonly<Record<string, string | number>>;
    }
  /** Whether the balancer may send callers here. */
  | { readonly kind: 'setReady'; readonly ready: boolean }
  /** All accepted work has ended; the process may exit. */
  | { readonly kind: 'stopped' };

export type EffectKind = Effect['kind'];

// Peer messages

/** A message between instances, without its envelope. */
export type PeerMessage = NonNullable<peer.PeerMessage['body']>;
export type PeerMessageKind = PeerMessage['$case'];
export type PeerMessageOf<K extends PeerMessageKind> = Extract<
  PeerMessage,
  { readonly $case: K }
>['value'];
