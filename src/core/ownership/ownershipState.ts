/** State of ownership: the owner of each upstream in this instance's view. */
import type { InstanceId, UpstreamId } from '../types.js';

export interface OwnershipState {
  readonly owners: Map<UpstreamId, InstanceId>;
  /** Membership generation and configuration version that `owners` was computed from. */
  generation: number;
  configurationVersion: number;
}

export function createOwnershipState(): OwnershipState {
  return { owners: new Map(), generation: -1, configurationVersion: -1 };
}
