/**
 * The callers' port of the routing core: takes requests of any method and body, keeps each until it
 * has its final answer, and runs the attempts that the core orders.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { crc32 } from 'node:zlib';
import type { Millis } from '../../core/clock.js';
import { hash32, mixHashes } from '../../core/hash.js';
import { Debug } from '../../core/debug.js';
import type {
  AttemptNumber,
  AttemptPlan,
  CallerLimits,
  EventId,
  OwnAnswer,
  RequestFacts,
  RequestNumber,
} from '../../routing/types.js';
import { readBody } from '../callerRequest.js';
import { createHttpServer, sendJson } from '../httpServer.js';
import { startAttempt, type HeldAnswer, type RunningAttempt } from './attempt.js';
import { createCallerAnswer, type CallerAnswer } from './callerAnswer.js';
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
  readonly now: () => Millis;
  readonly meter: Pick<LoadMeter, 'count' | 'noteAge'>;
  /** Called with the reason for which a request was not taken. */
  readonly onMalformed: (status: number, reason: string, requestId: string | undefined) => void;
}

export interface FrontHost {
  readonly listen: () => Promise<string>;
  readonly limit: (limits: CallerLimits) => void;
  readonly send: (plan: AttemptPlan) => void;
  readonly cancel: (attempt: AttemptNumber) => void;
  /** Ends an attempt in favour of another one, unless its answer has begun and cannot go on. */
  readonly withdraw: (attempt: AttemptNumber, mayResume: boolean) => void;
  readonly answer: (answer: OwnAnswer) => void;
  /** Passes on the error answer that was held back. */
  readonly passError: (request: RequestNumber) => void;
  readonly cutAnswer: (request: RequestNumber) => void;
  /** Ends idle connections, and each other one with its next answer. */
  readonly closeCallers: () => void;
  /** Sets whether each answer ends its connection, so that the caller's next one goes elsewhere. */
  readonly setMovingCallers: (isMoving: boolean) => void;
  readonly kill: () => Promise<void>;
}

interface HeldRequest {
  readonly requestId: string;
  readonly head: RequestHead;
  readonly body: Uint8Array | undefined;
  readonly answer: CallerAnswer;
  held: HeldAnswer | undefined;
  /** Last event that the caller has. */
  lastEvent: EventId | undefined;
}

/** A request that was read and waits for its decision. */
interface WaitingRequest {
  readonly facts: RequestFacts;
  readonly res: ServerResponse;
  readonly readAt: Millis;
}

const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Heads beyond the configured limit are read up to here, so that they can be refused. */
const MAX_HEADER_BYTES = 64 * 1024;
/**
 * Callers leave a connection that is not accepted within a second, and connections are accepted in
 * order. More of them than a small machine accepts in that time would all be accepted too late.
 */
const MAX_PENDING_CONNECTIONS = 64;
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: DEFAULT_MAX_BODY_BYTES,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 30_000,
};

/** Status by the error code of a connection whose bytes cannot be read. */
const CONNECTION_STATUS: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};
const STATUS_TEXT: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  431: 'Request Header Fields Too Large',
};

/** Creates the port; it does not listen yet. */
export function createFrontHost(options: FrontHostOptions): FrontHost {
  const { post, protocol, pools, meter } = options;
  const open = new Map<RequestNumber, HeldRequest>();
  const running = new Map<AttemptNumber, RunningAttempt>();
  let limits = DEFAULT_LIMITS;
  const intake = createIntake({ now: options.now, decide });
  let nextRequest: RequestNumber = 1;
  let isClosing = false;
  let isMovingCallers = false;

  async function receive(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { rawHeaders } = req;
    const head = { method: req.method ?? 'GET', path: req.url ?? '/', rawHeaders };
    if (headBytes(head) > limits.maxHeaderBytes) {
      reject(req, res, 431, 'the headers are too long');
      return;
    }
    const result = protocol.parseRequestHead(head);
    if (result.kind === 'malformed') {
      reject(req, res, 400, result.reason);
      return;
    }
    const body = await readBody(req, limits.maxBodyBytes);
    if (body === undefined) {
      reject(req, res, 413, 'the body is too long', result.facts.requestId);
      return;
    }
    take(head, result.facts, body, res, hasBody(req));
  }

  function take(
    head: RequestHead,
    facts: RequestHeadFacts,
    body: Uint8Array,
    res: ServerResponse,
    isSentWithBody: boolean,
  ): void {
    const request = nextRequest;
    nextRequest += 1;
    const { requestId } = facts;
    const answer = createCallerAnswer({ res, isLast: () => isClosing || isMovingCallers });
    open.set(request, {
      requestId,
      head,
      body: isSentWithBody ? body : undefined,
      answer,
      held: undefined,
      lastEvent: undefined,
    });
    res.once('close', () => {
      if (open.delete(request) && !res.writableFinished) post({ kind: 'callerGone', request });
    });
    const fingerprint = fingerprintOf(head, facts.key, body);
    meter.count('read');
    intake.add(facts.key ?? '', {
      facts: { ...facts, request, path: head.path, fingerprint },
      res,
      readAt: options.now(),
    });
  }

  /** Gives a request to the core; false if its caller has left. */
  function decide({ facts, res, readAt }: WaitingRequest): boolean {
    const { request } = facts;
    const isAbandoned = res.socket?.readableEnded === true;
    if (!open.has(request) || isAbandoned) {
      meter.count('dead');
      if (open.delete(request)) res.destroy();
      return false;
    }
    const waitedMs = Math.max(0, options.now() - readAt);
    meter.noteAge(waitedMs);
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
    const request = open.get(plan.request);
    if (request === undefined) {
      const outcome = { kind: 'notSent', reason: 'the caller is gone' } as const;
      post({ kind: 'attemptEnded', attempt, outcome });
      return;
    }
    const { requestId, head, body, answer } = request;
    running.set(
      attempt,
      startAttempt({
        dispatcher: pools.poolOf(plan),
        plan,
        requestId,
        head,
        body,
        answer,
        protocol,
        now: options.now,
        connectionEnd: pools.connectionEnd,
        resumeAfter: plan.isResumed ? request.lastEvent : undefined,
        listener: {
          onAnswered: (status) => post({ kind: 'attemptAnswered', attempt, status }),
          onEvent: (id) => {
            request.lastEvent = id;
          },
          onProgress: () => post({ kind: 'attemptProgress', attempt }),
          onEnded: (outcome, held) => {
            running.delete(attempt);
            request.held = held;
            if (outcome.kind === 'complete') open.delete(plan.request);
            post({ kind: 'attemptEnded', attempt, outcome });
          },
        },
      }),
    );
  }

  function settle(request: RequestNumber): HeldRequest | undefined {
    const held = open.get(request);
    open.delete(request);
    return held;
  }

  const app = async (req: IncomingMessage, res: ServerResponse) => {
    try {
      await receive(req, res);
    } catch (err) {
      // A caller that leaves while it sends its body has no answer to wait for.
      options.onMalformed(0, err instanceof Error ? err.message : String(err), undefined);
      res.destroy();
    }
  };
  const server = createHttpServer({
    app,
    host: options.host,
    port: options.port,
    limits: { maxHeaderBytes: MAX_HEADER_BYTES },
    backlog: MAX_PENDING_CONNECTIONS,
    onConnection: () => meter.count('accepted'),
    malformedAnswer: (errorCode) => {
      const status = CONNECTION_STATUS[errorCode] ?? 400;
      options.onMalformed(status, errorCode, undefined);
      return `HTTP/1.1 ${status} ${STATUS_TEXT[status] ?? ''}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
    },
  });

  return {
    listen: server.listen,
    limit: (next) => {
      limits = next;
      server.setTimeouts({ headersMs: next.headerTimeoutMs, idleMs: next.idleTimeoutMs });
    },
    send,
    cancel: (attempt) => {
      const run = running.get(attempt);
      running.delete(attempt);
      run?.cancel();
    },
    withdraw: (attempt, mayResume) => {
      const run = running.get(attempt);
      if (run?.isWithdrawable(mayResume)) run.cancel();
    },
    answer: (answer) => settle(answer.request)?.answer.sendOwn(answer, protocol),
    passError: (request) => {
      const settled = settle(request);
      if (settled === undefined) return;
      const { head, body } = Debug.assertDefined(settled.held, 'held answer');
      settled.answer.start(head);
      settled.answer.write(body);
      settled.answer.finish();
    },
    cutAnswer: (request) => settle(request)?.answer.cut(),
    setMovingCallers: (isMoving) => {
      isMovingCallers = isMoving;
    },
    closeCallers: () => {
      isClosing = true;
      server.closeIdle();
    },
    kill: server.kill,
  };
}

function headBytes({ method, path, rawHeaders }: RequestHead): number {
  const separators = 4;
  return rawHeaders.reduce(
    (sum, part) => sum + part.length + separators / 2,
    method.length + path.length + separators,
  );
}

/** Whether a request was sent with a body, be it empty. */
function hasBody(req: IncomingMessage): boolean {
  const { headers } = req;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Tells requests apart by caller, method, path and body. */
function fingerprintOf(head: RequestHead, key: string | undefined, body: Uint8Array): number {
  // Bodies are long, and each request has to be told apart, also those that are refused at once.
  return mixHashes(hash32(`${head.method} ${head.path} ${key ?? ''}`), crc32(body));
}
