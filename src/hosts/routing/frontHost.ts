/**
 * Caller-facing HTTP server of the routing core. Accepts requests with any method and body, tracks
 * each until its final response, and executes the attempts that the core starts.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { crc32 } from 'node:zlib';
import type { Dispatcher } from 'undici';
import type { Millis } from '../../core/clock.js';
import { hash32, mixHashes } from '../../core/hash.js';
import { Debug } from '../../core/debug.js';
import type {
  AttemptNumber,
  AttemptPlan,
  CallerLimits,
  EventId,
  LocalAnswer,
  RequestFacts,
  RequestNumber,
} from '../../routing/types.js';
import {
  SHORT_REQUEST_BYTES,
  type ByteBudget,
  type ByteHold,
} from '../../routing/load/byteBudget.js';
import { createHttpServer, sendJson } from '../httpServer.js';
import { startAttempt, type BufferedErrorResponse, type RunningAttempt } from './attempt.js';
import { createCallerResponse, type CallerResponse } from './callerResponse.js';
import { readBodyWithin } from './bodyReader.js';
import { createIntake } from './intake.js';
import type { LoadMeter } from './loadMeter.js';
import type { RequestHeadFacts, PostRoutingEvent, RequestHead, RequestProtocol } from './types.js';
import type { UpstreamPools } from './upstreamPools.js';

export interface FrontHostOptions {
  readonly post: PostRoutingEvent;
  readonly host: string;
  readonly port: number;
  readonly protocol: RequestProtocol;
  readonly pools: UpstreamPools;
  /** Bytes that requests may hold. */
  readonly buffers: ByteBudget;
  readonly now: () => Millis;
  readonly meter: Pick<LoadMeter, 'count' | 'recordWait'>;
  /** Called when a request is rejected before it reaches the core. */
  readonly onMalformed: (status: number, reason: string, requestId: string | undefined) => void;
  /** Called when a response cannot be written; its caller gets an error or a closed connection. */
  readonly onResponseFailed: (requestId: string, err: unknown) => void;
}

export interface FrontHost {
  readonly listen: () => Promise<string>;
  readonly setLimits: (limits: CallerLimits) => void;
  readonly send: (plan: AttemptPlan) => void;
  /** Reads the body of a request whose head the core has accepted. */
  readonly readBody: (request: RequestNumber) => void;
  readonly cancel: (attempt: AttemptNumber) => void;
  /** Cancels an attempt in favour of another, unless its response has started and cannot be resumed. */
  readonly cancelIfReplaceable: (attempt: AttemptNumber, mayResume: boolean) => void;
  readonly sendLocalResponse: (answer: LocalAnswer) => void;
  /** Forwards the buffered error response. */
  readonly forwardErrorResponse: (request: RequestNumber) => void;
  readonly abortResponse: (request: RequestNumber) => void;
  /** Passes the requests that still wait for admission to the core, which refuses them at the end of a stop. */
  readonly flushQueued: () => Promise<void>;
  /** Closes idle connections now and all others after their next response. */
  readonly drainConnections: () => void;
  /** Sets whether each response closes its connection, so that callers reconnect elsewhere. */
  readonly setCloseAfterResponse: (shouldClose: boolean) => void;
  readonly kill: () => Promise<void>;
}

interface OpenRequest {
  readonly requestId: string;
  readonly head: RequestHead;
  /** Set once the whole body has arrived, if the request has one. */
  body: Uint8Array | undefined;
  readonly hold: ByteHold;
  readonly callerResponse: CallerResponse;
  /** Called with the decision on a head that the core is asked about. */
  onHeadDecided: ((isAccepted: boolean) => void) | undefined;
  errorResponse: BufferedErrorResponse | undefined;
  /** Id of the last event that was forwarded to the caller. */
  lastEventId: EventId | undefined;
}

/** A fully read request that waits for admission. */
interface QueuedRequest {
  readonly facts: RequestFacts;
  readonly res: ServerResponse;
  readonly readAt: Millis;
}

const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
/**
 * Limit of the HTTP parser. A head between the configured limit and this one is parsed, so that it is
 * rejected with a JSON body and logged with a reason.
 */
const MAX_READABLE_HEADER_BYTES = 64 * 1024;
/**
 * Callers abandon a connection that is not accepted within a second, and connections are accepted in
 * order. If the backlog could hold more connections than a small machine accepts in a second, a full
 * backlog would delay every connection until its caller had left.
 */
const LISTEN_BACKLOG = 64;
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: DEFAULT_MAX_BODY_BYTES,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 30_000,
};

/** Response status by the error code of the HTTP parser or server. */
const STATUS_BY_ERROR_CODE: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};
const STATUS_TEXT: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  431: 'Request Header Fields Too Large',
};

/** Creates the server without starting to listen. */
export function createFrontHost(options: FrontHostOptions): FrontHost {
  const { post, protocol, pools, buffers, meter } = options;
  const openRequests = new Map<RequestNumber, OpenRequest>();
  const runningAttempts = new Map<AttemptNumber, RunningAttempt>();
  let limits = DEFAULT_LIMITS;
  const intake = createIntake({ now: options.now, admit });
  let nextRequest: RequestNumber = 1;
  let isClosing = false;
  let closesAfterResponse = false;

  async function receive(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { rawHeaders } = req;
    const head = { method: req.method ?? 'GET', path: req.url ?? '/', rawHeaders };
    if (measureHead(head) > limits.maxHeaderBytes) {
      reject(req, res, 431, 'the headers are too long');
      return;
    }
    const result = protocol.parseRequestHead(head);
    if (result.kind === 'malformed') {
      reject(req, res, 400, result.reason);
      return;
    }
    const { facts } = result;
    const request = open(head, facts, res);
    const read = await readBodyWithin(req, {
      maxBytes: limits.maxBodyBytes,
      mayKeep: async (bytes) => mayKeep(request, head, facts, bytes),
    });
    switch (read.kind) {
      case 'read':
        enqueue(request, facts, read.body, { res, isSentWithBody: hasBody(req) });
        return;
      case 'tooLong':
        removeRequest(request);
        reject(req, res, 413, 'the body is too long', facts.requestId);
        return;
      case 'refused':
        return;
      default:
        Debug.assertNever(read);
    }
  }

  /** Registers a request whose head has arrived. */
  function open(head: RequestHead, facts: RequestHeadFacts, res: ServerResponse): RequestNumber {
    const request = nextRequest;
    nextRequest += 1;
    const { requestId } = facts;
    const callerResponse = createCallerResponse({
      res,
      shouldClose: () => isClosing || closesAfterResponse,
    });
    openRequests.set(request, {
      requestId,
      head,
      body: undefined,
      hold: buffers.open(facts.key ?? ''),
      callerResponse,
      onHeadDecided: undefined,
      errorResponse: undefined,
      lastEventId: undefined,
    });
    res.once('close', () => {
      if (removeRequest(request) !== undefined && !res.writableFinished)
        post({ kind: 'callerGone', request });
    });
    return request;
  }

  /** Whether bytes of a body may be kept. The core decides on long bodies, and if there is no room. */
  async function mayKeep(
    request: RequestNumber,
    { path }: RequestHead,
    facts: RequestHeadFacts,
    bytes: number,
  ): Promise<boolean> {
    const openRequest = openRequests.get(request);
    if (openRequest === undefined) return false;
    const hasRoom = openRequest.hold.set('body', bytes);
    if (hasRoom && bytes <= SHORT_REQUEST_BYTES) return true;
    return new Promise((resolve) => {
      openRequest.onHeadDecided = resolve;
      const room = {
        hasRoom,
        bytes,
        usedBytes: buffers.used(),
        limitBytes: buffers.limitBytes,
      };
      post({ kind: 'headArrived', facts: { ...facts, request, path, fingerprint: 0 }, room });
    });
  }

  /** Passes a request whose body has arrived to the admission queue. */
  function enqueue(
    request: RequestNumber,
    facts: RequestHeadFacts,
    body: Uint8Array,
    { res, isSentWithBody }: { readonly res: ServerResponse; readonly isSentWithBody: boolean },
  ): void {
    const openRequest = openRequests.get(request);
    if (openRequest === undefined) return;
    const { head, hold } = openRequest;
    hold.set('body', body.length);
    openRequest.body = isSentWithBody ? body : undefined;
    const fingerprint = computeFingerprint(head, facts.key, body);
    meter.count('read');
    intake.add(facts.key ?? '', {
      facts: { ...facts, request, path: head.path, fingerprint },
      res,
      readAt: options.now(),
    });
  }

  /** Passes a request to the core; returns false if its caller has disconnected. */
  function admit({ facts, res, readAt }: QueuedRequest): boolean {
    const { request } = facts;
    const isAbandoned = res.socket?.readableEnded === true;
    if (!openRequests.has(request) || isAbandoned) {
      meter.count('dead');
      if (removeRequest(request) !== undefined) res.destroy();
      return false;
    }
    const waitedMs = Math.max(0, options.now() - readAt);
    meter.recordWait(waitedMs);
    post({ kind: 'requestArrived', facts: { ...facts, waitedMs } });
    return true;
  }

  function reject(
    req: IncomingMessage,
    res: ServerResponse,
    status: number,
    reason: string,
    requestId?: string,
  ): void {
    options.onMalformed(status, reason, requestId);
    sendJson(res, status, { status, reason: 'malformed', title: reason }, { connection: 'close' });
    req.resume();
  }

  function send(plan: AttemptPlan): void {
    const { attempt } = plan;
    const request = openRequests.get(plan.request);
    if (request === undefined) {
      const outcome = { kind: 'notSent', reason: 'the caller has disconnected' } as const;
      post({ kind: 'attemptEnded', attempt, outcome });
      return;
    }
    const { requestId, head, body, hold, callerResponse } = request;
    const dispatcher = openPool(plan);
    if (typeof dispatcher === 'string') {
      post({ kind: 'attemptEnded', attempt, outcome: { kind: 'notSent', reason: dispatcher } });
      return;
    }
    runningAttempts.set(
      attempt,
      startAttempt({
        dispatcher,
        plan,
        requestId,
        head,
        body,
        callerResponse,
        hold,
        protocol,
        now: options.now,
        connectionEnd: pools.connectionEnd,
        currentConnection: pools.currentConnection,
        resumeAfter: plan.isResumed ? request.lastEventId : undefined,
        listener: {
          onResponseHead: (status, statements) =>
            post({ kind: 'attemptAnswered', attempt, status, ...statements }),
          onEventForwarded: (id) => {
            request.lastEventId = id;
          },
          onProgress: () => post({ kind: 'attemptProgress', attempt }),
          onEnded: (outcome, errorResponse) => {
            runningAttempts.delete(attempt);
            request.errorResponse = errorResponse;
            if (outcome.kind === 'complete') removeRequest(plan.request);
            else if (errorResponse === undefined) hold.set('answer', 0);
            post({ kind: 'attemptEnded', attempt, outcome });
          },
        },
      }),
    );
  }

  /** Returns the pool of a plan's upstream, or the reason why its address cannot be used. */
  function openPool(plan: AttemptPlan): Dispatcher | string {
    try {
      return pools.getPool(plan);
    } catch (err) {
      return err instanceof Error ? err.message : String(err);
    }
  }

  /** Forgets a request, and gives its memory back. */
  function removeRequest(request: RequestNumber): OpenRequest | undefined {
    const openRequest = openRequests.get(request);
    if (openRequest === undefined) return undefined;
    openRequests.delete(request);
    openRequest.hold.release();
    openRequest.onHeadDecided?.(false);
    return openRequest;
  }

  /**
   * Ends a request with a response. If it cannot be written, the caller gets an error of the instance, as
   * the core does not know the request any more.
   */
  function respond(request: RequestNumber, write: (openRequest: OpenRequest) => void): void {
    const openRequest = removeRequest(request);
    if (openRequest === undefined) return;
    try {
      write(openRequest);
    } catch (err) {
      const { callerResponse, requestId } = openRequest;
      options.onResponseFailed(requestId, err);
      if (callerResponse.hasHead()) callerResponse.abort();
      else
        callerResponse.sendLocalResponse(
          { request, status: 502, reason: 'internalError' },
          protocol,
        );
    }
  }

  const handleRequest = async (req: IncomingMessage, res: ServerResponse) => {
    try {
      await receive(req, res);
    } catch (err) {
      // The caller disconnected while sending its body, so there is no one to respond to.
      options.onMalformed(0, err instanceof Error ? err.message : String(err), undefined);
      res.destroy();
    }
  };
  const server = createHttpServer({
    app: handleRequest,
    host: options.host,
    port: options.port,
    limits: { maxHeaderBytes: MAX_READABLE_HEADER_BYTES },
    backlog: LISTEN_BACKLOG,
    onConnection: () => meter.count('accepted'),
    createMalformedResponse: (errorCode) => {
      const status = STATUS_BY_ERROR_CODE[errorCode] ?? 400;
      options.onMalformed(status, errorCode, undefined);
      return `HTTP/1.1 ${status} ${STATUS_TEXT[status] ?? ''}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
    },
  });

  return {
    listen: server.listen,
    setLimits: (next) => {
      limits = next;
      server.setTimeouts({ headersMs: next.headerTimeoutMs, idleMs: next.idleTimeoutMs });
    },
    send,
    readBody: (request) => openRequests.get(request)?.onHeadDecided?.(true),
    cancel: (attempt) => {
      const run = runningAttempts.get(attempt);
      runningAttempts.delete(attempt);
      run?.cancel();
    },
    cancelIfReplaceable: (attempt, mayResume) => {
      const run = runningAttempts.get(attempt);
      if (run?.isReplaceable(mayResume)) run.cancel();
    },
    sendLocalResponse: (answer) =>
      respond(answer.request, ({ callerResponse }) =>
        callerResponse.sendLocalResponse(answer, protocol),
      ),
    forwardErrorResponse: (request) =>
      respond(request, ({ callerResponse, errorResponse }) => {
        const { head, body } = Debug.assertDefined(errorResponse, 'buffered error response');
        callerResponse.forwardHead(head);
        callerResponse.write(body);
        callerResponse.end();
      }),
    abortResponse: (request) => respond(request, ({ callerResponse }) => callerResponse.abort()),
    setCloseAfterResponse: (shouldClose) => {
      closesAfterResponse = shouldClose;
    },
    flushQueued: async () => {
      const admitted = intake.takeAll().filter(admit);
      await Promise.all(admitted.map(async ({ res }) => untilSent(res)));
    },
    drainConnections: () => {
      isClosing = true;
      server.closeIdle();
    },
    kill: server.kill,
  };
}

/** Resolves once a response has been handed to the system, or its connection is closed. */
async function untilSent(res: ServerResponse): Promise<void> {
  if (res.writableFinished || res.destroyed) return;
  await new Promise<void>((resolve) => {
    res.once('finish', resolve);
    res.once('close', resolve);
  });
}

/** Returns the approximate size of a request head as sent, with its separators. */
function measureHead({ method, path, rawHeaders }: RequestHead): number {
  const separators = 4;
  return rawHeaders.reduce(
    (sum, part) => sum + part.length + separators / 2,
    method.length + path.length + separators,
  );
}

/** Whether a request has a body, including an empty one. */
function hasBody(req: IncomingMessage): boolean {
  const { headers } = req;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Computes a fingerprint of method, path, API key and body. */
function computeFingerprint(head: RequestHead, key: string | undefined, body: Uint8Array): number {
  // CRC-32 is used for the body because it may be large and every request is fingerprinted, even
  // one that is rejected at once.
  return mixHashes(hash32(`${head.method} ${head.path} ${key ?? ''}`), crc32(body));
}
