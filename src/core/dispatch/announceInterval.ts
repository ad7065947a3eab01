/**
 * The interval at which an instance announces its waiting work to others. It grows with the failure
 * domain, since each announcement goes to a share of the domain's owners: the messages that an
 * instance sends and receives in a second stay the same, while work waits a little longer to be
 * known elsewhere. Work for the instance's own upstreams is offered at once.
 */
import type { Millis } from '../clock.js';

/** Owners that the work of a customer that does not lag is announced to at most. */
export const ENOUGH_OWNERS = 4;

/** Instances in a domain from which on the interval grows. */
const UNSTRETCHED_INSTANCES = 4;

export function announceInterval(announceMs: Millis, instancesInDomain: number): Millis {
  return announceMs * Math.max(1, instancesInDomain / UNSTRETCHED_INSTANCES);
}
