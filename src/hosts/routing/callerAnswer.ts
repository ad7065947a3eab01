/** The caller's side of one answer: passed on unchanged, with back-pressure, or cut. */
import type { ServerResponse } from 'node:http';
import type { OwnAnswer } from '../../routing/types.js';
import { routingEvents } from '../../routing/eventTable.js';
import { endToEndHeaders } from './headers.js';
import type { RawHeaders, RequestProtocol } from './types.js';

/** Head of an upstream's answer. */
export interface UpstreamHead {
  readonly status: number;
  readonly statusMessage: string;
  readonly rawHeaders: RawHeaders;
}

export interface CallerAnswer {
  /** Passes the head on, unless an earlier attempt has. */
  readonly start: (head: UpstreamHead) => void;
  /** Passes bytes on; true if the caller can take more now. */
  readonly write: (bytes: Uint8Array) => boolean;
  /** Calls `action` once the caller can take more, or is gone. */
  readonly whenDrained: (action: () => void) => void;
  readonly finish: () => void;
  /** Closes the connection, so that no caller takes a part for a whole answer. */
  readonly cut: () => void;
  readonly sendOwn: (answer: OwnAnswer, protocol: RequestProtocol) => void;
}

export interface CallerAnswerOptions {
  readonly res: ServerResponse;
  /** Whether the connection is to be closed after the answer. */
  readonly isLast: () => boolean;
}

export function createCallerAnswer({ res, isLast }: CallerAnswerOptions): CallerAnswer {
  const closing = () => (isLast() ? ['Connection', 'close'] : []);

  function start({ status, statusMessage, rawHeaders }: UpstreamHead): void {
    if (res.headersSent || res.destroyed) return;
    res.sendDate = false;
    res.writeHead(status, statusMessage, [...endToEndHeaders(rawHeaders), ...closing()]);
    res.flushHeaders();
  }

  return {
    start,
    write: (bytes) => res.destroyed || res.write(bytes),
    whenDrained: (action) => {
      function settle(): void {
        res.removeListener('drain', settle);
        res.removeListener('close', settle);
        action();
      }
      res.once('drain', settle);
      res.once('close', settle);
    },
    finish: () => {
      if (!res.destroyed) res.end();
    },
    cut: () => {
      if (res.headersSent) res.destroy();
      else res.socket?.destroy();
    },
    sendOwn: (answer, protocol) => {
      if (res.headersSent || res.destroyed) return;
      const { status, reason } = answer;
      const { number, text } = routingEvents[reason];
      // Text goes out in one write with the head; bytes would need another one.
      const body = `${JSON.stringify({ status, code: number, reason, title: text })}\n`;
      res.writeHead(status, {
        'content-type': 'application/problem+json',
        'content-length': String(Buffer.byteLength(body)),
        ...protocol.localResponseHeaders(answer),
        ...(isLast() ? { connection: 'close' } : {}),
      });
      res.end(body);
    },
  };
}
