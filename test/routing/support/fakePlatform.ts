/** A platform with a constant configuration and a list of upstreams that changes, for timed fleets. */
import type { ListedUpstream, RoutingEffect } from '../../../src/routing/types.js';
import type { TimedCore, TimedFleet } from './timedFleet.js';

/** Time after which the platform answers a read. */
const ANSWER_MS = 4;
/** Time for which a read of the configuration waits for a change. */
const CONFIGURATION_WAIT_MS = 600;

export interface FakePlatformOptions {
  readonly fleet: () => Pick<TimedFleet, 'simulation' | 'dispatch'>;
  /** Returns the upstreams that are listed now. */
  readonly listed: () => readonly ListedUpstream[];
  readonly isCut?: (core: TimedCore) => boolean;
}

/** Creates a platform: a function that answers the reads of a core, and ignores its other effects. */
export function createFakePlatform(
  options: FakePlatformOptions,
): (core: TimedCore, effect: RoutingEffect) => void {
  const { fleet, listed, isCut = () => false } = options;
  let cursor = 1;

  function answerConfigurationPoll(core: TimedCore): void {
    const { simulation, dispatch } = fleet();
    const askedAt = simulation.now();
    const outcome = { kind: 'answered', cursor: 1, changes: [] } as const;
    simulation.after(CONFIGURATION_WAIT_MS, () =>
      dispatch(core, { kind: 'configurationPolled', askedAt, isWhole: false, outcome }),
    );
  }

  function answerUpstreamPoll(core: TimedCore): void {
    const { simulation, dispatch } = fleet();
    const askedAt = simulation.now();
    cursor += 1;
    const changes = listed().map((upstream) => ({ kind: 'listed', upstream }) as const);
    const outcome = isCut(core)
      ? ({ kind: 'failed', reason: 'cut' } as const)
      : ({ kind: 'answered', cursor, changes } as const);
    simulation.after(ANSWER_MS, () =>
      dispatch(core, { kind: 'upstreamsPolled', askedAt, isWhole: true, outcome }),
    );
  }

  function answerHistoryRead(core: TimedCore): void {
    const { simulation, dispatch } = fleet();
    const askedAt = simulation.now();
    const outcome = { kind: 'read', mentions: [], coversMs: Infinity } as const;
    simulation.after(ANSWER_MS, () =>
      dispatch(core, { kind: 'listHistoryRead', askedAt, outcome }),
    );
  }

  return (core, { kind }) => {
    if (kind === 'pollConfiguration') answerConfigurationPoll(core);
    else if (kind === 'pollUpstreams') answerUpstreamPoll(core);
    else if (kind === 'readListHistory') answerHistoryRead(core);
  };
}
