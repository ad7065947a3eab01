/**
 * Checks that a completion is the complete answer to its own question, while it arrives. The
 * content that an engine stand-in must give follows from the question.
 */
import { answerSeed, answerText, answerToken } from '../../standins/content.js';
import { failed, parseObject, SERVED, wrong, type Outcome, type Progress } from './outcome.js';

const END_MARK = '[DONE]';
const DATA_PREFIX = 'data:';

/** Reader of one streamed answer. */
export interface StreamCheck {
  /** Takes the next part of the body. */
  push: (text: string) => void;
  /** The body ended without an error of the connection. */
  end: () => Outcome;
}

/** Creates the reader of a stream that must hold `maxTokens` tokens. */
export function createStreamCheck(
  question: string,
  maxTokens: number,
  progress: Progress,
): StreamCheck {
  const seed = answerSeed(question);
  let rest = '';
  let index = 0;
  let lastAt: number | undefined;
  let isEnded = false;
  let outcome: Outcome | undefined;

  function takeToken(content: string): void {
    const now = performance.now();
    if (lastAt === undefined) progress.onFirst();
    else progress.onGap(now - lastAt);
    lastAt = now;
    progress.onTokens(1);
    if (content !== answerToken(seed, index)) outcome ??= wrong('not-own', `token ${index}`);
    index += 1;
  }

  function takeEvent(event: string): void {
    const data = dataOf(event);
    if (data === undefined) return;
    if (data === END_MARK) {
      isEnded = true;
      return;
    }
    const chunk = parseObject(data);
    if (isProblem(chunk)) outcome ??= failed('unknown', 'error event in the stream');
    const content = contentOf(chunk);
    if (content !== '') takeToken(content);
    reportUsage(chunk, progress);
  }

  return {
    push: (text) => {
      const events = (rest + text).split('\n\n');
      rest = events.pop() ?? '';
      events.forEach(takeEvent);
    },
    end: () => {
      if (outcome !== undefined) return outcome;
      if (!isEnded) return wrong('truncated', `no end mark after token ${index}`);
      if (index !== maxTokens) return wrong('truncated', `${index} of ${maxTokens} tokens`);
      return SERVED;
    },
  };
}

/** Checks an answer that came as one JSON body. */
export function checkWholeAnswer(
  question: string,
  maxTokens: number,
  body: string,
  progress: Progress,
): Outcome {
  const answer = parseObject(body);
  if (isProblem(answer)) return failed('unknown', 'error body');
  const content = contentOf(answer);
  const expected = answerText(question, maxTokens);
  progress.onFirst();
  progress.onTokens(content === expected ? maxTokens : 0);
  reportUsage(answer, progress);
  if (content === expected) return SERVED;
  const isPart = expected.startsWith(content);
  return wrong(isPart ? 'truncated' : 'not-own', `${content.length} of ${expected.length} bytes`);
}

function dataOf(event: string): string | undefined {
  const line = event.split('\n').find((candidate) => candidate.startsWith(DATA_PREFIX));
  return line?.slice(DATA_PREFIX.length).trim();
}

function isProblem(chunk: Readonly<Record<string, unknown>>): boolean {
  return 'error' in chunk || 'executed' in chunk;
}

interface Choice {
  readonly delta?: { readonly content?: string };
  readonly message?: { readonly content?: string };
  readonly text?: string;
}

function contentOf(chunk: Readonly<Record<string, unknown>>): string {
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
