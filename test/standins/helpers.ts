/** Helpers shared by the tests of the stand-ins. */
import { expect } from 'chai';
import type { EngineOptions } from '../../src/standins/index.js';

/** Options of an engine without delays between tokens or for prefill. */
export const NO_DELAY_OPTIONS: EngineOptions = {
  tokenIntervalMs: 0,
  prefillTokensPerSecond: Infinity,
};

export interface Chunk {
  readonly id: string;
  readonly choices: readonly [{ readonly delta: { readonly content?: string } }];
}

export interface Completion {
  readonly id: string;
  readonly choices: readonly [{ readonly message: { readonly content: string } }];
  readonly usage: { readonly prompt_tokens_details: { readonly cached_tokens: number } };
}

export async function send(
  url: string,
  body: unknown,
  headers: Record<string, string> = {},
): Promise<Response> {
  return fetch(url, { method: 'POST', headers, body: JSON.stringify(body) });
}

export async function postCompletion(
  engine: { readonly url: string },
  body: object,
  headers: Record<string, string> = {},
): Promise<Response> {
  return send(`${engine.url}/v1/chat/completions`, body, headers);
}

export const createChatBody = (text: string, stream: boolean, maxTokens = 8): object => ({
  model: 'm',
  messages: [{ role: 'user', content: text }],
  stream,
  max_tokens: maxTokens,
});

/** Reads the events of a stream; asserts that it ends with the `[DONE]` marker. */
export async function readChunks(res: Response): Promise<Chunk[]> {
  const events = (await res.text()).split('\n\n').filter((event) => event !== '');
  expect(events.pop()).to.equal('data: [DONE]');
  return events.map((event) => JSON.parse(event.slice('data: '.length)) as Chunk);
}

export const joinTokens = (chunks: readonly Chunk[]): string =>
  chunks.map((chunk) => chunk.choices[0].delta.content ?? '').join('');

export async function readJson<T>(res: Response): Promise<T> {
  return (await res.json()) as T;
}

/** Polls until `check` returns true; only the timeout of the test bounds the wait. */
export async function until(check: () => boolean): Promise<void> {
  if (check()) return;
  await new Promise((resolve) => {
    setTimeout(resolve, 2);
  });
  await until(check);
}

/** Resolves to the rejection reason of a promise, or to `undefined` if it was fulfilled. */
export async function catchRejection(promise: Promise<unknown>): Promise<unknown> {
  return promise.then(
    () => undefined,
    (err: unknown) => err,
  );
}
