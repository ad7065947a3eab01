/** The roles of an instance, with the messages and timers of each and the dimension that drives their rate. */
import type { Dimension } from './target.js';

/** A kind of message or timer that belongs to a role, and the dimension that drives its rate. */
export interface LoadSource {
  /** Message kind or `timer NAME`, as counted by `runFleet`. */
  readonly kind: string;
  readonly driver: Dimension;
}

export interface Role {
  readonly name: string;
  /** The mechanism that implements the role, with its module. */
  readonly mechanism: string;
  readonly loadSources: readonly LoadSource[];
}

const createLoadSource = (kind: string, driver: Dimension): LoadSource => ({ kind, driver });

export const ROLES: readonly Role[] = [
  {
    name: 'entry',
    mechanism: 'announcements of waiting work, use of grants (`core/dispatch/announcements.ts`)',
    loadSources: [
      createLoadSource('waitingUpdate', 'instancesPerDomain'),
      createLoadSource('grantReturn', 'requestsPerInstance'),
      createLoadSource('limitUsage', 'waiting'),
      createLoadSource('timer announce', 'enginesPerInstance'),
      createLoadSource('timer deadlines', 'requestsPerInstance'),
      createLoadSource('timer limits', 'waiting'),
      createLoadSource('timer retries', 'requestsPerInstance'),
    ],
  },
  {
    name: 'owner',
    mechanism: 'grants, slots, readings of load (`core/dispatch/assign.ts`, `slots.ts`)',
    loadSources: [
      createLoadSource('grant', 'requestsPerInstance'),
      createLoadSource('slotUpdate', 'requestsPerInstance'),
      createLoadSource('suspendRequest', 'requestsPerInstance'),
      createLoadSource('timer assign', 'enginesPerInstance'),
      createLoadSource('timer poll', 'enginesPerInstance'),
    ],
  },
  {
    name: 'relay',
    mechanism: 'sums of service, members and demand of other domains (`core/shares/relay.ts`)',
    loadSources: [
      createLoadSource('serviceSums', 'waiting'),
      createLoadSource('serviceRequest', 'domains'),
      createLoadSource('memberSummaries', 'domains'),
      createLoadSource('memberRequest', 'domains'),
      createLoadSource('demandRequest', 'domains'),
      createLoadSource('demandOffer', 'domains'),
      createLoadSource('timer exchange', 'waiting'),
    ],
  },
  {
    name: 'member',
    mechanism: 'heartbeats and retry budget in the domain (`core/membership`)',
    loadSources: [
      createLoadSource('heartbeat', 'instancesPerDomain'),
      createLoadSource('retryUsage', 'instancesPerDomain'),
      createLoadSource('timer heartbeat', 'instancesPerDomain'),
      createLoadSource('timer quarantine', 'requestsPerInstance'),
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
