/** Sends one streamed completion request and records when its tokens arrive. */
import type { Dispatcher } from 'undici';
import type { Millis } from '../../core/clock.js';
import { BENCH_KEY, BENCH_POOL } from './processes.js';

export interface StreamCallOptions {
  readonly dispatcher: Dispatcher;
  readonly origin: string;
  readonly question: string;
  readonly tokens: number;
  /** Called for each chunk but the first with its event count and the time since the previous chunk. */
  readonly onChunk?: (events: number, gapMs: Millis) => void;
}

export interface StreamCallResult {
  readonly firstChunkMs: Millis;
  readonly totalMs: Millis;
  /** Whether the `[DONE]` event arrived. */
  readonly isComplete: boolean;
}

const LINE_FEED = 0x0a;

/** Sends a completion request. Rejects on any status other than 200 and on a connection error. */
export async function callStream(options: StreamCallOptions): Promise<StreamCallResult> {
  const { dispatcher, origin, question, tokens, onChunk } = options;
  const startedAt = performance.now();
  let firstChunkMs = 0;
  let lastAt = startedAt;
  let tail = '';
  await new Promise<void>((resolve, reject) => {
    dispatcher.dispatch(
      {
        origin,
        path: '/v1/chat/completions',
        method: 'POST',
        headers: { authorization: `Bearer ${BENCH_KEY}`, 'content-type': 'application/json' },
        body: JSON.stringify({
          model: BENCH_POOL,
          stream: true,
          max_tokens: tokens,
          messages: [{ role: 'user', content: question }],
        }),
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      {
        onRequestStart: () => {},
        onResponseStart: (_controller, status) => {
          if (status !== 200) reject(new Error(`unexpected status ${status}`));
        },
        onResponseData: (_controller, chunk) => {
          const now = performance.now();
          if (firstChunkMs === 0) firstChunkMs = now - startedAt;
          else onChunk?.(countEvents(chunk), now - lastAt);
          lastAt = now;
          tail = chunk.subarray(-16).toString();
        },
        onResponseEnd: () => resolve(),
        onResponseError: (_controller, err) => reject(err),
      },
    );
  });
  const totalMs = performance.now() - startedAt;
  return { firstChunkMs, totalMs, isComplete: tail.endsWith('[DONE]\n\n') };
}

/** Counts the events in a chunk. Each event ends with an empty line. */
function countEvents(chunk: Uint8Array): number {
  let count = 0;
  for (let i = chunk.indexOf(LINE_FEED); i >= 0; i = chunk.indexOf(LINE_FEED, i + 1)) {
    if (chunk[i + 1] === LINE_FEED) count += 1;
  }
  return count;
}
