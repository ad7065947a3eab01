/**
 * The interval at which an instance announces its waiting work to other instances. Each
 * announcement goes to a share of the failure domain's owners, so the interval grows with the size
 * of the domain. This keeps the message rate per instance constant, at the price of a longer delay
 * until other instances learn of the work. Work for the instance's own upstreams is offered
 * immediately.
 */
import type { Millis } from '../clock.js';

/** Maximum number of owners to which the work of a customer that does not lag is announced. */
export const MAX_OWNERS_UNLESS_LAGGING = 4;

/** Size of a domain above which the interval grows. */
const MAX_INSTANCES_AT_BASE_INTERVAL = 4;

/** Returns the announce interval, scaled with the size of the failure domain. */
export function announceInterval(announceMs: Millis, instancesInDomain: number): Millis {
  return announceMs * Math.max(1, instancesInDomain / MAX_INSTANCES_AT_BASE_INTERVAL);
}
