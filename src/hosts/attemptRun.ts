/**
 * Runs one attempt of a request on an upstream: sends the request, checks that the response belongs
 * to the attempt, forwards it with backpressure and determines the outcome.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { errors, type Dispatcher } from 'undici';
import type { AnswerHead, AttemptOutcome, AttemptPlan, RecordedAnswer } from '../core/types.js';
import { createEventStreamReader, readResponseBodyInfo, type TokenUsage } from './eventStream.js';
import type { ResponseSink, OutgoingRequest } from './types.js';

/**
 * Largest response that is buffered until it is complete, and therefore the largest one that can be
 * recorded as the outcome of a claim.
 */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** Largest body of an error response that is read to determine the outcome. */
const MAX_ERROR_BODY_BYTES = 16 * 1024;
const MS_PER_SECOND = 1_000;

/** Response headers that are not forwarded: hop-by-hop headers and the id of the attempt. */
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
  /** Called when the id in the response body is the id of the attempt. */
  readonly onAttemptIdEchoed?: () => void;
  readonly onProgress: (tokens: number, bytes: number) => void;
  /** Called exactly once. */
  readonly onEnded: (outcome: AttemptOutcome) => void;
}

export interface AttemptRun {
  /** Closes the connection and ends the attempt with the outcome `cancelled`. */
  readonly cancel: () => void;
}

export interface AttemptRunOptions {
  readonly dispatcher: Dispatcher;
  readonly plan: AttemptPlan;
  readonly req: OutgoingRequest;
  readonly sink: ResponseSink;
  readonly listener: AttemptListener;
  /**
   * Whether this upstream puts the attempt id into response bodies. If so, a body with another id
   * belongs to a different attempt.
   */
  readonly echoesAttemptIds?: boolean;
}

/** How the response body is processed. */
type ResponseMode =
  /** Server-sent events: forwarded event by event; complete once the end marker was received. */
  | { readonly kind: 'events'; readonly reader: ReturnType<typeof createEventStreamReader> }
  /** Small body: buffered until it is complete, so that the attempt can be retried if it is cut. */
  | { readonly kind: 'buffered' }
  /** Forwarded as it arrives; complete when the HTTP framing says so. */
  | { readonly kind: 'unbuffered' }
  /** Error response: read to determine the outcome and not forwarded. */
  | { readonly kind: 'error' };

/**
 * Starts an attempt. The outcome is usually reported after this call has returned; only an attempt
 * that cannot be sent may be reported as `notSent` from within the call.
 */
export function startAttemptRun(options: AttemptRunOptions): AttemptRun {
  const { plan, req, sink, listener } = options;
  let controller: Dispatcher.DispatchController | undefined;
  let head: AnswerHead = { status: 0, headers: {} };
  let mode: ResponseMode = { kind: 'error' };
  let bufferedChunks: Uint8Array[] = [];
  let bufferedBytes = 0;
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

  function abortWith(outcome: AttemptOutcome): void {
    end(outcome);
    controller?.abort(new errors.RequestAbortedError());
  }

  function forward(bytes: Uint8Array, tokens: number): void {
    if (bytes.length === 0) return;
    sink.start(head);
    outputTokens += tokens;
    const backpressure = sink.write(bytes);
    listener.onProgress(tokens, bytes.length);
    if (backpressure === undefined) return;
    controller?.pause();
    backpressure.then(
      () => controller?.resume(),
      // The write fails if the caller has disconnected. The caller host reports that to the core,
      // which then cancels the attempt.
      () => controller?.resume(),
    );
  }

  function bufferChunk(chunk: Uint8Array, limit: number): boolean {
    if (bufferedBytes + chunk.length > limit) return false;
    bufferedChunks.push(chunk);
    bufferedBytes += chunk.length;
    return true;
  }

  function readChunk(chunk: Uint8Array): void {
    switch (mode.kind) {
      case 'events': {
        const batch = mode.reader.read(chunk);
        if (batch.isForeign) abortWith({ kind: 'foreign' });
        else forward(batch.bytes, batch.tokens);
        return;
      }
      case 'buffered':
        if (bufferChunk(chunk, MAX_BUFFERED_BYTES)) return;
        mode = { kind: 'unbuffered' };
        forward(Buffer.concat([...bufferedChunks, chunk]), 0);
        bufferedChunks = [];
        return;
      case 'unbuffered':
        forward(chunk, 0);
        return;
      default:
        if (!bufferChunk(chunk, MAX_ERROR_BODY_BYTES))
          abortWith(createErrorOutcome(head, bufferedChunks));
    }
  }

  function completeAttempt(usage: TokenUsage, answer?: RecordedAnswer): void {
    end({
      kind: 'complete',
      status: head.status,
      outputTokens: Math.max(outputTokens, usage.outputTokens ?? 0),
      ...(usage.promptTokens === undefined ? {} : { promptTokens: usage.promptTokens }),
      ...(answer === undefined ? {} : { answer }),
    });
  }

  function endBuffered(): void {
    const body = Buffer.concat(bufferedChunks);
    const { id, ...usage } = plan.kind === 'model' ? readResponseBodyInfo(body) : {};
    if (options.echoesAttemptIds === true && id !== undefined && id !== plan.attemptId) {
      end({ kind: 'foreign' });
      return;
    }
    if (id === plan.attemptId) listener.onAttemptIdEchoed?.();
    sink.start(head);
    if (body.length > 0) forward(body, usage.outputTokens ?? 0);
    const contentType = head.headers['content-type'] ?? 'application/octet-stream';
    completeAttempt(
      usage,
      plan.captureAnswer ? { status: head.status, contentType, body } : undefined,
    );
  }

  function endResponse(): void {
    if (mode.kind === 'error') {
      end(createErrorOutcome(head, bufferedChunks));
    } else if (!isFramed) {
      end({ kind: 'cut', detail: 'The answer has neither a length nor an end mark.' });
    } else if (mode.kind === 'events') {
      const isComplete =
        plan.kind === 'service' ? !mode.reader.hasPartialEvent() : mode.reader.hasEnded();
      if (!isComplete) end({ kind: 'cut', detail: 'The stream ended before its end mark.' });
      else {
        if (mode.reader.responseId() === plan.attemptId) listener.onAttemptIdEchoed?.();
        sink.start(head);
        completeAttempt(mode.reader.usage());
      }
    } else if (mode.kind === 'buffered') {
      endBuffered();
    } else {
      sink.start(head);
      completeAttempt({});
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
        abortWith({ kind: 'notSent', detail: 'The time allowed for sending has passed.' });
        return;
      }
      hasSent = true;
    },
    onResponseStart: (_controller, status, headers) => {
      if (hasEnded || status < 200) return;
      const echoed = headers['x-request-id'];
      if (echoed !== undefined && echoed !== plan.attemptId) {
        abortWith({ kind: 'foreign' });
        return;
      }
      head = { status, headers: selectEndToEndHeaders(headers) };
      mode = selectResponseMode(options, status, headers);
      isFramed = hasFraming(req, status, headers);
      if (mode.kind !== 'error') listener.onStarted();
    },
    onResponseData: (_controller, chunk) => {
      if (hasEnded) return;
      try {
        readChunk(chunk);
      } catch (err) {
        abortWith({ kind: 'cut', detail: getErrorMessage(err) });
      }
    },
    onResponseEnd: () => {
      if (!hasEnded) endResponse();
    },
    onResponseError: (_controller, err) => {
      if (isCancelled) end({ kind: 'cancelled' });
      else end(createFailureOutcome(err, hasSent));
    },
  };
  try {
    options.dispatcher.dispatch(createDispatchOptions(plan, req), handler);
  } catch (err) {
    end({ kind: 'notSent', detail: getErrorMessage(err) });
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

function createDispatchOptions(
  plan: AttemptPlan,
  req: OutgoingRequest,
): Dispatcher.DispatchOptions {
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
    // Prevents undici from pipelining another request behind this one.
    blocking: true,
  };
}

function selectResponseMode(
  { plan, req, echoesAttemptIds }: AttemptRunOptions,
  status: number,
  headers: IncomingHttpHeaders,
): ResponseMode {
  if (status === 429 || status >= 500) return { kind: 'error' };
  const type = headers['content-type'] ?? '';
  if (type.startsWith('text/event-stream')) {
    const expectedId = echoesAttemptIds === true ? plan.attemptId : undefined;
    return { kind: 'events', reader: createEventStreamReader(expectedId) };
  }
  const length = headers['content-length'];
  const isSmall = length !== undefined && Number(length) <= MAX_BUFFERED_BYTES;
  const mustBuffer = plan.kind === 'model' || plan.captureAnswer;
  return isSmall || mustBuffer || req.method === 'HEAD'
    ? { kind: 'buffered' }
    : { kind: 'unbuffered' };
}

/** Whether the HTTP framing marks the end of the response. */
function hasFraming(req: OutgoingRequest, status: number, headers: IncomingHttpHeaders): boolean {
  if (req.method === 'HEAD' || status === 204 || status === 304) return true;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

function selectEndToEndHeaders(headers: IncomingHttpHeaders): Record<string, string> {
  const kept: Record<string, string> = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (value === undefined || DROPPED_HEADERS.has(name)) return;
    kept[name] = Array.isArray(value) ? value.join(', ') : value;
  });
  return kept;
}

function createErrorOutcome(head: AnswerHead, parts: readonly Uint8Array[]): AttemptOutcome {
  const text = Buffer.concat(parts).toString('utf8');
  if (head.status === 429 || (head.status === 503 && reportsNotExecuted(text))) {
    const seconds = Number(head.headers['retry-after']);
    const retryAfterMs = seconds * MS_PER_SECOND;
    const retry = Number.isFinite(seconds) && seconds >= 0 ? { retryAfterMs } : {};
    return { kind: 'declined', status: head.status, ...retry };
  }
  return { kind: 'upstreamError', status: head.status, detail: `status ${head.status}` };
}

function reportsNotExecuted(text: string): boolean {
  try {
    const value = JSON.parse(text) as { readonly executed?: unknown } | null;
    return value?.executed === 'no';
  } catch {
    return false;
  }
}

function createFailureOutcome(err: Error, hasSent: boolean): AttemptOutcome {
  if (!hasSent) return { kind: 'notSent', detail: getErrorMessage(err) };
  const isSilent =
    err instanceof errors.HeadersTimeoutError || err instanceof errors.BodyTimeoutError;
  return isSilent ? { kind: 'silent' } : { kind: 'cut', detail: getErrorMessage(err) };
}

function getErrorMessage(err: unknown): string {
  if (!(err instanceof Error)) return String(err);
  const { code } = err as NodeJS.ErrnoException;
  return code ?? err.message;
}
