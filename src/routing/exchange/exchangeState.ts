/** The other instances and the last news of each. */
import type { Millis } from '../../core/clock.js';
import type { PeerMessageOf } from '../../core/types.js';
import type { PartRead } from '../placement/prefixMemory.js';
import type { PollState } from '../polls.js';
import type { TokenRates } from '../shares/sharesState.js';
import type { FailureDomainId, InstanceId, RegionId } from '../types.js';
import type { OpenWork } from '../upstreams/upstreamsState.js';

/** News as instances send them. */
export type News = PeerMessageOf<'routingNews'>;

/** What another instance, or the relay of another failure domain, told last. */
export interface PeerNews {
  /** Open work by the hash of the upstream's id and start. */
  readonly work: ReadonlyMap<number, OpenWork>;
  /** Rates by the hash of the customer's name. */
  readonly rates: ReadonlyMap<number, TokenRates>;
  /** Instances that the news are of. */
  readonly instances: number;
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
  /** Time at which it last told the sums of its failure domain. */
  relayedAt: Millis | undefined;
  /** Sequence of the last news; older ones are dropped. */
  sequence: number;
}

/** The sums of another failure domain. */
export interface DomainSums {
  /** As they were told, to be passed on. */
  readonly told: News;
  /** Undefined once they are too old to count. */
  readonly news: PeerNews | undefined;
  /** Whether they are still to be passed on within this domain. */
  readonly isToPassOn: boolean;
  readonly heardAt: Millis;
}

/** Parts of prompts that upstreams read, to be passed on with the next news. */
export interface PartsToPassOn {
  /** Told by instances of this failure domain, for the other domains. */
  near: PartRead[];
  /** Told by the other domains, for the instances of this one. */
  readonly far: Map<FailureDomainId, PartRead[]>;
}

export interface ExchangeState extends PollState {
  readonly peers: Map<InstanceId, PeerInstance>;
  /** Sums of the other failure domains, where not every instance tells all others. */
  readonly domains: Map<FailureDomainId, DomainSums>;
  /** Messages that a silent domain was sent, by its instances in turn. */
  readonly tries: Map<FailureDomainId, number>;
  readonly passOn: PartsToPassOn;
  /** Times at which the latest news were sent, by their sequence. */
  readonly sentAt: Map<number, Millis>;
  /** Sums over all that the others told; undefined once something has changed. */
  sums: PeerNews | undefined;
  isAnnounced: boolean;
  announceFailures: number;
  sequence: number;
}

export function createExchangeState(): ExchangeState {
  return {
    peers: new Map(),
    domains: new Map(),
    tries: new Map(),
    passOn: { near: [], far: new Map() },
    sentAt: new Map(),
    sums: undefined,
    cursor: undefined,
    failures: 0,
    isAnnounced: false,
    announceFailures: 0,
    sequence: 0,
  };
}
