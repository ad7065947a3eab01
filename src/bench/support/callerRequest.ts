/** Requests of callers for benchmarks that drive a core without hosts. */
import type { CallerRequestEvent, RequestId } from '../../core/types.js';

/** A streamed completion of customer n, whose key has the hash `hash-n`, at `pool0`. */
export function createCallerRequest(
  requestId: RequestId,
  customer: number,
  changes: Partial<CallerRequestEvent> = {},
): CallerRequestEvent {
  return {
    kind: 'callerRequest',
    requestId,
    keyHash: `hash-${customer}`,
    pool: 'pool0',
    method: 'POST',
    path: '/v1/chat/completions',
    fingerprint: requestId,
    bodyBytes: 1_000,
    promptTokens: 250,
    prefixBlocks: [],
    streamed: true,
    ...changes,
  };
}
