/** The roles of an instance, with the messages and timers of each and the dimension that drives them. */
import type { Dimension } from './target.js';

export interface Share {
  /** Message kind or `timer NAME`, as counted by `runFleet`. */
  readonly kind: string;
  readonly driver: Dimension;
}

export interface Role {
  readonly name: string;
  /** The mechanism that implements the role, with its module. */
  readonly mechanism: string;
  readonly shares: readonly Share[];
}

const share = (kind: string, driver: Dimension): Share => ({ kind, driver });

export const ROLES: readonly Role[] = [
  {
    name: 'entry',
    mechanism: 'announcements of waiting work, use of grants (`core/dispatch/announcements.ts`)',
    shares: [
      share('waitingUpdate', 'instancesPerDomain'),
      share('grantReturn', 'requestsPerInstance'),
      share('limitUsage', 'waiting'),
      share('timer announce', 'enginesPerInstance'),
      share('timer deadlines', 'requestsPerInstance'),
      share('timer limits', 'waiting'),
      share('timer retries', 'requestsPerInstance'),
    ],
  },
  {
    name: 'owner',
    mechanism: 'grants, slots, readings of load (`core/dispatch/assign.ts`, `slots.ts`)',
    shares: [
      share('grant', 'requestsPerInstance'),
      share('slotUpdate', 'requestsPerInstance'),
      share('suspendRequest', 'requestsPerInstance'),
      share('timer assign', 'enginesPerInstance'),
      share('timer poll', 'enginesPerInstance'),
    ],
  },
  {
    name: 'relay',
    mechanism: 'sums of service, members and demand of other domains (`core/shares/relay.ts`)',
    shares: [
      share('serviceSums', 'waiting'),
      share('serviceRequest', 'domains'),
      share('memberSummaries', 'domains'),
      share('memberRequest', 'domains'),
      share('demandRequest', 'domains'),
      share('demandOffer', 'domains'),
      share('timer exchange', 'waiting'),
    ],
  },
  {
    name: 'member',
    mechanism: 'heartbeats and retry budget in the domain (`core/membership`)',
    shares: [
      share('heartbeat', 'instancesPerDomain'),
      share('retryUsage', 'instancesPerDomain'),
      share('timer heartbeat', 'instancesPerDomain'),
      share('timer quarantine', 'requestsPerInstance'),
    ],
  },
];

/** Results of other measurements, by section of docs/MEASUREMENTS.md. */
export const MEASURED_ELSEWHERE = {
  /** Exact outcomes: size of the records of a key in the log, and of its state in memory. */
  claimRecordBytes: 494,
  claimMemoryBytes: 473,
  claimMemorySeconds: 900,
  /** Configuration: cost per edit and instance, and heap of an instance with the whole document. */
  editBytes: 205,
  editMs: 5.4,
  documentBytes: 2.76 * 1024 * 1024,
  heapBytes: 16.9 * 1024 * 1024,
  checkpointSeconds: 1_200,
} as const;

/** Assumed share of requests that are keyed and not idempotent. */
export const KEYED_SHARE = 0.01;
