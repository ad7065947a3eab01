/**
 * The claims protocol under exhaustive exploration: two instances are sent requests with one
 * idempotency key, and every order and fate of appends, reads and attempts is tried.
 */
import type { CallerRequestEvent, RequestId, StreamRecord } from '../core/types.js';
import { createCallerRequest } from '../bench/support/callerRequest.js';
import { createFleetView } from '../bench/support/fleetView.js';
import type { ExploreOptions } from './explore.js';
import { createFleetSystem, type LogLens, type Observed } from './fleetSystem.js';

export interface ClaimsCheckOptions {
  /** Instances of the fleet; each is sent one request. */
  readonly instances: number;
  readonly faults: number;
  readonly maxDepth: number;
  /** Switches off the rule that the first claim in log order wins. */
  readonly withoutLogOrder?: boolean;
}

const KEY = 'booking-1';

/** Shows each reader its own claims at the places of the others', as if the log had no order. */
const ownClaimsFirst: LogLens = (records, reader, stream) => {
  if (stream !== 'claims') return records;
  const isOwn = (record: StreamRecord) => record.data.includes(`"instance":"${reader.id}"`);
  const sorted = [...records].sort((a, b) => Number(isOwn(b)) - Number(isOwn(a)));
  return sorted.map(({ data }, i) => ({ offset: records[i]?.offset ?? i, data }));
};

/** Creates an exploration of the claims protocol. */
export function createClaimsCheck(options: ClaimsCheckOptions): ExploreOptions {
  const { instances, faults, maxDepth, withoutLogOrder = false } = options;
  const view = createFleetView({ customers: 1, upstreams: 1, slots: 4 });
  const arrivals = Array.from({ length: instances }, (_, instance) => ({
    instance,
    event: createRequest(`q${instance}`),
  }));
  const lens = withoutLogOrder ? { lens: ownClaimsFirst } : {};
  return {
    create: () =>
      createFleetSystem({
        instances,
        view,
        arrivals,
        faults,
        judge,
        matters: ['requests', 'claims'],
        streams: ['claims'],
        ...lens,
      }),
    maxDepth,
  };
}

function createRequest(requestId: RequestId): CallerRequestEvent {
  return createCallerRequest(requestId, 1, {
    idempotent: false,
    idempotencyKey: KEY,
    fingerprint: 'same',
    streamed: false,
  });
}

/** What must hold in every state: one execution per key, true refusals, one outcome per request. */
function judge(observed: Observed): string | undefined {
  const { dispatched, outcomes } = observed;
  if (dispatched.length > 1) return 'a keyed request ran twice';
  for (const [requestId, effects] of outcomes) {
    if (effects.length > 1) return `${requestId} was told two outcomes`;
    const [effect] = effects;
    const isNotRun =
      (effect?.kind === 'refuse' || effect?.kind === 'fail') && effect.problem.executed === 'no';
    if (isNotRun && dispatched.includes(requestId)) return `${requestId} ran, but was told not`;
  }
  return undefined;
}
