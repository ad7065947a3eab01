/** The other instances, and the latest message of each. */
import type { Millis } from '../../core/clock.js';
import type { PeerMessageOf } from '../../core/types.js';
import type { ReportedLimitUse } from './countedInstances.js';
import type { PartRead } from '../placement/prefixCacheTable.js';
import type { PollState } from '../polls.js';
import type { LimitUses } from '../rateLimits/limitNews.js';
import type { TokenRates } from '../shares/sharesState.js';
import type { FailureDomainId, InstanceId, RegionId } from '../types.js';
import type { OpenWork } from '../upstreams/upstreamsState.js';

/** A routing message as sent between instances. */
export type RoutingMessage = PeerMessageOf<'routingNews'>;

/** Latest load reported by another instance, or by the relay of another failure domain. */
export interface LoadSummary {
  /** Open work, keyed by the hash of the upstream's id and start time. */
  readonly work: ReadonlyMap<number, OpenWork>;
  /** Rates, keyed by the hash of the customer's name. */
  readonly rates: ReadonlyMap<number, TokenRates>;
  /** Number of instances that the summary covers. */
  readonly instances: number;
}

export interface PeerInstance {
  readonly id: InstanceId;
  readonly incarnation: number;
  readonly address: string;
  readonly domain: FailureDomainId;
  readonly region: RegionId;
  summary: LoadSummary | undefined;
  /** Its use of limited upstreams. Kept while it is silent, since it may go on to use them. */
  limitUses: LimitUses;
  /** Time at which the instance was found or last heard from. */
  lastHeardAt: Millis;
  isAlive: boolean;
  /** Time at which it last sent the summary of its failure domain. */
  lastRelayedAt: Millis | undefined;
  /** Sequence of the latest message; older messages are dropped. */
  sequence: number;
}

/** Latest summary of another failure domain. */
export interface DomainSummary {
  /** The message as received, for forwarding. */
  readonly message: RoutingMessage;
  /** Undefined once the summary is too old to count. */
  readonly summary: LoadSummary | undefined;
  /** Its use of limited upstreams, also while the summary is too old. */
  readonly limitUses: LimitUses;
  /** Whether the summary has yet to be forwarded within this domain. */
  readonly isForwardPending: boolean;
  readonly heardAt: Millis;
}

/** Parts read by upstreams, queued for the next forwarded message. */
export interface PartsToForward {
  /** Reported by instances of this failure domain, for the other domains. */
  fromOwnDomain: PartRead[];
  /** Reported by the other domains, for the instances of this one. */
  readonly fromOtherDomains: Map<FailureDomainId, PartRead[]>;
}

export interface ExchangeState extends PollState {
  readonly peers: Map<InstanceId, PeerInstance>;
  /** Processes of instances that have started again in the meantime. */
  formerPeers: readonly PeerInstance[];
  /** Summaries of the other failure domains; used only while relays connect the domains. */
  readonly domains: Map<FailureDomainId, DomainSummary>;
  /** Number of messages sent to each silent domain, through its instances in turn. */
  readonly relayAttempts: Map<FailureDomainId, number>;
  readonly partsToForward: PartsToForward;
  /** Send times of the latest messages, by sequence. */
  readonly sendTimes: Map<number, Millis>;
  /** Cached sum over all other instances; undefined after a change. */
  remoteTotals: LoadSummary | undefined;
  /** Cached use of limited upstreams by the other instances; empty after a change. */
  readonly remoteLimitUses: Map<number, readonly ReportedLimitUse[]>;
  /** Time at which the platform acknowledged this instance's announcement. */
  announcedAt: Millis | undefined;
  announceFailures: number;
  /** Sequence of the latest message that this instance sent. */
  sequence: number;
  /** Time of the last event of any kind. */
  lastEventAt: Millis | undefined;
  /** Time at which this process last went on after it had stood still for a while. */
  resumedAt: Millis;
  /** Time of the last regular exchange. */
  exchangedAt: Millis;
}

export function createExchangeState(): ExchangeState {
  return {
    peers: new Map(),
    formerPeers: [],
    domains: new Map(),
    relayAttempts: new Map(),
    partsToForward: { fromOwnDomain: [], fromOtherDomains: new Map() },
    sendTimes: new Map(),
    remoteTotals: undefined,
    remoteLimitUses: new Map(),
    cursor: undefined,
    failures: 0,
    era: undefined,
    announcedAt: undefined,
    announceFailures: 0,
    sequence: 0,
    exchangedAt: -Infinity,
    lastEventAt: undefined,
    resumedAt: -Infinity,
  };
}
