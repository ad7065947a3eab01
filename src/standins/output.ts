/**
 * Writer for a completion response of the model engine: server-sent events or one JSON body. The
 * headers are sent with the first write and carry the request id of the attempt that writes it.
 */
import type { ServerResponse } from 'node:http';
import type { Millis } from '../core/clock.js';

/** Value of `finish_reason`. */
export type FinishReason = 'length' | 'cancelled';

export interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly total_tokens: number;
  readonly prompt_tokens_details: { readonly cached_tokens: number };
}

export interface OutputOptions {
  readonly res: ServerResponse;
  readonly stream: boolean;
  /** Whether to use the format of `/v1/chat/completions` instead of `/v1/completions`. */
  readonly chat: boolean;
  readonly model: string;
  /** Whether the response carries the request id in `X-Request-Id`; some engines omit it. */
  readonly echoesRequestId: boolean;
}

/** Writer for one response. */
export interface Output {
  token: (id: string, text: string) => void;
  finish: (id: string, reason: FinishReason, usage: Usage) => void;
  /** Buffers all writes for the given time before they are sent. */
  bufferFor: (duration: Millis) => void;
  /**
   * Ends the response early, by a connection reset or by a regular end of the body. Before the
   * headers are sent, it always resets the connection.
   */
  cut: (ending: 'reset' | 'close') => void;
}

/** Creates a writer for the response `res`. */
export function createOutput(options: OutputOptions): Output {
  const { res, stream, chat, model } = options;
  const object = chat ? 'chat.completion' : 'text_completion';
  const tokens: string[] = [];
  let bufferedWrites: (() => void)[] | undefined;

  const isOpen = () => !res.destroyed && !res.writableEnded;

  function send(write: () => void): void {
    if (bufferedWrites !== undefined) bufferedWrites.push(write);
    else if (isOpen()) write();
  }

  function flush(): void {
    const writes = bufferedWrites ?? [];
    bufferedWrites = undefined;
    writes.forEach(send);
  }

  function sendHeaders(id: string, type: string): void {
    if (res.headersSent) return;
    const idHeader = options.echoesRequestId ? { 'x-request-id': id } : {};
    res.writeHead(200, { 'content-type': type, ...idHeader });
  }

  function sendEvent(id: string, choice: object, extra: object = {}): void {
    sendHeaders(id, 'text/event-stream');
    const chunk = { id, object: chat ? `${object}.chunk` : object, model, choices: [choice] };
    res.write(`data: ${JSON.stringify({ ...chunk, ...extra })}\n\n`);
  }

  function streamChoice(text: string, reason: FinishReason | null): object {
    const content = chat ? { delta: text === '' ? {} : { content: text } } : { text };
    return { index: 0, ...content, finish_reason: reason };
  }

  function sendCompletion(id: string, reason: FinishReason, usage: Usage): void {
    const text = tokens.join('');
    const content = chat ? { message: { role: 'assistant', content: text } } : { text };
    const choices = [{ index: 0, ...content, finish_reason: reason }];
    sendHeaders(id, 'application/json');
    res.end(JSON.stringify({ id, object, model, choices, usage }));
  }

  function sendStreamEnd(id: string, reason: FinishReason, usage: Usage): void {
    sendEvent(id, streamChoice('', reason), { usage });
    res.end('data: [DONE]\n\n');
  }

  return {
    token: (id, text) => {
      if (stream) send(() => sendEvent(id, streamChoice(text, null)));
      else tokens.push(text);
    },
    finish: (id, reason, usage) => {
      send(() => (stream ? sendStreamEnd : sendCompletion)(id, reason, usage));
    },
    bufferFor: (duration) => {
      bufferedWrites ??= [];
      setTimeout(flush, duration).unref();
    },
    cut: (ending) => {
      if (ending === 'reset' || !res.headersSent) res.socket?.resetAndDestroy();
      else res.end();
    },
  };
}
