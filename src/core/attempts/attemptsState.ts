/** State of the running attempts of this instance's requests. */
import type { Millis } from '../clock.js';
import type {
  AttemptId,
  CustomerNumber,
  SlotGrant,
  PoolId,
  RequestId,
  UpstreamId,
} from '../types.js';

export interface AttemptRecord {
  readonly attemptId: AttemptId;
  readonly requestId: RequestId;
  readonly customer: CustomerNumber;
  readonly pool: PoolId;
  readonly fingerprint: string;
  readonly grant: SlotGrant;
  readonly startedAt: Millis;
  /** Output tokens that this attempt forwarded to the caller. */
  outputTokens: number;
  /** Whether this attempt forwarded any byte of a response. */
  hasForwarded: boolean;
}

export interface AttemptsState {
  readonly running: Map<AttemptId, AttemptRecord>;
  /** Upstreams to which a request could not be sent, with the time until which they are not used. */
  readonly avoided: Map<UpstreamId, Millis>;
  nextNumber: number;
}

export function createAttemptsState(): AttemptsState {
  return { running: new Map(), avoided: new Map(), nextNumber: 1 };
}
