/** State of planned stops: this instance's own, and those of upstreams that the list announces. */
import type { Millis } from '../clock.js';
import type { UpstreamId } from '../types.js';

export interface DrainState {
  isStopping: boolean;
  hasStopped: boolean;
  /** Time at which the last accepted request ended; the log may take a while longer. */
  idleSince: Millis | undefined;
  /** Upstreams that the platform's list shows as leaving. */
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
