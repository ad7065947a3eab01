/** State of the attempts that run for this instance's requests. */
import type { Millis } from '../clock.js';
import type { AttemptId, CustomerNumber, GrantFacts, PoolId, RequestId } from '../types.js';

export interface AttemptRecord {
  readonly attemptId: AttemptId;
  readonly requestId: RequestId;
  readonly customer: CustomerNumber;
  readonly pool: PoolId;
  readonly grant: GrantFacts;
  readonly startedAt: Millis;
  outputTokens: number;
}

export interface AttemptsState {
  readonly running: Map<AttemptId, AttemptRecord>;
  nextNumber: number;
}

export function createAttemptsState(): AttemptsState {
  return { running: new Map(), nextNumber: 1 };
}
