/** State of planned stops: that of this instance, and those of upstreams in the instance list. */
import type { Millis } from '../clock.js';
import type { UpstreamId } from '../types.js';

export interface DrainState {
  isStopping: boolean;
  hasStopped: boolean;
  /** Time at which the last accepted request ended; records may not be in the log yet. */
  idleSince: Millis | undefined;
  /** Upstreams that the instance list of the platform shows as leaving. */
  readonly leavingUpstreams: Set<UpstreamId>;
}

export function createDrainState(): DrainState {
  return {
    isStopping: false,
    hasStopped: false,
    idleSince: undefined,
    leavingUpstreams: new Set(),
  };
}
