/** What this instance knows of the upstreams: list entries, open work, speed and health. */
import type { Millis } from '../../core/clock.js';
import { hash32 } from '../../core/hash.js';
import type { ListedUpstream, PoolId, RequestFacts, UpstreamId } from '../types.js';
import { createSharedReadState, type SharedReadState } from '../freshness/sharedRead.js';
import type { PoolWait } from '../placement/poolWait.js';
import type { ToldHistory } from '../placement/unseenWork.js';
import { createListHistory, type ListHistory } from './listHistory.js';
import { createSpeed, type Speed } from './speed.js';

/** Whether an upstream responds. */
export type Reachability =
  | { readonly kind: 'reachable' }
  /** The upstream was silent for too long, or refuses connections. */
  | { readonly kind: 'lost'; readonly since: Millis; readonly nextProbeAt: Millis };

/** Work that was sent to an upstream and has not ended. */
export interface OpenWork {
  readonly running: number;
  /** Prompt tokens still to be read for requests without a first event. */
  readonly pendingTokens: number;
  /** Tokens that the running requests occupy in the upstream's memory. */
  readonly heldTokens: number;
}

export interface Upstream {
  listed: ListedUpstream;
  /** Identifies this start of the upstream in messages between instances. */
  hash: number;
  /** Open work that this instance sent. */
  readonly own: { -readonly [K in keyof OpenWork]: OpenWork[K] };
  /** Requests that this instance sent and whose answers have not begun. */
  unreadRequests: number;
  readonly speed: Speed;
  reachability: Reachability;
  /** Time at which the upstream last sent anything. */
  lastHeardAt: Millis;
  /** Consecutive failed attempts to open a connection. */
  failedConnects: number;
  /** Smoothed fraction of requests that failed, from 0 to 1. */
  failureRate: number;
  /** Time at which the entry was found missing after a platform outage. */
  missingSince: Millis | undefined;
  /** Requests that were recently interrupted at this upstream. */
  interruptedRequests: InterruptedRequest[];
  /** Requests that were open when it fell silent, until it is heard of again. */
  silencedRequests: readonly InterruptedRequest[];
}

export interface InterruptedRequest {
  readonly facts: RequestFacts;
  readonly sentAt: Millis;
  readonly at: Millis;
  /** Whether its answer had been running for a while. */
  readonly wasAnswering: boolean;
}

/** An upstream has said that it leaves. */
export interface LeavingStatement {
  readonly saidAt: Millis;
  /** Whether it said so to this instance or to another one. */
  readonly source: 'answer' | 'instance';
}

/** An upstream wants no request of this instance for a time. */
export interface Pause {
  until: Millis;
  hasEnded: boolean;
  /** Requests sent since its end. */
  sentSince: number;
}

export interface UpstreamsState extends SharedReadState {
  readonly byId: Map<UpstreamId, Upstream>;
  /** The last entries of upstreams that have left the list, and when they left. */
  readonly removed: Map<UpstreamId, { readonly listed: ListedUpstream; readonly at: Millis }>;
  /** Upstreams that have said that they leave, by the hash of their id and start time. */
  readonly leaving: Map<number, LeavingStatement>;
  /** Pauses that upstreams have asked for, by the hash of their id and start time. */
  readonly pauses: Map<number, Pause>;
  readonly poolSpeeds: Map<PoolId, Speed>;
  readonly poolWaits: Map<PoolId, PoolWait>;
  /** What this instance has told the others of its requests. */
  readonly toldHistory: Map<PoolId, ToldHistory>;
  /** Time at which the platform answered again after an outage. */
  platformRecoveredAt: Millis | undefined;
  /** Whether the list has been read at least once. */
  isKnown: boolean;
  /** Latest changes, for the other instances of the failure domain. */
  readonly history: ListHistory;
}

export function createUpstreamsState(): UpstreamsState {
  return {
    byId: new Map(),
    removed: new Map(),
    leaving: new Map(),
    pauses: new Map(),
    poolSpeeds: new Map(),
    poolWaits: new Map(),
    toldHistory: new Map(),
    ...createSharedReadState(),
    platformRecoveredAt: undefined,
    isKnown: false,
    history: createListHistory(),
  };
}

export function createUpstream(listed: ListedUpstream, now: Millis): Upstream {
  return {
    listed,
    hash: hashUpstream(listed),
    own: { running: 0, pendingTokens: 0, heldTokens: 0 },
    unreadRequests: 0,
    speed: createSpeed(),
    reachability: { kind: 'reachable' },
    lastHeardAt: now,
    failedConnects: 0,
    failureRate: 0,
    missingSince: undefined,
    interruptedRequests: [],
    silencedRequests: [],
  };
}

/** Returns the hash of an upstream's id and start time. */
export function hashUpstream({ id, startedAt }: ListedUpstream): number {
  return hashUpstreamStart(id, startedAt);
}

/** Returns the hash of one start of an upstream. */
export function hashUpstreamStart(id: UpstreamId, startedAt: Millis): number {
  return hash32(`${id}@${startedAt}`);
}
