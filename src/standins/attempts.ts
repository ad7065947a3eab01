/**
 * Attempts of a model engine: the request, progress and outcome of each. The attempt records survive
 * a simulated crash because test checks read them; the engine's own state does not.
 */
import type { Millis } from '../core/clock.js';
import type { Sequence } from './batch.js';
import {
  answerSeed,
  countTokens,
  extractPrompt,
  questionHash,
  extractQuestion,
  type CompletionBody,
} from './content.js';
import type { Output, Usage } from './output.js';

/** State of an attempt: waiting, running, or the way it ended. */
export type AttemptOutcome =
  'waiting' | 'running' | 'finished' | 'disconnected' | 'cancelled' | 'cut' | 'crashed';

/** Record of one attempt in `GET /_control/log`. */
export interface AttemptRecord {
  /** The `X-Request-Id` of the attempt. */
  readonly id: string;
  /** The `Idempotency-Key`, if present. */
  readonly key: string | undefined;
  /** Hash of the question, in hexadecimal. */
  readonly question: string;
  /** Index of the first requested token. */
  readonly from: number;
  /** Index after the last generated token. */
  readonly to: number;
  readonly length: number;
  /** Whether the attempt was ever admitted to the batch. */
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
  /** Writer that receives the answer; another attempt's writer if the answers are crossed. */
  output: Output;
  /** Position at which the stream is cut, if this fault was chosen. */
  cutAt: number | undefined;
  /** Position at which the answer is crossed with another, if this fault was chosen. */
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
  const prompt = extractPrompt(body);
  const question = extractQuestion(body);
  const requestedStart = Number.isFinite(options.resumeFrom) ? Math.trunc(options.resumeFrom) : 0;
  const from = Math.min(Math.max(0, requestedStart), body.max_tokens);
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
    remainingPrefill: 0,
    cachedTokens: 0,
    output,
    cutAt: undefined,
    crossAt: undefined,
    outcome: 'waiting',
    endedAt: undefined,
  };
}

/** Returns the record of an attempt for `GET /_control/log`. */
export function toAttemptRecord(attempt: Attempt): AttemptRecord {
  const { id, key, question, from, position, length, admitted, outcome } = attempt;
  const { receivedAt, endedAt } = attempt;
  return { id, key, question, from, to: position, length, admitted, outcome, receivedAt, endedAt };
}

/** Returns the token counts of an attempt in the OpenAI format. */
export function toUsage(attempt: Attempt): Usage {
  const prompt = attempt.promptTokens;
  return {
    prompt_tokens: prompt,
    completion_tokens: attempt.position,
    total_tokens: prompt + attempt.position,
    prompt_tokens_details: { cached_tokens: attempt.cachedTokens },
  };
}
