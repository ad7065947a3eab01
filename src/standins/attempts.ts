/**
 * Attempts of a model engine: what each request asked for, how far it came and how it ended. The
 * records outlive a crash, since checks read them; the engine's own state does not.
 */
import type { Millis } from '../core/clock.js';
import type { Sequence } from './batch.js';
import {
  answerSeed,
  countTokens,
  promptOf,
  questionHash,
  questionOf,
  type CompletionBody,
} from './content.js';
import type { Output, Usage } from './output.js';

/** How an attempt ended. */
export type AttemptOutcome =
  'waiting' | 'running' | 'finished' | 'disconnected' | 'cancelled' | 'cut' | 'crashed';

/** What one attempt ran, as listed by `GET /_control/log`. */
export interface AttemptRecord {
  /** The `X-Request-Id` of the attempt. */
  readonly id: string;
  /** The `Idempotency-Key`, if there was one. */
  readonly key: string | undefined;
  /** Hash of the question, in hexadecimal. */
  readonly question: string;
  /** Index of the first token that was to be produced. */
  readonly from: number;
  /** Index after the last token produced. */
  readonly to: number;
  readonly length: number;
  /** Whether it was in the batch at any time. */
  readonly admitted: boolean;
  readonly outcome: AttemptOutcome;
  readonly receivedAt: Millis;
  readonly endedAt: Millis | undefined;
}

export interface Attempt extends Sequence {
  readonly id: string;
  readonly key: string | undefined;
  readonly question: string;
  readonly seed: number;
  admitted: boolean;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly from: number;
  readonly receivedAt: Millis;
  cachedTokens: number;
  /** Where the answer goes; another attempt's connection if the answers are crossed. */
  output: Output;
  /** Position at which the stream is cut, if it is to be. */
  cutAt: number | undefined;
  /** Position at which the answer is crossed with another, if it is to be. */
  crossAt: number | undefined;
  outcome: AttemptOutcome;
  endedAt: Millis | undefined;
}

export interface AttemptOptions {
  readonly id: string;
  readonly key: string | undefined;
  readonly body: CompletionBody;
  readonly resumeFrom: number;
  readonly output: Output;
  readonly now: Millis;
}

/** Creates the attempt for a request. */
export function createAttempt(options: AttemptOptions): Attempt {
  const { id, key, body, output, now } = options;
  const prompt = promptOf(body);
  const question = questionOf(body);
  const wanted = Number.isFinite(options.resumeFrom) ? Math.trunc(options.resumeFrom) : 0;
  const from = Math.min(Math.max(0, wanted), body.max_tokens);
  return {
    id,
    key,
    question: questionHash(question),
    seed: answerSeed(question),
    admitted: false,
    prompt,
    promptTokens: countTokens(prompt),
    from,
    receivedAt: now,
    length: body.max_tokens,
    position: from,
    prefillLeft: 0,
    cachedTokens: 0,
    output,
    cutAt: undefined,
    crossAt: undefined,
    outcome: 'waiting',
    endedAt: undefined,
  };
}

/** The record of an attempt as checks read it. */
export function recordOf(attempt: Attempt): AttemptRecord {
  const { id, key, question, from, position, length, admitted, outcome } = attempt;
  const { receivedAt, endedAt } = attempt;
  return { id, key, question, from, to: position, length, admitted, outcome, receivedAt, endedAt };
}

/** Token counts in the usual format. */
export function usageOf(attempt: Attempt): Usage {
  const prompt = attempt.promptTokens;
  return {
    prompt_tokens: prompt,
    completion_tokens: attempt.position,
    total_tokens: prompt + attempt.position,
    prompt_tokens_details: { cached_tokens: attempt.cachedTokens },
  };
}
