/** The roles of an instance: which messages and timers belong to each, and what drives their number. */
import type { Dimension } from './target.js';

export interface Share {
  /** Kind of message, or `timer NAME`, as fleet runs count them. */
  readonly kind: string;
  readonly driver: Dimension;
}

export interface Role {
  readonly name: string;
  /** What carries it, by module. */
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

/** Figures of other measurements, with the section of docs/MEASUREMENTS.md that has them. */
export const MEASURED_ELSEWHERE = {
  /** Exact outcomes: bytes of a key's records in the log, and of what is remembered of it. */
  claimRecordBytes: 494,
  claimMemoryBytes: 473,
  claimMemorySeconds: 900,
  /** Configuration: per edit, instance; and the heap of an instance with the whole document. */
  editBytes: 205,
  editMs: 5.4,
  documentBytes: 2.76 * 1024 * 1024,
  heapBytes: 16.9 * 1024 * 1024,
  checkpointSeconds: 1_200,
} as const;

/** Share of the requests that are assumed to be keyed and not idempotent. */
export const KEYED_SHARE = 0.01;
