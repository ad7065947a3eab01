/** Outcomes of the requests of a load, as observed by the caller. */
import type { Millis } from '../../core/clock.js';

export type ExecutionStatus = 'no' | 'yes' | 'unknown';

/** Why an answer that ended without an error is wrong: it has other content, or it is incomplete. */
export type Violation = 'not-own' | 'truncated';

export type Outcome =
  /** The complete answer to the request was received. */
  | { readonly kind: 'served' }
  /** A problem response states that the request was not executed. */
  | { readonly kind: 'refused'; readonly status: number; readonly step: string }
  /** A problem response that does not rule out execution, or a connection error. */
  | { readonly kind: 'failed'; readonly executed: ExecutionStatus; readonly reason: string }
  /** The caller timed out without an answer or a problem. */
  | { readonly kind: 'lost'; readonly reason: string }
  /** The answer ended without an error but is not the complete answer to the request. */
  | { readonly kind: 'wrong'; readonly violation: Violation; readonly detail: string };

/** Callbacks for the progress of a request. */
export interface Progress {
  /** Called when an answer starts to arrive, but not for a problem response. */
  readonly onAnswerStarted: () => void;
  /** Called with the number of output tokens received since the last call. */
  readonly onTokens: (tokens: number) => void;
  /** Called for each token of a stream but the first, with the time since the previous one. */
  readonly onGap: (span: Millis) => void;
  /** Called with the token counts that the engine reports at the end of an answer. */
  readonly onUsage: (uncachedPromptTokens: number, outputTokens: number) => void;
}

export const SERVED: Outcome = { kind: 'served' };

export function failedOutcome(executed: ExecutionStatus, reason: string): Outcome {
  return { kind: 'failed', executed, reason };
}

export function wrongOutcome(violation: Violation, detail: string): Outcome {
  return { kind: 'wrong', violation, detail };
}

const isExecuted = (value: unknown): value is ExecutionStatus =>
  value === 'no' || value === 'yes' || value === 'unknown';

/** Parses a problem+json body. Without an `executed` member, the execution counts as unknown. */
export function parseProblemOutcome(status: number, body: string): Outcome {
  const problem = parseObject(body);
  const { executed, step } = problem;
  const name = typeof step === 'string' ? step : 'none';
  if (executed === 'no') return { kind: 'refused', status, step: name };
  return failedOutcome(isExecuted(executed) ? executed : 'unknown', `status ${status} at ${name}`);
}

/** Parses a JSON object. Returns an empty object if the text is anything else. */
export function parseObject(text: string): Readonly<Record<string, unknown>> {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? { ...value } : {};
  } catch {
    return {};
  }
}
