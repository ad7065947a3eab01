/**
 * Public interface of the core, a deterministic state machine that performs no input or output:
 * the same options and the same events at the same times produce the same effects.
 */
import { createAuditState } from './audit/auditState.js';
import { collectAuditEntries } from './audit/audit.js';
import { createAttemptsState } from './attempts/attemptsState.js';
import { createClaimsState } from './claims/claimsState.js';
import type { Millis } from './clock.js';
import { applyView } from './configuration/configuration.js';
import { createConfigurationState } from './configuration/configurationState.js';
import type { CoreContext } from './context.js';
import { createDispatchState } from './dispatch/dispatchState.js';
import { createDrainState } from './drain/drainState.js';
import { hash32 } from './hash.js';
import { createLimitsState } from './limits/limitsState.js';
import { createMembershipState } from './membership/membershipState.js';
import { createOrdersState } from './orders/ordersState.js';
import { createOwnershipState } from './ownership/ownershipState.js';
import { createQuarantineState } from './quarantine/quarantineState.js';
import { createRandom } from './random.js';
import { reduceEvent, reducePeerMessage } from './reducer.js';
import { createRequestsState } from './requests/requestsState.js';
import { createRetriesState } from './retries/retriesState.js';
import { DEFAULT_CORE_SETTINGS, type CoreSettings } from './settings.js';
import { createSharesState } from './shares/sharesState.js';
import type { CoreState } from './state.js';
import type {
  ConfigurationView,
  CoreEvent,
  Effect,
  InstanceIdentity,
  PeerMessage,
} from './types.js';

/** Number of disjoint grant id ranges, one of which is chosen for each incarnation. */
const GRANT_ID_RANGES = 2 ** 20;

const GRANT_IDS_PER_RANGE = 2 ** 24;

export interface CoreOptions {
  readonly self: InstanceIdentity;
  /** Seed of the random number generator in the state. */
  readonly seed: number;
  readonly settings?: Partial<CoreSettings>;
  /** Configuration to apply on the `start` event. */
  readonly initialConfiguration?: ConfigurationView;
}

export interface Core {
  /** The state, for status output and tests; only `reduce` modifies it. */
  readonly state: CoreState;
  /** Processes one event at time `now` and returns the effects in execution order. */
  readonly reduce: (event: CoreEvent, now: Millis) => readonly Effect[];
}

/** Creates the core of an instance. */
export function createCore(options: CoreOptions): Core {
  const state = createState(options);

  function reduce(event: CoreEvent, now: Millis): readonly Effect[] {
    const effects: Effect[] = [];
    const selfMessages: PeerMessage[] = [];
    const ctx: CoreContext = {
      state,
      now,
      emit: (effect) => effects.push(effect),
      deliverToSelf: (message) => selfMessages.push(message),
    };
    reduceEvent(ctx, event);
    if (event.kind === 'start' && options.initialConfiguration !== undefined) {
      applyView(ctx, options.initialConfiguration);
    }
    // The array grows during iteration: handling a message may queue further messages.
    for (const message of selfMessages)
      reducePeerMessage(ctx, state.self.id, state.self.incarnation, message);
    collectAuditEntries(state, effects);
    return effects;
  }

  return { state, reduce };
}

function createState(options: CoreOptions): CoreState {
  return {
    self: options.self,
    settings: { ...DEFAULT_CORE_SETTINGS, ...options.settings },
    random: createRandom(options.seed),
    membership: createMembershipState(options.self),
    ownership: createOwnershipState(),
    configuration: createConfigurationState(),
    shares: createSharesState(),
    dispatch: createDispatchState(firstGrantId(options.self)),
    limits: createLimitsState(),
    requests: createRequestsState(),
    attempts: createAttemptsState(),
    retries: createRetriesState(),
    claims: createClaimsState(),
    quarantine: createQuarantineState(),
    drain: createDrainState(),
    orders: createOrdersState(),
    audit: createAuditState(),
  };
}

/**
 * Returns the first grant id of this incarnation. To keep the ids of two incarnations of an instance
 * apart, each incarnation starts in a range chosen by hash out of GRANT_ID_RANGES.
 */
function firstGrantId(self: InstanceIdentity): number {
  const range = hash32(`${self.id} ${self.incarnation}`) % GRANT_ID_RANGES;
  return range * GRANT_IDS_PER_RANGE + 1;
}
