/** How requests of a load end, as the caller sees it. */
import type { Millis } from '../../core/clock.js';

export type Executed = 'no' | 'yes' | 'unknown';

/** Why an answer that claims to be complete is not the caller's own complete answer. */
export type Violation = 'not-own' | 'truncated';

export type Outcome =
  /** The caller's own complete answer. */
  | { readonly kind: 'served' }
  /** A problem that says that the request was not run. */
  | { readonly kind: 'refused'; readonly status: number; readonly step: string }
  /** A problem after the request may have run, or a broken connection. */
  | { readonly kind: 'failed'; readonly executed: Executed; readonly reason: string }
  /** Neither an answer nor a problem for as long as the caller waited. */
  | { readonly kind: 'lost'; readonly reason: string }
  /** An answer that breaks a promise. */
  | { readonly kind: 'wrong'; readonly violation: Violation; readonly detail: string };

/** What the caller learns while a request runs. */
export interface Progress {
  /** First byte of an answer of any kind but a problem. */
  readonly onFirst: () => void;
  /** Output tokens received since the last call. */
  readonly onTokens: (tokens: number) => void;
  /** Time since the token before, for streams. */
  readonly onGap: (span: Millis) => void;
  /** Token counts told by the engine at the end. */
  readonly onUsage: (uncachedPromptTokens: number, outputTokens: number) => void;
}

export const SERVED: Outcome = { kind: 'served' };

export function failed(executed: Executed, reason: string): Outcome {
  return { kind: 'failed', executed, reason };
}

export function wrong(violation: Violation, detail: string): Outcome {
  return { kind: 'wrong', violation, detail };
}

const isExecuted = (value: unknown): value is Executed =>
  value === 'no' || value === 'yes' || value === 'unknown';

/** Reads a problem+json body. A body that says nothing of execution counts as unknown. */
export function outcomeOfProblem(status: number, body: string): Outcome {
  const problem = parseObject(body);
  const { executed, step } = problem;
  const name = typeof step === 'string' ? step : 'none';
  if (executed === 'no') return { kind: 'refused', status, step: name };
  return failed(isExecuted(executed) ? executed : 'unknown', `status ${status} at ${name}`);
}

/** A JSON object, or an empty one if the text is something else. */
export function parseObject(text: string): Readonly<Record<string, unknown>> {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? { ...value } : {};
  } catch {
    return {};
  }
}
