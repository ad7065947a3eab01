/**
 * Checks that a completion is the complete answer to the question that was sent. The expected
 * content is computed from the question, as the engine stand-ins do.
 */
import { answerSeed, answerText, answerToken } from '../../standins/content.js';
import {
  failedOutcome,
  parseObject,
  SERVED,
  wrongOutcome,
  type Outcome,
  type Progress,
} from './outcome.js';

const END_MARK = '[DONE]';
const DATA_PREFIX = 'data:';

/** Incremental check of one streamed answer. */
export interface StreamCheck {
  /** Processes the next chunk of the body. */
  push: (text: string) => void;
  /** Returns the outcome, once the body has ended without a connection error. */
  end: () => Outcome;
}

/** Creates the check of a stream that must contain exactly `maxTokens` tokens. */
export function createStreamCheck(
  question: string,
  maxTokens: number,
  progress: Progress,
): StreamCheck {
  const seed = answerSeed(question);
  let buffered = '';
  let index = 0;
  let lastAt: number | undefined;
  let hasEndMark = false;
  let outcome: Outcome | undefined;

  function handleToken(content: string): void {
    const now = performance.now();
    if (lastAt === undefined) progress.onAnswerStarted();
    else progress.onGap(now - lastAt);
    lastAt = now;
    progress.onTokens(1);
    if (content !== answerToken(seed, index)) outcome ??= wrongOutcome('not-own', `token ${index}`);
    index += 1;
  }

  function handleEvent(event: string): void {
    const data = extractData(event);
    if (data === undefined) return;
    if (data === END_MARK) {
      hasEndMark = true;
      return;
    }
    const chunk = parseObject(data);
    if (isErrorBody(chunk)) outcome ??= failedOutcome('unknown', 'error event in the stream');
    const content = extractContent(chunk);
    if (content !== '') handleToken(content);
    reportUsage(chunk, progress);
  }

  return {
    push: (text) => {
      const events = (buffered + text).split('\n\n');
      buffered = events.pop() ?? '';
      events.forEach(handleEvent);
    },
    end: () => {
      if (outcome !== undefined) return outcome;
      if (!hasEndMark) return wrongOutcome('truncated', `no end mark after token ${index}`);
      if (index !== maxTokens) return wrongOutcome('truncated', `${index} of ${maxTokens} tokens`);
      return SERVED;
    },
  };
}

/** Checks an answer that was sent as a single JSON body. */
export function checkWholeAnswer(
  question: string,
  maxTokens: number,
  body: string,
  progress: Progress,
): Outcome {
  const answer = parseObject(body);
  if (isErrorBody(answer)) return failedOutcome('unknown', 'error body');
  const content = extractContent(answer);
  const expected = answerText(question, maxTokens);
  progress.onAnswerStarted();
  progress.onTokens(content === expected ? maxTokens : 0);
  reportUsage(answer, progress);
  if (content === expected) return SERVED;
  const isPrefix = expected.startsWith(content);
  return wrongOutcome(
    isPrefix ? 'truncated' : 'not-own',
    `${content.length} of ${expected.length} bytes`,
  );
}

function extractData(event: string): string | undefined {
  const line = event.split('\n').find((candidate) => candidate.startsWith(DATA_PREFIX));
  return line?.slice(DATA_PREFIX.length).trim();
}

function isErrorBody(chunk: Readonly<Record<string, unknown>>): boolean {
  return 'error' in chunk || 'executed' in chunk;
}

interface Choice {
  readonly delta?: { readonly content?: string };
  readonly message?: { readonly content?: string };
  readonly text?: string;
}

function extractContent(chunk: Readonly<Record<string, unknown>>): string {
  const [choice] = (chunk.choices ?? []) as readonly Choice[];
  return choice?.delta?.content ?? choice?.message?.content ?? choice?.text ?? '';
}

interface Usage {
  readonly prompt_tokens?: number;
  readonly completion_tokens?: number;
  readonly prompt_tokens_details?: { readonly cached_tokens?: number };
}

function reportUsage(chunk: Readonly<Record<string, unknown>>, progress: Progress): void {
  const usage = chunk.usage as Usage | undefined | null;
  if (usage === undefined || usage === null) return;
  const cached = usage.prompt_tokens_details?.cached_tokens ?? 0;
  progress.onUsage((usage.prompt_tokens ?? 0) - cached, usage.completion_tokens ?? 0);
}
