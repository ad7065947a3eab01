/** The caller's side of one answer: its head, its parts with back-pressure, and its end. */
import type { ServerResponse } from 'node:http';
import type { Millis } from '../core/clock.js';
import type { AnswerHead, Problem, RecordedAnswer } from '../core/types.js';
import { sendJson } from './httpServer.js';
import { problemBody, problemHeaders } from './problem.js';
import type { AnswerSink } from './types.js';

const EVENT_STREAM = 'text/event-stream';

/** The sink of one request, and the ends that an answer can have. */
export interface CallerAnswer extends AnswerSink {
  readonly finish: () => void;
  readonly replay: (answer: RecordedAnswer) => void;
  /** Ends the answer as failed, whatever has been sent of it. */
  readonly fail: (problem: Problem) => void;
}

export interface CallerAnswerOptions {
  readonly res: ServerResponse;
  /** Headers that every answer carries. */
  readonly headers: Readonly<Record<string, string>>;
  /** Time after which a caller that reads nothing is taken for gone. */
  readonly stallTimeoutMs: Millis;
}

export function createCallerAnswer(options: CallerAnswerOptions): CallerAnswer {
  const { res, headers, stallTimeoutMs } = options;
  let isEventStream = false;

  function start(head: AnswerHead): void {
    if (res.headersSent || res.destroyed) return;
    isEventStream = head.headers['content-type']?.startsWith(EVENT_STREAM) === true;
    res.writeHead(head.status, { ...head.headers, ...headers });
  }

  function write(chunk: Uint8Array): Promise<void> | undefined {
    if (res.destroyed) return Promise.reject(new Error('The caller is gone.'));
    return res.write(chunk) ? undefined : drained(res, stallTimeoutMs);
  }

  /** Ends the connection once what was written has left. */
  function closeConnection(): void {
    res.socket?.destroySoon();
  }

  function fail(problem: Problem): void {
    if (res.destroyed || res.writableEnded) return;
    const body = problemBody(problem);
    if (!res.headersSent) {
      sendJson(res, problem.status, body, { ...problemHeaders(problem), ...headers });
      return;
    }
    // Without the end of the chunked body no caller can take a failed answer for a whole one.
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

/** Resolves when the caller can take more; rejects when it is gone. */
async function drained(res: ServerResponse, stallTimeoutMs: Millis): Promise<void> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => res.destroy(), stallTimeoutMs);
    function settle(): void {
      clearTimeout(timer);
      res.removeListener('drain', settle);
      res.removeListener('close', settle);
      if (res.destroyed) reject(new Error('The caller is gone.'));
      else resolve();
    }
    res.once('drain', settle);
    res.once('close', settle);
  });
}
