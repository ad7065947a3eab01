/** Requests that were running at upstreams as these crashed. */
import type { Millis } from '../../core/clock.js';
import type { InstanceId } from '../types.js';

/** Crashes of one request that one instance has seen. */
export interface SeenCrashes {
  crashes: number;
  /** Time of the last crash, or at which another instance told of it. */
  at: Millis;
}

export interface SuspectsState {
  /** By fingerprint, then by the instance that saw the crashes. */
  readonly byFingerprint: Map<number, Map<InstanceId, SeenCrashes>>;
}

export function createSuspectsState(): SuspectsState {
  return { byFingerprint: new Map() };
}
