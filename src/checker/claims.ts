/**
 * Model checking of the claims protocol: several instances receive requests with the same
 * idempotency key, and every order and outcome of appends, reads and attempts is explored.
 */
import type { CallerRequestEvent, RequestId, StreamRecord } from '../core/types.js';
import { createCallerRequest } from '../bench/support/callerRequest.js';
import { createFleetView } from '../bench/support/fleetView.js';
import type { ExploreOptions } from './explore.js';
import { createFleetSystem, type LogTransform, type FleetObservation } from './fleetSystem.js';

export interface ClaimsCheckOptions {
  /** Number of instances in the fleet; each receives one request. */
  readonly instances: number;
  readonly faults: number;
  readonly maxDepth: number;
  /** Disables the rule that the first claim in log order wins. */
  readonly withoutLogOrder?: boolean;
}

const IDEMPOTENCY_KEY = 'booking-1';

/** Reorders the records so that each reader sees its own claims first, as if the log had no order. */
const ownClaimsFirst: LogTransform = (records, reader, stream) => {
  if (stream !== 'claims') return records;
  const isOwn = (record: StreamRecord) => record.data.includes(`"instance":"${reader.id}"`);
  const sorted = [...records].sort((a, b) => Number(isOwn(b)) - Number(isOwn(a)));
  return sorted.map(({ data }, i) => ({ offset: records[i]?.offset ?? i, data }));
};

/** Creates the exploration options for the claims protocol. */
export function createClaimsCheck(options: ClaimsCheckOptions): ExploreOptions {
  const { instances, faults, maxDepth, withoutLogOrder = false } = options;
  const view = createFleetView({ customers: 1, upstreams: 1, slots: 4 });
  const arrivals = Array.from({ length: instances }, (_, instance) => ({
    instance,
    event: createRequest(`q${instance}`),
  }));
  const logOptions = withoutLogOrder ? { transformLog: ownClaimsFirst } : {};
  return {
    create: () =>
      createFleetSystem({
        instances,
        view,
        arrivals,
        faults,
        findViolation,
        stateMembers: ['requests', 'claims'],
        controlledStreams: ['claims'],
        ...logOptions,
      }),
    maxDepth,
  };
}

function createRequest(requestId: RequestId): CallerRequestEvent {
  return createCallerRequest(requestId, 1, {
    idempotent: false,
    idempotencyKey: IDEMPOTENCY_KEY,
    fingerprint: 'same',
    streamed: false,
  });
}

/**
 * Invariants of every state: at most one execution per key, at most one outcome per request, and no
 * dispatched request is reported as not executed.
 */
function findViolation(observed: FleetObservation): string | undefined {
  const { dispatched, outcomes } = observed;
  if (dispatched.length > 1) return 'a request with an idempotency key was executed twice';
  for (const [requestId, effects] of outcomes) {
    if (effects.length > 1) return `${requestId} received two outcomes`;
    const [effect] = effects;
    const isReportedNotExecuted =
      (effect?.kind === 'refuse' || effect?.kind === 'fail') && effect.problem.executed === 'no';
    if (isReportedNotExecuted && dispatched.includes(requestId))
      return `${requestId} was executed, but reported as not executed`;
  }
  return undefined;
}
