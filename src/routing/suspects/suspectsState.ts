/** Fingerprints of requests that were running at upstreams when these crashed. */
import type { Millis } from '../../core/clock.js';
import type { InstanceId } from '../types.js';

/** Crashes of one request that one instance observed. */
export interface CrashRecord {
  crashes: number;
  /** Time of the last crash, or of the last report that raised the count. */
  at: Millis;
}

export interface SuspectsState {
  /** Keyed by fingerprint, then by the instance that observed the crashes. */
  readonly byFingerprint: Map<number, Map<InstanceId, CrashRecord>>;
}

export function createSuspectsState(): SuspectsState {
  return { byFingerprint: new Map() };
}
