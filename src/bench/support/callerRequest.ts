/** Creates caller requests for benchmarks that drive a core without hosts. */
import type { CallerRequestEvent, RequestId } from '../../core/types.js';

/** Creates a streamed completion request to `pool0` from customer n, whose key hash is `hash-n`. */
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
