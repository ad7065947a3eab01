/**
 * One attempt at an upstream: sends the request unchanged, checks that the answer belongs to it, and
 * passes the answer on as it comes. Answers with an error status are held back, so that the core can
 * decide whether the caller gets them.
 */
import { errors, type Dispatcher } from 'undici';
import type { Millis } from '../../core/clock.js';
import { FIRST_ERROR_STATUS, NOT_RUN_STATUSES } from '../../routing/attempts/statuses.js';
import type { AttemptOutcome, AttemptPlan, EventId } from '../../routing/types.js';
import type { CallerAnswer, UpstreamHead } from './callerAnswer.js';
import { createEventCutter } from './eventCutter.js';
import { headerValue } from './headers.js';
import type { ConnectionEnd } from './upstreamPools.js';
import type { ResponseFacts, RawHeaders, RequestHead, RequestProtocol } from './types.js';

const NOTHING = new Uint8Array(0);
/** Largest error answer that is held back. */
const MAX_HELD_BYTES = 4 * 1024 * 1024;
/** Shortest time between two reports of progress. */
const PROGRESS_INTERVAL_MS: Millis = 80;
const FIRST_FINAL_STATUS = 200;

/** A whole error answer of an upstream. */
export interface HeldAnswer {
  readonly head: UpstreamHead;
  readonly body: Uint8Array;
}

export interface AttemptListener {
  readonly onAnswered: (status: number) => void;
  readonly onProgress: () => void;
  /** Whole events up to this one were passed on. */
  readonly onEvent: (id: EventId) => void;
  /** Called once. */
  readonly onEnded: (outcome: AttemptOutcome, held: HeldAnswer | undefined) => void;
}

export interface AttemptOptions {
  readonly dispatcher: Dispatcher;
  readonly plan: AttemptPlan;
  readonly requestId: string;
  readonly head: RequestHead;
  readonly body: Uint8Array | undefined;
  readonly answer: CallerAnswer;
  readonly protocol: RequestProtocol;
  readonly listener: AttemptListener;
  readonly now: () => Millis;
  /** How a connection is ending at this moment. */
  readonly connectionEnd: () => ConnectionEnd;
  /** Last event that the caller has of an answer that goes on. */
  readonly resumeAfter?: EventId | undefined;
}

export interface RunningAttempt {
  /** Ends the attempt and its connection. */
  readonly cancel: () => void;
  /** Whether another attempt may take its place. */
  readonly isWithdrawable: (mayResume: boolean) => boolean;
}

/** Starts an attempt. The outcome is reported later, never from within this call. */
export function startAttempt(options: AttemptOptions): RunningAttempt {
  const { plan, answer, protocol, listener } = options;
  const cutter = plan.mode === 'resumableStream' ? createEventCutter() : undefined;
  let controller: Dispatcher.DispatchController | undefined;
  let head: UpstreamHead | undefined;
  let facts: ResponseFacts | undefined;
  let held: Uint8Array[] = [];
  let heldBytes = 0;
  let hasSent = false;
  let hasEnded = false;
  let isCancelled = false;
  let reportedAt = -Infinity;

  function end(outcome: AttemptOutcome, heldAnswer?: HeldAnswer): void {
    if (hasEnded) return;
    hasEnded = true;
    listener.onEnded(outcome, heldAnswer);
  }

  function abortAs(outcome: AttemptOutcome): void {
    end(outcome);
    controller?.abort(new errors.RequestAbortedError());
  }

  function pass(bytes: Uint8Array): void {
    if (bytes.length === 0) return;
    const canTakeMore = answer.write(bytes);
    const now = options.now();
    if (now - reportedAt >= PROGRESS_INTERVAL_MS) {
      reportedAt = now;
      listener.onProgress();
    }
    if (canTakeMore) return;
    controller?.pause();
    answer.whenDrained(() => controller?.resume());
  }

  function hold(chunk: Uint8Array): void {
    heldBytes += chunk.length;
    if (heldBytes > MAX_HELD_BYTES)
      abortAs({ kind: 'cut', reason: 'The error answer is too long.' });
    else held.push(chunk);
  }

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: (started) => {
      controller = started;
      if (isCancelled) {
        started.abort(new errors.RequestAbortedError());
        return;
      }
      hasSent = true;
    },
    onResponseStart: (_controller, status, _headers, statusMessage) => {
      if (hasEnded || status < FIRST_FINAL_STATUS) return;
      const rawHeaders = textHeaders(_controller.rawHeaders);
      facts = protocol.parseResponseHead(rawHeaders);
      if (!belongsTo(options.requestId, status, facts)) {
        abortAs({ kind: 'foreign' });
        return;
      }
      head = { status, statusMessage: statusMessage ?? '', rawHeaders };
      listener.onAnswered(status);
      if (status < FIRST_ERROR_STATUS) answer.start(head);
    },
    onResponseData: (_controller, chunk) => {
      if (hasEnded || head === undefined) return;
      if (head.status >= FIRST_ERROR_STATUS) hold(chunk);
      else passChunk(chunk);
    },
    onResponseEnd: () => {
      if (hasEnded || head === undefined || facts === undefined) return;
      if (!isWhole(head, options.connectionEnd())) {
        end({ kind: 'cut', reason: 'The connection ended before the answer.' });
        return;
      }
      if (head.status < FIRST_ERROR_STATUS) {
        pass(cutter?.rest() ?? NOTHING);
        answer.finish();
        end({ kind: 'complete', status: head.status });
      } else {
        const whole = { head, body: Buffer.concat(held) };
        held = [];
        end(errorOutcome(head.status, facts), whole);
      }
    },
    onResponseError: (_controller, err) => {
      if (isCancelled) end({ kind: 'cancelled' });
      else if (!hasSent) end({ kind: 'notSent', reason: messageOf(err) });
      else end({ kind: 'cut', reason: messageOf(err) });
    },
  };

  function passChunk(chunk: Uint8Array): void {
    try {
      if (cutter === undefined) {
        pass(chunk);
        return;
      }
      pass(cutter.take(chunk));
      const id = cutter.lastId();
      if (id !== undefined) listener.onEvent(id);
    } catch (err) {
      abortAs({ kind: 'cut', reason: messageOf(err) });
    }
  }

  try {
    options.dispatcher.dispatch(dispatchOptions(options), handler);
  } catch (err) {
    // Never from within this call.
    queueMicrotask(() => end({ kind: 'notSent', reason: messageOf(err) }));
  }
  return {
    isWithdrawable: (mayResume) =>
      head === undefined || (mayResume && cutter?.lastId() !== undefined),
    cancel: () => {
      isCancelled = true;
      controller?.abort(new errors.RequestAbortedError());
      end({ kind: 'cancelled' });
    },
  };
}

function dispatchOptions(options: AttemptOptions): Dispatcher.DispatchOptions {
  const { plan, head, body, protocol, resumeAfter } = options;
  return {
    path: head.path,
    method: head.method,
    headers: [...protocol.upstreamHeaders(head, plan, resumeAfter)],
    body: body ?? null,
    // The core watches over time limits.
    headersTimeout: 0,
    bodyTimeout: 0,
  };
}

/** Whether an answer is the one to a request. */
function belongsTo(requestId: string, status: number, facts: ResponseFacts): boolean {
  if (facts.requestId !== undefined && facts.requestId !== requestId) return false;
  if (status >= FIRST_ERROR_STATUS) return true;
  return facts.requestId === requestId && facts.isGenuine;
}

/** Whether the end of an answer is the one that its framing announces. */
function isWhole({ rawHeaders }: UpstreamHead, connectionEnd: ConnectionEnd): boolean {
  if (connectionEnd === 'none') return true;
  const isFramed =
    headerValue(rawHeaders, 'content-length') !== undefined ||
    headerValue(rawHeaders, 'transfer-encoding') !== undefined;
  return connectionEnd === 'closed' && !isFramed;
}

function errorOutcome(status: number, facts: ResponseFacts): AttemptOutcome {
  if (facts.isNotExecuted) return { kind: 'declined', status };
  const isRequestAtFault = status < 500 && !NOT_RUN_STATUSES.has(status);
  return { kind: isRequestAtFault ? 'rejected' : 'failed', status };
}

/** Raw headers of an answer as text. */
function textHeaders(raw: Dispatcher.DispatchController['rawHeaders'] | undefined): RawHeaders {
  if (!Array.isArray(raw)) return [];
  return raw.map((part) => (typeof part === 'string' ? part : part.toString('latin1')));
}

function messageOf(err: unknown): string {
  if (!(err instanceof Error)) return String(err);
  const { code } = err as NodeJS.ErrnoException;
  return code ?? err.message;
}
