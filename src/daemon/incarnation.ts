/** Numbers that tell the starts of an instance apart. */
import type { System } from '../hosts/types.js';

/** Random values that tell starts within the same millisecond apart. */
const RANDOM_RANGE = 1_024;

/** A later start has the larger number: the start time, then random bits. */
export function createIncarnation(system: System): number {
  const random = Math.floor(Math.random() * RANDOM_RANGE);
  return Math.floor(system.now()) * RANDOM_RANGE + random;
}
