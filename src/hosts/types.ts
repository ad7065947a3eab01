/**
 * Interfaces between the core's effects and the outside world. Each has one real implementation in
 * this folder and small fakes in the tests. Hosts report back by posting events.
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
  Part,
  PeerMessage,
  Problem,
  RecordedAnswer,
  RequestId,
  UpstreamId,
} from '../core/types.js';
import type { DiagnosticArgs, DiagnosticCode } from '../core/diagnostics.js';

/** Hands an event to the loop. Never calls back into the host synchronously. */
export type Post = (event: CoreEvent) => void;

/** A request as it is sent to an upstream. */
export interface OutgoingRequest {
  readonly method: string;
  /** Path and query on the upstream, beginning with `/`. */
  readonly path: string;
  /** End-to-end headers only. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Where the parts of one answer go. Belongs to one request and outlives its attempts. */
export interface AnswerSink {
  /** Sends status and headers unless an earlier attempt has done so. */
  readonly start: (head: AnswerHead) => void;
  /** Passes on a part; resolves when the caller can take more. Rejects once the caller is gone. */
  readonly write: (chunk: Uint8Array) => Promise<void> | undefined;
}

/** The callers' port. */
export interface CallerHost {
  /** Starts to listen; returns the bound address as `ip:port`. */
  readonly listen: () => Promise<string>;
  readonly setReady: (ready: boolean) => void;
  /** Whether the balancer may send callers here. */
  readonly isReady: () => boolean;
  readonly requestOf: (id: RequestId) => OutgoingRequest | undefined;
  readonly sinkOf: (id: RequestId) => AnswerSink | undefined;
  readonly finishAnswer: (id: RequestId) => void;
  readonly replayAnswer: (id: RequestId, answer: RecordedAnswer) => void;
  readonly refuse: (id: RequestId, problem: NotRunProblem) => void;
  readonly fail: (id: RequestId, problem: Problem) => void;
  /** Stops to listen and resolves once every connection has ended. */
  readonly close: () => Promise<void>;
  /** Stops to listen and cuts every connection. */
  readonly kill: () => Promise<void>;
}

/** Connections to engines and plain services. */
export interface UpstreamHost {
  readonly dispatch: (plan: AttemptPlan, req: OutgoingRequest, sink: AnswerSink) => void;
  readonly cancel: (attempt: AttemptId, upstream: UpstreamId) => void;
  readonly suspend: (attempt: AttemptId, upstream: UpstreamId) => void;
  readonly resume: (attempt: AttemptId, upstream: UpstreamId) => void;
  readonly moveCache: (attempt: AttemptId, fromUrl: string, toUrl: string) => void;
  readonly poll: (upstream: UpstreamId, url: string, cacheAfter: number) => void;
  readonly giveOrder: (
    upstream: UpstreamId,
    url: string,
    orderNumber: number,
    order: EngineOrder,
  ) => void;
  readonly close: () => Promise<void>;
}

/** Bytes of control traffic by class of link. */
export interface ControlBytes {
  readonly sameDomain: number;
  readonly sameRegion: number;
  readonly crossRegion: number;
}

/** Links to the other instances. */
export interface PeerHost {
  /** Starts to listen; returns the bound address as `ip:port`. */
  readonly listen: () => Promise<string>;
  /** Queues a message; it may be lost. Messages of one event leave in one batch. */
  readonly send: (to: InstanceId, address: string, message: PeerMessage) => void;
  /** Closes the link to an instance; the next message opens a new one. */
  readonly drop: (to: InstanceId) => void;
  readonly controlBytes: () => ControlBytes;
  readonly close: () => Promise<void>;
}

/** The platform's log, instance list and weight store. */
export interface PlatformHost {
  readonly readLog: (stream: string, from: number, limit: number, waitMs: Millis) => void;
  readonly appendLog: (appendId: number, stream: string, records: readonly string[]) => void;
  readonly readInstanceList: () => void;
  readonly close: () => Promise<void>;
}

/** The operators' port. */
export interface OperatorHost {
  readonly listen: () => Promise<string>;
  readonly reply: (commandId: string, result: OperatorResult) => void;
  readonly close: () => Promise<void>;
}

/** Timers and the process itself. */
export interface System extends Clock {
  /** Runs `action` at or after `at`; returns a function that cancels it. */
  readonly schedule: (at: Millis, action: () => void) => () => void;
  /** Runs `action` after the events that are due now. */
  readonly defer: (action: () => void) => void;
}

/** Log lines with a fixed prefix per part. */
export interface Logger {
  readonly write: (level: LogLevel, part: Part, code: DiagnosticCode, args: DiagnosticArgs) => void;
  readonly audit: (entry: AuditEntry) => void;
}

/** Counters, gauges and timings. */
export interface Metrics {
  readonly count: (metric: string, value: number, tags: Readonly<Record<string, string>>) => void;
  readonly close: () => Promise<void>;
}
