/**
 * Checks that each of many concurrent callers gets its own complete answer while engines send replies
 * to the wrong request or after a delay.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Readable } from 'node:stream';
import { Agent, request } from 'undici';
import type { Millis } from '../../core/clock.js';
import { DEFAULT_CORE_SETTINGS } from '../../core/settings.js';
import { answerText } from '../../standins/content.js';
import { BENCH_KEY, BENCH_POOL, startBenchFleet, type BenchFleet } from './processes.js';

export interface CrossedOptions {
  readonly requests: number;
  readonly instances: number;
  readonly engines: number;
}

export interface CrossedResult {
  readonly correct: number;
  /** Answers that ended with an explicit error. */
  readonly failed: number;
  /** Answers of another caller, or incomplete answers without an error. */
  readonly wrong: readonly string[];
  readonly attempts: number;
  readonly elapsedMs: Millis;
}

const TOKENS = 6;
/** Maximum number of failures and wrong answers to print. */
const MAX_SHOWN = 10;
const MAX_DETAIL = 1_000;
const WARM_UP_SHARE = 0.2;
const RETRY_WINDOWS_MS = 3 * DEFAULT_CORE_SETTINGS.retryWindowMs;
const FAULTS = [
  { kind: 'crossed', rate: 0.05, at: 'middle' },
  { kind: 'late', rate: 0.05, delayMs: 300 },
];

export async function measureCrossed(options: CrossedOptions): Promise<CrossedResult> {
  const fleet = await startBenchFleet({
    instances: options.instances,
    engines: options.engines,
    slotsPerEngine: 64,
    tokenIntervalMs: 5,
    maxRequests: options.requests,
    core: { retryRatio: 1 },
  });
  const dispatcher = new Agent();
  await warmUp(dispatcher, fleet, options.requests);
  await Promise.all(fleet.engineUrls.map(enableFaults));
  const attemptsBefore = await countAllAttempts(fleet);
  const failures: string[] = [];
  const wrong: string[] = [];
  const startedAt = performance.now();
  await Promise.all(
    Array.from({ length: options.requests }, async (_, i) => {
      const question = `question ${i}`;
      const origin = fleet.instanceUrls[i % fleet.instanceUrls.length] ?? '';
      const answer = await sendCompletion(dispatcher, origin, question);
      if (answer.kind === 'failed') failures.push(answer.detail);
      else if (answer.text !== answerText(question, TOKENS)) {
        wrong.push(`${question}: '${answer.text}'`);
      }
    }),
  );
  const elapsedMs = performance.now() - startedAt;
  const attempts = (await countAllAttempts(fleet)) - attemptsBefore;
  await dispatcher.close();
  await fleet.stop();
  [...failures, ...wrong].slice(0, MAX_SHOWN).forEach((detail) => console.error(detail));
  return {
    correct: options.requests - failures.length - wrong.length,
    failed: failures.length,
    wrong,
    attempts,
    elapsedMs,
  };
}

async function enableFaults(url: string): Promise<void> {
  for (const fault of FAULTS) {
    const path = `${url}/_control/faults`;
    const { body } = await request(path, { method: 'POST', body: JSON.stringify(fault) });
    await body.dump();
  }
}

/** Sends requests so that the retry budget reaches its size in a loaded fleet. */
async function warmUp(dispatcher: Agent, fleet: BenchFleet, requests: number): Promise<void> {
  await Promise.all(
    Array.from({ length: Math.ceil(requests * WARM_UP_SHARE) }, async (_, i) => {
      const origin = fleet.instanceUrls[i % fleet.instanceUrls.length] ?? '';
      return sendCompletion(dispatcher, origin, `warm-up ${i}`);
    }),
  );
  await sleep(RETRY_WINDOWS_MS);
}

async function countAllAttempts({ engineUrls }: BenchFleet): Promise<number> {
  const counts = await Promise.all(engineUrls.map(countAttempts));
  return counts.reduce((sum, count) => sum + count, 0);
}

async function countAttempts(url: string): Promise<number> {
  const { body } = await request(`${url}/_control/log`);
  return ((await body.json()) as { readonly attempts: readonly unknown[] }).attempts.length;
}

type CompletionResult =
  | { readonly kind: 'answer'; readonly text: string }
  | { readonly kind: 'failed'; readonly detail: string };

interface StreamChunk {
  readonly choices: readonly { readonly delta: { readonly content?: string } }[];
}

/** Sends a streamed completion request. An answer without the `[DONE]` event counts as failed. */
async function sendCompletion(
  dispatcher: Agent,
  origin: string,
  question: string,
): Promise<CompletionResult> {
  try {
    const { statusCode, body } = await request(`${origin}/v1/chat/completions`, {
      dispatcher,
      method: 'POST',
      headers: { authorization: `Bearer ${BENCH_KEY}` },
      headersTimeout: 0,
      bodyTimeout: 0,
      body: JSON.stringify({
        model: BENCH_POOL,
        stream: true,
        max_tokens: TOKENS,
        messages: [{ role: 'user', content: question }],
      }),
    });
    const { text, isBroken } = await readText(body);
    const events = text.split('\n\n').filter((event) => event !== '');
    if (isBroken || statusCode !== 200 || events.pop() !== 'data: [DONE]') {
      return { kind: 'failed', detail: `status ${statusCode}: ${text.slice(-MAX_DETAIL)}` };
    }
    return { kind: 'answer', text: events.map(parseContent).join('') };
  } catch (err) {
    return { kind: 'failed', detail: (err as Error).message };
  }
}

/** Reads a body up to its end or the point where the connection breaks. */
async function readText(body: Readable): Promise<{ text: string; isBroken: boolean }> {
  let text = '';
  try {
    for await (const part of body) text += (part as Buffer).toString();
    return { text, isBroken: false };
  } catch {
    return { text, isBroken: true };
  }
}

function parseContent(event: string): string {
  const chunk = JSON.parse(event.slice('data: '.length)) as StreamChunk;
  return chunk.choices[0]?.delta.content ?? '';
}
