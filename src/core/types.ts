/**
 * Shared types of the core: identities, the active configuration, requests and their states,
 * attempts, problems, events, effects and peer messages. All of them are read-only data.
 *
 * Units: durations and times are in milliseconds (`Millis`), sizes in bytes, and service in cost
 * units (see `PoolConfig.cost`).
 */
import type { Millis } from './clock.js';
import type { DiagnosticArgs, DiagnosticCode } from './diagnostics.js';
import type * as peer from '../protocol/generated/peer.js';

// Identities

export type InstanceId = string;
export type CustomerId = string;
/** Number that the configuration assigns to a customer; never reused. */
export type CustomerNumber = number;
export type PoolId = string;
/** Number that the configuration assigns to a pool; never reused. */
export type PoolNumber = number;
export type UpstreamId = string;
export type RequestId = string;
export type AttemptId = string;
/** Number of a grant, unique per owner and incarnation of the owner. */
export type GrantId = number;
export type FailureDomainId = string;
export type RegionId = string;
/** SHA-256 of a caller's key in lower-case hexadecimal. */
export type KeyHash = string;

/** Identifies one run of an instance. The incarnation increases with each start. */
export interface InstanceIdentity {
  readonly id: InstanceId;
  readonly incarnation: number;
  /** Address of the peer port as `ip:port`. */
  readonly address: string;
  readonly domain: FailureDomainId;
  readonly region: RegionId;
}

export type InstancePhase = 'starting' | 'ready' | 'leaving';

/** Last known state of an instance. */
export interface Member extends InstanceIdentity {
  readonly phase: InstancePhase;
  /** Number of the last heartbeat; increases within an incarnation. */
  readonly beat: number;
  readonly lastHeardAt: Millis;
  readonly configurationVersion: number;
}

// Active configuration

export type PoolKind = 'model' | 'service';

/** Rates, in cost units, from which the cost of a request is computed. */
export interface CostConfig {
  readonly perPromptToken: number;
  readonly perOutputToken: number;
  /** Cost of one slot of a plain service for one millisecond. */
  readonly perSlotMs: number;
}

export interface CustomerLimits {
  readonly waitingRequests: number;
  readonly waitingBytes: number;
  readonly concurrency: number;
  /** Requests per second over the whole fleet. */
  readonly rate: number;
}

export interface CustomerConfig {
  readonly id: CustomerId;
  readonly number: CustomerNumber;
  readonly keyHashes: readonly KeyHash[];
  readonly limits: CustomerLimits;
}

/** Entitlement weight of a customer in a pool; 1 if not configured. */
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
  /** Waiting time that a cross-region dispatch must save to be worthwhile. */
  readonly crossRegionPriceMs: Millis;
  /** Maximum share of slots that may be freed by suspending streams. */
  readonly suspendShare: number;
  /** Whether requests are idempotent if neither the caller nor a route says so. */
  readonly idempotentByDefault: boolean;
}

export interface UpstreamConfig {
  readonly id: UpstreamId;
  readonly pool: PoolId;
  /** Base URL, `http://ip:port`. */
  readonly url: string;
  readonly domain: FailureDomainId;
  readonly region: RegionId;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Whether the upstream rejects orders with an outdated number. */
  readonly checksOrders: boolean;
  /** Whether the upstream provides load reports and cache events. */
  readonly reportsLoad: boolean;
}

/** Idempotency of paths of a plain service; the longest matching prefix wins. */
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
  /** Maximum debt, in cost units per weight, that is repaid after a network partition. */
  readonly debtCap: number;
  /** Maximum amount charged at once for a running stream, in cost units. */
  readonly chargeStep: number;
}

export interface PlacementConfig {
  readonly pool: PoolId;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  /** Role assigned to the engines; empty or absent for any. */
  readonly role?: string;
  readonly minUpstreams: number;
  readonly maxUpstreams: number;
  /** Minimum share of the pool that keeps serving during a rolling load. */
  readonly servingShare: number;
}

/** The accepted configuration, indexed for lookups. `version` is the offset of its last record. */
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
  /** Maximum number of concurrent model loads in the whole fleet. */
  readonly concurrentLoads?: number;
  /** Returns the entitlement weight of a customer in a pool. */
  readonly weightOf: (customer: CustomerNumber, pool: PoolId) => number;
}

// Requests

/** Properties of a request that are known on arrival. The body is kept by the caller host. */
export interface RequestFacts {
  readonly requestId: RequestId;
  readonly customer: CustomerNumber;
  readonly pool: PoolId;
  readonly idempotent: boolean;
  readonly idempotencyKey?: string;
  /** Hash of the customer, method, path and body. */
  readonly fingerprint: string;
  readonly bodyBytes: number;
  /** Estimated number of prompt tokens; 0 for a plain service. */
  readonly promptTokens: number;
  /** Cost estimate of the caller, in cost units; may be inaccurate or wrong. */
  readonly costHint?: number;
  /** Hashes of the prompt's prefix blocks, from the shortest to the longest prefix. */
  readonly prefixBlocks: readonly string[];
  readonly streamed: boolean;
  readonly arrivedAt: Millis;
  readonly deadlineAt: Millis;
}

/** A request that passed admission but is not queued yet (a claim may be pending). */
export interface AcceptedRequest {
  readonly state: 'accepted';
  readonly facts: RequestFacts;
}

/** A request in the queue of its customer and pool. No attempt was made, or none was executed. */
export interface WaitingRequest {
  readonly state: 'waiting';
  readonly facts: RequestFacts;
  readonly since: Millis;
  /** Upstreams that were tried and did not execute the request, in order. */
  readonly tried: readonly UpstreamId[];
}

/** A request that holds a slot on an upstream; nothing has been sent yet. */
export interface GrantedRequest {
  readonly state: 'granted';
  readonly facts: RequestFacts;
  readonly grant: SlotGrant;
}

/** A request whose attempt was handed to the upstream host; bytes may have been sent. */
export interface DispatchedRequest {
  readonly state: 'dispatched';
  readonly facts: RequestFacts;
  readonly attempt: AttemptId;
  /** Upstreams of this and earlier attempts, in order. */
  readonly tried: readonly UpstreamId[];
  /** Output tokens that earlier attempts forwarded to the caller. */
  readonly forwardedTokens: number;
  /** Whether an earlier attempt forwarded any byte of a response. */
  readonly hasForwarded: boolean;
  /** Whether an earlier attempt may have executed the request. */
  readonly mayHaveRun: boolean;
  /** Number of times the response was resumed. */
  readonly resumes: number;
  /** Whether the caller disconnected while the outcome is still needed for its idempotency key. */
  readonly isCallerGone: boolean;
}

/**
 * Source of a stream that continues on another engine after its key-value cache is copied there.
 */
export interface CacheMove {
  readonly attemptId: AttemptId;
  readonly fromUrl: string;
}

/**
 * An idempotent request that an upstream may have executed and that waits for another upstream. It
 * can fail, but it can no longer be refused as not executed.
 */
export interface RetryingRequest {
  readonly state: 'retrying';
  readonly facts: RequestFacts;
  readonly since: Millis;
  readonly tried: readonly UpstreamId[];
  readonly forwardedTokens: number;
  readonly hasForwarded: boolean;
  readonly resumes: number;
  /** Present for a stream that has forwarded tokens. */
  readonly move?: CacheMove;
}

export type ActiveRequest =
  AcceptedRequest | WaitingRequest | GrantedRequest | DispatchedRequest | RetryingRequest;

/** Requests that no upstream has executed; only these can be refused as not executed. */
export type UnexecutedRequest = AcceptedRequest | WaitingRequest | GrantedRequest;

/** Reserves a slot of an upstream for one request; issued by the owner of the upstream. */
export interface SlotGrant {
  readonly grantId: GrantId;
  readonly owner: InstanceId;
  readonly upstream: UpstreamId;
  readonly expiresAt: Millis;
  /** Estimated fraction of the prompt, from 0 to 1, that is in the cache of the upstream. */
  readonly cachedShare?: number;
}

// Problems

/** Whether an upstream executed the request. */
export type ExecutionStatus = 'no' | 'yes' | 'unknown';

/** Processing step in which a problem occurred. */
export type ProcessingStep =
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

/** Component at which a problem occurred. */
export type ProblemSource =
  | { readonly kind: 'caller' }
  | { readonly kind: 'self' }
  | { readonly kind: 'instance'; readonly id: InstanceId }
  | { readonly kind: 'upstream'; readonly id: UpstreamId }
  | { readonly kind: 'platform'; readonly part: 'log' | 'list' | 'weights' };

/** A refusal or failure reported to a caller as problem+json. */
export interface Problem {
  readonly code: DiagnosticCode;
  readonly status: number;
  readonly executed: ExecutionStatus;
  readonly step: ProcessingStep;
  readonly peer: ProblemSource;
  readonly detail?: string;
  /** Values of the placeholders in the text of the diagnostic. */
  readonly args?: DiagnosticArgs;
  readonly retryAfterMs?: Millis;
}

/** A problem of a request that no upstream has executed. */
export interface NotRunProblem extends Problem {
  readonly executed: 'no';
}

/** A response stored under an idempotency key. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

// Attempts

/** Everything the upstream host needs to make an attempt. */
export interface AttemptPlan {
  readonly attemptId: AttemptId;
  readonly requestId: RequestId;
  readonly upstream: UpstreamId;
  readonly url: string;
  readonly pool: PoolId;
  readonly kind: PoolKind;
  /** Index of the first output token that the caller has not received; 0 for a new response. */
  readonly resumeFromToken: number;
  /** Maximum time between two parts of the response. */
  readonly idleTimeoutMs: Millis;
  /** Timeout for the first part of the response. */
  readonly firstByteTimeoutMs: Millis;
  /** Whether the host captures a small response for the outcome of the claim. */
  readonly captureAnswer: boolean;
  /** Time after which no byte may be sent any more; the attempt then ends as `notSent`. */
  readonly sendBefore?: Millis;
}

/** Status and end-to-end headers of the response of an upstream. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** Result of an attempt as reported by the upstream host. */
export type AttemptOutcome =
  /** The whole response, including its end marker or full length, was forwarded to the caller. */
  | {
      readonly kind: 'complete';
      readonly status: number;
      readonly outputTokens: number;
      readonly promptTokens?: number;
      readonly answer?: RecordedAnswer;
    }
  /** No byte of the request was sent. */
  | { readonly kind: 'notSent'; readonly detail: string }
  /** The upstream stated that it did not execute the request (429, or 503 with `executed: no`). */
  | { readonly kind: 'declined'; readonly status: number; readonly retryAfterMs?: Millis }
  /** A server error; nothing was forwarded. The request may have been executed. */
  | { readonly kind: 'upstreamError'; readonly status: number; readonly detail: string }
  /** The connection closed before the end marker. */
  | { readonly kind: 'cut'; readonly detail: string }
  /** Nothing was received within the timeout; the connection was closed. */
  | { readonly kind: 'silent' }
  /** The response carried the id of another attempt and was discarded. */
  | { readonly kind: 'foreign' }
  /** Cancelled by the core. */
  | { readonly kind: 'cancelled' };

// Upstreams

/** Load and loaded model of an upstream as reported by it, with some delay. */
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
  /** Changes when the upstream restarts. */
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

/** An entry in the instance list of the platform. */
export interface ListedInstance {
  readonly id: InstanceId;
  readonly address: string;
  readonly domain: FailureDomainId;
  readonly region: RegionId;
  readonly state: 'live' | 'leaving';
  /** Whether the entry is an instance of this fleet or an upstream. */
  readonly kind: 'instance' | 'upstream';
}

// Operators

/** A command sent by an operator. */
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
  /** Returns the source of a section or of the document, active or at an earlier version. */
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

/** An entry in the audit trail. */
export interface AuditEntry {
  readonly at: Millis;
  readonly who: string;
  readonly action: string;
  readonly subject: string;
  readonly accepted: boolean;
  readonly detail: string;
  /** Old and new state of the subject, truncated and without key hashes. */
  readonly before?: string;
  readonly after?: string;
}

// Timers

/** Timers of the core. Setting a pending timer reschedules it. */
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
  /** Value set by the caller, if any. */
  readonly idempotent?: boolean;
  readonly idempotencyKey?: string;
  readonly fingerprint: string;
  readonly bodyBytes: number;
  readonly promptTokens: number;
  readonly costHint?: number;
  readonly prefixBlocks: readonly string[];
  readonly streamed: boolean;
  /** Time until the deadline of the caller; absent to use the default of the instance. */
  readonly deadlineInMs?: Millis;
}

export type CoreEvent =
  | { readonly kind: 'start' }
  | CallerRequestEvent
  | { readonly kind: 'callerGone'; readonly requestId: RequestId }
  /** The response headers were received and carry the id of the attempt. */
  | { readonly kind: 'attemptStarted'; readonly attemptId: AttemptId }
  /** Parts of the response were forwarded to the caller; counts since the previous event. */
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
      /** Absent if the list could not be read. */
      readonly instances?: readonly ListedInstance[];
    }
  | {
      readonly kind: 'upstreamReport';
      readonly upstream: UpstreamId;
      /** Absent if the upstream could not be polled. */
      readonly report?: UpstreamReport;
      readonly cacheEvents: readonly CacheEvent[];
      /** Sequence number from which to read the next events. */
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
  /** The process received SIGTERM. */
  | { readonly kind: 'plannedStop' };

export type CoreEventKind = CoreEvent['kind'];

// Effects

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export type LogComponent =
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
  /** Ends the response to the caller after all of it has been forwarded. */
  | { readonly kind: 'finishAnswer'; readonly requestId: RequestId }
  /** Sends a complete response that was stored under an idempotency key. */
  | {
      readonly kind: 'replayAnswer';
      readonly requestId: RequestId;
      readonly answer: RecordedAnswer;
    }
  /** Reports to the caller that the request was not executed. */
  | { readonly kind: 'refuse'; readonly requestId: RequestId; readonly problem: NotRunProblem }
  /** Reports a failure to the caller; within a stream, as an explicit final event. */
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
      readonly part: LogComponent;
      readonly code: DiagnosticCode;
      readonly args: Readonly<Record<string, string | number>>;
    }
  /** Sets whether the load balancer may send callers to this instance. */
  | { readonly kind: 'setReady'; readonly ready: boolean }
  /** All accepted requests have ended; the process may exit. */
  | { readonly kind: 'stopped' };

export type EffectKind = Effect['kind'];

// Peer messages

/** Payload of a message between instances, without its envelope. */
export type PeerMessage = NonNullable<peer.PeerMessage['body']>;
export type PeerMessageKind = PeerMessage['$case'];
export type PeerMessageOf<K extends PeerMessageKind> = Extract<
  PeerMessage,
  { readonly $case: K }
>['value'];
