/** The other instances and the last news of each. */
import type { Millis } from '../../core/clock.js';
import type { PollState } from '../polls.js';
import type { TokenRates } from '../shares/sharesState.js';
import type { FailureDomainId, InstanceId, RegionId } from '../types.js';
import type { OpenWork } from '../upstreams/upstreamsState.js';

/** What another instance told last. */
export interface PeerNews {
  /** Open work by the hash of the upstream's id and start. */
  readonly work: ReadonlyMap<number, OpenWork>;
  /** Rates by the hash of the customer's name. */
  readonly rates: ReadonlyMap<number, TokenRates>;
}

export interface PeerInstance {
  readonly id: InstanceId;
  readonly incarnation: number;
  readonly address: string;
  readonly domain: FailureDomainId;
  readonly region: RegionId;
  news: PeerNews | undefined;
  /** Time at which it was found or last heard of. */
  lastHeardAt: Millis;
  isHeard: boolean;
  /** Sequence of the last news; older ones are dropped. */
  sequence: number;
}

export interface ExchangeState extends PollState {
  readonly peers: Map<InstanceId, PeerInstance>;
  isAnnounced: boolean;
  announceFailures: number;
  sequence: number;
}

export function createExchangeState(): ExchangeState {
  return {
    peers: new Map(),
    cursor: undefined,
    failures: 0,
    isAnnounced: false,
    announceFailures: 0,
    sequence: 0,
  };
}
