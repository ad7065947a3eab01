/**
 * The answer of the model engine on one connection: server-sent events or one JSON body. The head
 * is sent with the first token, under the request id of the attempt that is written to it.
 */
import type { ServerResponse } from 'node:http';
import type { Millis } from '../core/clock.js';

/** How an answer ended. */
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
  /** Format of `/v1/chat/completions`, else that of `/v1/completions`. */
  readonly chat: boolean;
  readonly model: string;
  /** False for engines that do not return the request id. */
  readonly echoesRequestId: boolean;
}

/** Writer of one answer. */
export interface Output {
  token: (id: string, text: string) => void;
  finish: (id: string, reason: FinishReason, usage: Usage) => void;
  /** Keeps all that is written for a time before it is sent. */
  delay: (span: Millis) => void;
  /** Ends the answer early: with a reset, or as if it were complete. */
  cut: (ending: 'reset' | 'close') => void;
}

/** Creates the writer of the answer on `res`. */
export function createOutput(options: OutputOptions): Output {
  const { res, stream, chat, model } = options;
  const object = chat ? 'chat.completion' : 'text_completion';
  const texts: string[] = [];
  let delayed: (() => void)[] | undefined;

  const isOpen = () => !res.destroyed && !res.writableEnded;

  function send(write: () => void): void {
    if (delayed !== undefined) delayed.push(write);
    else if (isOpen()) write();
  }

  function release(): void {
    const writes = delayed ?? [];
    delayed = undefined;
    writes.forEach(send);
  }

  function sendHead(id: string, type: string): void {
    if (res.headersSent) return;
    const idHeader = options.echoesRequestId ? { 'x-request-id': id } : {};
    res.writeHead(200, { 'content-type': type, ...idHeader });
  }

  function sendEvent(id: string, choice: object, extra: object = {}): void {
    sendHead(id, 'text/event-stream');
    const chunk = { id, object: chat ? `${object}.chunk` : object, model, choices: [choice] };
    res.write(`data: ${JSON.stringify({ ...chunk, ...extra })}\n\n`);
  }

  function streamChoice(text: string, reason: FinishReason | null): object {
    const content = chat ? { delta: text === '' ? {} : { content: text } } : { text };
    return { index: 0, ...content, finish_reason: reason };
  }

  function sendWhole(id: string, reason: FinishReason, usage: Usage): void {
    const text = texts.join('');
    const content = chat ? { message: { role: 'assistant', content: text } } : { text };
    const choices = [{ index: 0, ...content, finish_reason: reason }];
    sendHead(id, 'application/json');
    res.end(JSON.stringify({ id, object, model, choices, usage }));
  }

  function sendEnd(id: string, reason: FinishReason, usage: Usage): void {
    sendEvent(id, streamChoice('', reason), { usage });
    res.end('data: [DONE]\n\n');
  }

  return {
    token: (id, text) => {
      if (stream) send(() => sendEvent(id, streamChoice(text, null)));
      else texts.push(text);
    },
    finish: (id, reason, usage) => {
      send(() => (stream ? sendEnd : sendWhole)(id, reason, usage));
    },
    delay: (span) => {
      delayed ??= [];
      setTimeout(release, span).unref();
    },
    cut: (ending) => {
      if (ending === 'reset' || !res.headersSent) res.socket?.resetAndDestroy();
      else res.end();
    },
  };
}
