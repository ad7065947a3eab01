/** Writes one response to a caller: status and headers, body with backpressure, and completion. */
import type { ServerResponse } from 'node:http';
import type { Millis } from '../core/clock.js';
import type { AnswerHead, Problem, RecordedAnswer } from '../core/types.js';
import { sendJson } from './httpServer.js';
import { createProblemBody, createProblemHeaders } from './problem.js';
import type { ResponseSink } from './types.js';

const EVENT_STREAM_TYPE = 'text/event-stream';

/** The response sink of one request, with the ways in which the response can be completed. */
export interface CallerResponse extends ResponseSink {
  readonly finish: () => void;
  readonly replay: (answer: RecordedAnswer) => void;
  /**
   * Reports a failure to the caller: as a problem document if nothing was sent yet, otherwise by
   * closing the connection before the body is complete, after an error event in an event stream.
   */
  readonly fail: (problem: Problem) => void;
}

export interface CallerResponseOptions {
  readonly res: ServerResponse;
  /** Headers added to every response. */
  readonly headers: Readonly<Record<string, string>>;
  /** Time after which a caller that does not read its response is disconnected. */
  readonly stallTimeoutMs: Millis;
}

export function createCallerResponse(options: CallerResponseOptions): CallerResponse {
  const { res, headers, stallTimeoutMs } = options;
  let isEventStream = false;

  function start(head: AnswerHead): void {
    if (res.headersSent || res.destroyed) return;
    isEventStream = head.headers['content-type']?.startsWith(EVENT_STREAM_TYPE) === true;
    res.writeHead(head.status, { ...head.headers, ...headers });
  }

  function write(chunk: Uint8Array): Promise<void> | undefined {
    if (res.destroyed) return Promise.reject(new Error('The caller has disconnected.'));
    return res.write(chunk) ? undefined : waitForDrain(res, stallTimeoutMs);
  }

  /** Closes the connection after all written data has been sent. */
  function closeConnection(): void {
    res.socket?.destroySoon();
  }

  function fail(problem: Problem): void {
    if (res.destroyed || res.writableEnded) return;
    const body = createProblemBody(problem);
    if (!res.headersSent) {
      sendJson(res, problem.status, body, { ...createProblemHeaders(problem), ...headers });
      return;
    }
    // Status and headers are already sent. Closing without the terminating chunk lets every caller
    // see that the response is incomplete.
    if (isEventStream)
      res.write(`event: error\ndata: ${JSON.stringify(body)}\n\n`, closeConnection);
    else closeConnection();
  }

  return {
    start,
    write,
    fail,
    finish: () => {
      res.end();
    },
    replay: (answer) => {
      start({
        status: answer.status,
        headers: {
          'content-type': answer.contentType,
          'content-length': String(answer.body.length),
        },
      });
      res.end(answer.body);
    },
  };
}

/**
 * Resolves when the caller can receive more; rejects if it has disconnected. Destroys the response
 * if nothing could be sent within `stallTimeoutMs`.
 */
async function waitForDrain(res: ServerResponse, stallTimeoutMs: Millis): Promise<void> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => res.destroy(), stallTimeoutMs);
    function settle(): void {
      clearTimeout(timer);
      res.removeListener('drain', settle);
      res.removeListener('close', settle);
      if (res.destroyed) reject(new Error('The caller has disconnected.'));
      else resolve();
    }
    res.once('drain', settle);
    res.once('close', settle);
  });
}
