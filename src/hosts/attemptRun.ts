/**
 * One attempt on an upstream: sends the request, checks that the reply belongs to the attempt,
 * passes the answer on with back-pressure and finds out how it ended.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { errors, type Dispatcher } from 'undici';
import type { AnswerHead, AttemptOutcome, AttemptPlan, RecordedAnswer } from '../core/types.js';
import { createEventStreamReader, readBodyFacts, type TokenUsage } from './eventStream.js';
import type { AnswerSink, OutgoingRequest } from './types.js';

/** Largest answer that is held until it is whole, and largest one kept for a claim's outcome. */
const MAX_HELD_BYTES = 1024 * 1024;
/** Bytes of an error answer that are read for its detail. */
const MAX_ERROR_BYTES = 16 * 1024;
const MS_PER_SECOND = 1_000;

/** Response headers that end at this hop. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'x-request-id',
]);

export interface AttemptListener {
  readonly onStarted: () => void;
  /** The answer's body named the attempt by its id. */
  readonly onNamed?: () => void;
  readonly onProgress: (tokens: number, bytes: number) => void;
  /** Called once. */
  readonly onEnded: (outcome: AttemptOutcome) => void;
}

export interface AttemptRun {
  /** Ends the attempt and its connection as `cancelled`. */
  readonly cancel: () => void;
}

export interface AttemptRunOptions {
  readonly dispatcher: Dispatcher;
  readonly plan: AttemptPlan;
  readonly req: OutgoingRequest;
  readonly sink: AnswerSink;
  readonly listener: AttemptListener;
  /** Whether bodies of this upstream name their attempt, so that another name is foreign. */
  readonly namesAttempts?: boolean;
}

/** How the parts of an answer are treated. */
type AnswerMode =
  /** Server-sent events: passed on event by event; the end mark decides. */
  | { readonly kind: 'events'; readonly reader: ReturnType<typeof createEventStreamReader> }
  /** Small body: held until it is whole, so that a broken one can be tried again. */
  | { readonly kind: 'held' }
  /** Passed on as it comes; the HTTP framing decides. */
  | { readonly kind: 'plain' }
  /** Not for the caller. */
  | { readonly kind: 'error' };

/** Starts an attempt. The outcome is reported later, never from within this call. */
export function startAttemptRun(options: AttemptRunOptions): AttemptRun {
  const { plan, req, sink, listener } = options;
  let controller: Dispatcher.DispatchController | undefined;
  let head: AnswerHead = { status: 0, headers: {} };
  let mode: AnswerMode = { kind: 'error' };
  let kept: Uint8Array[] = [];
  let keptBytes = 0;
  let isFramed = true;
  let outputTokens = 0;
  let hasSent = false;
  let isCancelled = false;
  let hasEnded = false;

  function end(outcome: AttemptOutcome): void {
    if (hasEnded) return;
    hasEnded = true;
    listener.onEnded(outcome);
  }

  function abortAs(outcome: AttemptOutcome): void {
    end(outcome);
    controller?.abort(new errors.RequestAbortedError());
  }

  function pass(bytes: Uint8Array, tokens: number): void {
    if (bytes.length === 0) return;
    sink.start(head);
    outputTokens += tokens;
    const blocked = sink.write(bytes);
    listener.onProgress(tokens, bytes.length);
    if (blocked === undefined) return;
    controller?.pause();
    blocked.then(
      () => controller?.resume(),
      // The caller host reports the departure of the caller; the core then cancels.
      () => controller?.resume(),
    );
  }

  function keep(chunk: Uint8Array, limit: number): boolean {
    if (keptBytes + chunk.length > limit) return false;
    kept.push(chunk);
    keptBytes += chunk.length;
    return true;
  }

  function readChunk(chunk: Uint8Array): void {
    switch (mode.kind) {
      case 'events': {
        const batch = mode.reader.read(chunk);
        if (batch.isForeign) abortAs({ kind: 'foreign' });
        else pass(batch.bytes, batch.tokens);
        return;
      }
      case 'held':
        if (keep(chunk, MAX_HELD_BYTES)) return;
        mode = { kind: 'plain' };
        pass(Buffer.concat([...kept, chunk]), 0);
        kept = [];
        return;
      case 'plain':
        pass(chunk, 0);
        return;
      default:
        if (!keep(chunk, MAX_ERROR_BYTES)) abortAs(errorOutcome(head, kept));
    }
  }

  function endComplete(usage: TokenUsage, answer?: RecordedAnswer): void {
    end({
      kind: 'complete',
      status: head.status,
      outputTokens: Math.max(outputTokens, usage.outputTokens ?? 0),
      ...(usage.promptTokens === undefined ? {} : { promptTokens: usage.promptTokens }),
      ...(answer === undefined ? {} : { answer }),
    });
  }

  function endHeld(): void {
    const body = Buffer.concat(kept);
    const { id, ...usage } = plan.kind === 'model' ? readBodyFacts(body) : {};
    if (options.namesAttempts === true && id !== undefined && id !== plan.attemptId) {
      end({ kind: 'foreign' });
      return;
    }
    if (id === plan.attemptId) listener.onNamed?.();
    sink.start(head);
    if (body.length > 0) pass(body, usage.outputTokens ?? 0);
    const contentType = head.headers['content-type'] ?? 'application/octet-stream';
    endComplete(usage, plan.captureAnswer ? { status: head.status, contentType, body } : undefined);
  }

  function endAnswer(): void {
    if (mode.kind === 'error') {
      end(errorOutcome(head, kept));
    } else if (!isFramed) {
      end({ kind: 'cut', detail: 'The answer has neither a length nor an end mark.' });
    } else if (mode.kind === 'events') {
      const isWhole = plan.kind === 'service' ? !mode.reader.hasRest() : mode.reader.hasEnded();
      if (!isWhole) end({ kind: 'cut', detail: 'The stream ended before its end mark.' });
      else {
        if (mode.reader.answerId() === plan.attemptId) listener.onNamed?.();
        sink.start(head);
        endComplete(mode.reader.usage());
      }
    } else if (mode.kind === 'held') {
      endHeld();
    } else {
      sink.start(head);
      endComplete({});
    }
  }

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: (started) => {
      controller = started;
      if (isCancelled) {
        started.abort(new errors.RequestAbortedError());
        return;
      }
      if (
        plan.sendBefore !== undefined &&
        performance.timeOrigin + performance.now() >= plan.sendBefore
      ) {
        abortAs({ kind: 'notSent', detail: 'The time allowed for sending has passed.' });
        return;
      }
      hasSent = true;
    },
    onResponseStart: (_controller, status, headers) => {
      if (hasEnded || status < 200) return;
      const echoed = headers['x-request-id'];
      if (echoed !== undefined && echoed !== plan.attemptId) {
        abortAs({ kind: 'foreign' });
        return;
      }
      head = { status, headers: endToEndHeaders(headers) };
      mode = modeOf(options, status, headers);
      isFramed = hasFraming(req, status, headers);
      if (mode.kind !== 'error') listener.onStarted();
    },
    onResponseData: (_controller, chunk) => {
      if (hasEnded) return;
      try {
        readChunk(chunk);
      } catch (err) {
        abortAs({ kind: 'cut', detail: messageOf(err) });
      }
    },
    onResponseEnd: () => {
      if (!hasEnded) endAnswer();
    },
    onResponseError: (_controller, err) => {
      if (isCancelled) end({ kind: 'cancelled' });
      else end(failureOutcome(err, hasSent));
    },
  };
  try {
    options.dispatcher.dispatch(dispatchOptions(plan, req), handler);
  } catch (err) {
    end({ kind: 'notSent', detail: messageOf(err) });
  }
  return {
    cancel: () => {
      if (hasEnded) return;
      isCancelled = true;
      controller?.abort(new errors.RequestAbortedError());
      end({ kind: 'cancelled' });
    },
  };
}

function dispatchOptions(plan: AttemptPlan, req: OutgoingRequest): Dispatcher.DispatchOptions {
  const resume = plan.resumeFromToken > 0 ? { 'x-resume-from': String(plan.resumeFromToken) } : {};
  const hasBody = req.body.length > 0 || !['GET', 'HEAD'].includes(req.method);
  return {
    origin: plan.url,
    path: req.path,
    method: req.method,
    headers: { ...req.headers, 'x-request-id': plan.attemptId, ...resume },
    body: hasBody ? req.body : null,
    headersTimeout: plan.firstByteTimeoutMs,
    bodyTimeout: plan.idleTimeoutMs,
    // The connection's next answer may not wait for this one.
    blocking: true,
  };
}

function modeOf(
  { plan, req, namesAttempts }: AttemptRunOptions,
  status: number,
  headers: IncomingHttpHeaders,
): AnswerMode {
  if (status === 429 || status >= 500) return { kind: 'error' };
  const type = headers['content-type'] ?? '';
  if (type.startsWith('text/event-stream')) {
    const expectedId = namesAttempts === true ? plan.attemptId : undefined;
    return { kind: 'events', reader: createEventStreamReader(expectedId) };
  }
  const length = headers['content-length'];
  const isSmall = length !== undefined && Number(length) <= MAX_HELD_BYTES;
  const isWholeJson = plan.kind === 'model' || plan.captureAnswer;
  return isSmall || isWholeJson || req.method === 'HEAD' ? { kind: 'held' } : { kind: 'plain' };
}

/** Whether the HTTP framing tells where the answer ends. */
function hasFraming(req: OutgoingRequest, status: number, headers: IncomingHttpHeaders): boolean {
  if (req.method === 'HEAD' || status === 204 || status === 304) return true;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

function endToEndHeaders(headers: IncomingHttpHeaders): Record<string, string> {
  const kept: Record<string, string> = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (value === undefined || DROPPED_HEADERS.has(name)) return;
    kept[name] = Array.isArray(value) ? value.join(', ') : value;
  });
  return kept;
}

function errorOutcome(head: AnswerHead, parts: readonly Uint8Array[]): AttemptOutcome {
  const text = Buffer.concat(parts).toString('utf8');
  if (head.status === 429 || (head.status === 503 && saysNotExecuted(text))) {
    const seconds = Number(head.headers['retry-after']);
    const retryAfterMs = seconds * MS_PER_SECOND;
    const retry = Number.isFinite(seconds) && seconds >= 0 ? { retryAfterMs } : {};
    return { kind: 'declined', status: head.status, ...retry };
  }
  return { kind: 'upstreamError', status: head.status, detail: `status ${head.status}` };
}

function saysNotExecuted(text: string): boolean {
  try {
    const value = JSON.parse(text) as { readonly executed?: unknown } | null;
    return value?.executed === 'no';
  } catch {
    return false;
  }
}

function failureOutcome(err: Error, hasSent: boolean): AttemptOutcome {
  if (!hasSent) return { kind: 'notSent', detail: messageOf(err) };
  const isSilent =
    err instanceof errors.HeadersTimeoutError || err instanceof errors.BodyTimeoutError;
  return isSilent ? { kind: 'silent' } : { kind: 'cut', detail: messageOf(err) };
}

function messageOf(err: unknown): string {
  if (!(err instanceof Error)) return String(err);
  const { code } = err as NodeJS.ErrnoException;
  return code ?? err.message;
}
