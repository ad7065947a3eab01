/**
 * Interfaces through which the effects of the core reach the network, the clock and the log. Each
 * has one implementation in this folder; tests use small fakes. A host is an adapter that performs
 * I/O and reports results to the core by posting events.
 */
import type { Clock, Millis } from '../core/clock.js';
import type {
  AnswerHead,
  AttemptId,
  AttemptPlan,
  AuditEntry,
  CoreEvent,
  EngineOrder,
  InstanceId,
  LogLevel,
  NotRunProblem,
  OperatorResult,
  LogComponent,
  PeerMessage,
  Problem,
  RecordedAnswer,
  RequestId,
  UpstreamId,
} from '../core/types.js';
import type { DiagnosticArgs, DiagnosticCode } from '../core/diagnostics.js';

/** Queues an event for the event loop of the core. Never calls back into the host synchronously. */
export type Post = (event: CoreEvent) => void;

/** A request in the form in which it is sent to an upstream. */
export interface OutgoingRequest {
  readonly method: string;
  /** Path and query on the upstream, starting with `/`. */
  readonly path: string;
  /** End-to-end headers only; hop-by-hop headers are removed. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Receives the response to one request. Shared by all attempts of the request. */
export interface ResponseSink {
  /** Sends status and headers unless an earlier attempt has already sent them. */
  readonly start: (head: AnswerHead) => void;
  /**
   * Sends a chunk of the body. Returns `undefined` if more can be written at once, otherwise a
   * promise that resolves when the caller can receive more and rejects if it has disconnected.
   */
  readonly write: (chunk: Uint8Array) => Promise<void> | undefined;
}

/** HTTP server for callers. */
export interface CallerHost {
  /** Starts to listen; returns the bound address as `ip:port`. */
  readonly listen: () => Promise<string>;
  readonly setReady: (ready: boolean) => void;
  /** Whether the load balancer may send callers to this instance. */
  readonly isReady: () => boolean;
  readonly getRequest: (id: RequestId) => OutgoingRequest | undefined;
  readonly getResponseSink: (id: RequestId) => ResponseSink | undefined;
  readonly finishResponse: (id: RequestId) => void;
  readonly replayResponse: (id: RequestId, answer: RecordedAnswer) => void;
  readonly refuse: (id: RequestId, problem: NotRunProblem) => void;
  readonly fail: (id: RequestId, problem: Problem) => void;
  /** Stops listening and resolves once every connection is closed. */
  readonly close: () => Promise<void>;
  /** Stops listening and closes every connection immediately. */
  readonly kill: () => Promise<void>;
}

/** HTTP client for model servers (engines) and plain services. */
export interface UpstreamHost {
  readonly dispatch: (plan: AttemptPlan, req: OutgoingRequest, sink: ResponseSink) => void;
  readonly cancel: (attempt: AttemptId, upstream: UpstreamId) => void;
  readonly suspend: (attempt: AttemptId, upstream: UpstreamId) => void;
  readonly resume: (attempt: AttemptId, upstream: UpstreamId) => void;
  readonly moveCache: (attempt: AttemptId, fromUrl: string, toUrl: string) => void;
  /** Reads the load and the cache events that follow the sequence number `cacheAfter`. */
  readonly poll: (upstream: UpstreamId, url: string, cacheAfter: number) => void;
  readonly sendOrder: (
    upstream: UpstreamId,
    url: string,
    orderNumber: number,
    order: EngineOrder,
  ) => void;
  readonly close: () => Promise<void>;
}

/** Bytes of control traffic by network distance of the link. */
export interface ControlBytes {
  readonly sameDomain: number;
  readonly sameRegion: number;
  readonly crossRegion: number;
}

/** Message links to the other instances. */
export interface PeerHost {
  /** Starts to listen; returns the bound address as `ip:port`. */
  readonly listen: () => Promise<string>;
  /** Queues a message; it may be lost. Messages queued for the same event are sent in one batch. */
  readonly send: (to: InstanceId, address: string, message: PeerMessage) => void;
  /** Closes the link to an instance; the next message to it opens a new link. */
  readonly closeLink: (to: InstanceId) => void;
  readonly controlBytes: () => ControlBytes;
  readonly close: () => Promise<void>;
}

/** Client of the platform's log and instance list. */
export interface PlatformHost {
  readonly readLog: (stream: string, from: number, limit: number, waitMs: Millis) => void;
  readonly appendLog: (appendId: number, stream: string, records: readonly string[]) => void;
  readonly readInstanceList: () => void;
  readonly close: () => Promise<void>;
}

/** HTTP server for operators. */
export interface OperatorHost {
  readonly listen: () => Promise<string>;
  readonly reply: (commandId: string, result: OperatorResult) => void;
  readonly close: () => Promise<void>;
}

/** Clock, timers and deferred execution. */
export interface System extends Clock {
  /** Runs `action` at or after `at`; returns a function that cancels it. */
  readonly schedule: (at: Millis, action: () => void) => () => void;
  /** Runs `action` after the events that are already due. */
  readonly defer: (action: () => void) => void;
}

/** Writes log lines; each names the component that logged it. */
export interface Logger {
  readonly write: (
    level: LogLevel,
    part: LogComponent,
    code: DiagnosticCode,
    args: DiagnosticArgs,
  ) => void;
  readonly audit: (entry: AuditEntry) => void;
}

/** Sends counters to a metrics receiver. */
export interface Metrics {
  readonly count: (metric: string, value: number, tags: Readonly<Record<string, string>>) => void;
  readonly close: () => Promise<void>;
}
