/** Creates numbers that identify the starts of an instance. */
import type { System } from '../hosts/types.js';

/** Range of the random part, which distinguishes starts within the same millisecond. */
const RANDOM_RANGE = 1_024;

/** Combines start time and random bits, so that a later start has a larger number. */
export function createIncarnation(system: System): number {
  const random = Math.floor(Math.random() * RANDOM_RANGE);
  return Math.floor(system.now()) * RANDOM_RANGE + random;
}
