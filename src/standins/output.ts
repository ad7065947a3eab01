/**
 * The answer of the model engine on one connection: server-sent events or one JSON body. The head
 * is sent with the first token, under the request id of the attempt that is written to it.
 */
import type { ServerResponse } from 'node:http';

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
  readonly isStream: boolean;
  token: (id: string, text: string) => void;
  finish: (id: string, reason: FinishReason, usage: Usage) => void;
  error: (id: string, status: number, type: string) => void;
  /** Sends nothing more, but leaves the connection open. */
  mute: () => void;
  isMuted: () => boolean;
  /** Resets the connection. */
  cut: () => void;
  headSent: () => boolean;
}

/** Creates the writer of the answer on `res`. */
export function createOutput(options: OutputOptions): Output {
  const { res, stream, chat, model } = options;
  const object = chat ? 'chat.completion' : 'text_completion';
  const texts: string[] = [];
  let muted = false;

  const usable = () => !muted && !res.destroyed && !res.writableEnded;

  function sendHead(id: string, status: number, type: string): void {
    if (res.headersSent) return;
    const idHeader = options.echoesRequestId ? { 'x-request-id': id } : {};
    res.writeHead(status, { 'content-type': type, ...idHeader });
  }

  function sendEvent(id: string, choice: unknown, extra: object = {}): void {
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
    sendHead(id, 200, 'application/json');
    res.end(JSON.stringify({ id, object, model, choices, usage }));
  }

  return {
    isStream: stream,
    token: (id, text) => {
      if (!usable()) return;
      if (!stream) {
        texts.push(text);
        return;
      }
      sendHead(id, 200, 'text/event-stream');
      sendEvent(id, streamChoice(text, null));
    },
    finish: (id, reason, usage) => {
      if (!usable()) return;
      if (!stream) {
        sendWhole(id, reason, usage);
        return;
      }
      sendHead(id, 200, 'text/event-stream');
      sendEvent(id, streamChoice('', reason), { usage });
      res.end('data: [DONE]\n\n');
    },
    error: (id, status, type) => {
      if (!usable()) return;
      const body = JSON.stringify({ id, error: { type } });
      if (res.headersSent) {
        res.end(`data: ${body}\n\n`);
        return;
      }
      sendHead(id, status, 'application/json');
      res.end(body);
    },
    mute: () => {
      muted = true;
    },
    isMuted: () => muted,
    cut: () => {
      res.socket?.resetAndDestroy();
    },
    headSent: () => res.headersSent,
  };
}
