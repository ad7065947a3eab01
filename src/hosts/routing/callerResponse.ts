/** Writes one response to a caller, with backpressure: forwards, generates or aborts it. */
import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { LocalAnswer } from '../../routing/types.js';
import { routingEvents } from '../../routing/eventTable.js';
import { endToEndHeaders } from './headers.js';
import type { RawHeaders, RequestProtocol } from './types.js';

/** Status and headers of an upstream's response. Its reason phrase means nothing and is not kept. */
export interface UpstreamResponseHead {
  readonly status: number;
  readonly rawHeaders: RawHeaders;
}

export interface CallerResponse {
  /** Writes the response head, unless an earlier attempt already has. */
  readonly forwardHead: (head: UpstreamResponseHead) => void;
  /** Writes body bytes; returns false while the write buffer is full. */
  readonly write: (bytes: Uint8Array) => boolean;
  /** Calls `action` once the response is writable again or its connection has closed. */
  readonly onceWritable: (action: () => void) => void;
  readonly end: () => void;
  /** Closes the connection, so that the caller cannot mistake a partial response for a complete one. */
  readonly abort: () => void;
  /** Sends a response that the instance generates itself. */
  readonly sendLocalResponse: (answer: LocalAnswer, protocol: RequestProtocol) => void;
  /** Whether the response head has been written. */
  readonly hasHead: () => boolean;
}

export interface CallerResponseOptions {
  readonly res: ServerResponse;
  /** Whether the connection must be closed after this response. */
  readonly shouldClose: () => boolean;
}

export function createCallerResponse({ res, shouldClose }: CallerResponseOptions): CallerResponse {
  const connectionCloseHeader = () => (shouldClose() ? ['Connection', 'close'] : []);
  let hasBodyStarted = false;

  /** Writes the head with the standard reason phrase. Throws if a header cannot be sent. */
  function forwardHead({ status, rawHeaders }: UpstreamResponseHead): void {
    if (res.headersSent || res.destroyed) return;
    res.sendDate = false;
    writeHead(status, [...endToEndHeaders(rawHeaders), ...connectionCloseHeader()]);
    // Body bytes that arrived together with the head are sent together with it.
    process.nextTick(flushHead);
  }

  function writeHead(status: number, headers: OutgoingHttpHeaders | string[]): void {
    // An earlier call that threw has left its phrase.
    res.statusMessage = '';
    res.writeHead(status, headers);
  }

  function flushHead(): void {
    if (!hasBodyStarted && !res.writableEnded && !res.destroyed) res.flushHeaders();
  }

  return {
    forwardHead,
    write: (bytes) => {
      hasBodyStarted = true;
      return res.destroyed || res.write(bytes);
    },
    onceWritable: (action) => {
      function notify(): void {
        res.removeListener('drain', notify);
        res.removeListener('close', notify);
        action();
      }
      res.once('drain', notify);
      res.once('close', notify);
    },
    end: () => {
      if (!res.destroyed) res.end();
    },
    abort: () => {
      if (res.headersSent) res.destroy();
      else res.socket?.destroy();
    },
    sendLocalResponse: (answer, protocol) => {
      if (res.headersSent || res.destroyed) return;
      const { status, reason } = answer;
      const { number, text } = routingEvents[reason];
      // A string body is written together with the head; a buffer would need a second write.
      const body = `${JSON.stringify({ status, code: number, reason, title: text })}\n`;
      res.sendDate = true;
      writeHead(status, {
        'content-type': 'application/problem+json',
        'content-length': String(Buffer.byteLength(body)),
        ...protocol.localResponseHeaders(answer),
        ...(shouldClose() ? { connection: 'close' } : {}),
      });
      res.end(body);
    },
    hasHead: () => res.headersSent,
  };
}
