/** Calls to stand-ins shared by their tests. */
import { expect } from 'chai';
import type { EngineOptions } from '../../src/standins/index.js';

/** An engine that works as fast as the event loop. */
export const FAST: EngineOptions = { tokenIntervalMs: 0, prefillTokensPerSecond: Infinity };

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

export async function post(
  engine: { readonly url: string },
  body: object,
  headers: Record<string, string> = {},
): Promise<Response> {
  return send(`${engine.url}/v1/chat/completions`, body, headers);
}

export const ask = (text: string, stream: boolean, maxTokens = 8): object => ({
  model: 'm',
  messages: [{ role: 'user', content: text }],
  stream,
  max_tokens: maxTokens,
});

/** Events of a stream without its end mark, which must be there. */
export async function readChunks(res: Response): Promise<Chunk[]> {
  const events = (await res.text()).split('\n\n').filter((event) => event !== '');
  expect(events.pop()).to.equal('data: [DONE]');
  return events.map((event) => JSON.parse(event.slice('data: '.length)) as Chunk);
}

export const textOf = (chunks: readonly Chunk[]): string =>
  chunks.map((chunk) => chunk.choices[0].delta.content ?? '').join('');

export async function readJson<T>(res: Response): Promise<T> {
  return (await res.json()) as T;
}

/** Resolves once `check` holds; the test's time limit bounds the wait. */
export async function until(check: () => boolean): Promise<void> {
  if (check()) return;
  await new Promise((resolve) => {
    setTimeout(resolve, 2);
  });
  await until(check);
}

/** The rejection of a promise, or `undefined` if it was fulfilled. */
export async function failureOf(promise: Promise<unknown>): Promise<unknown> {
  return promise.then(
    () => undefined,
    (err: unknown) => err,
  );
}
