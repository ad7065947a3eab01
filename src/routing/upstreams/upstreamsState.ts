/** What is believed of the upstreams: the list, their open work, their speed and their health. */
import type { Millis } from '../../core/clock.js';
import { hash32 } from '../../core/hash.js';
import type { ListedUpstream, PoolId, UpstreamId } from '../types.js';
import type { PollState } from '../polls.js';
import type { PoolWait } from '../placement/poolWait.js';
import { createSpeed, type Speed } from './speed.js';

/** Whether an upstream answers. */
export type Reachability =
  | { readonly kind: 'reachable' }
  /** Nothing came from it for too long, or it refuses connections. */
  | { readonly kind: 'lost'; readonly since: Millis; readonly probeAt: Millis };

/** Work that was sent to an upstream and has not ended. */
export interface OpenWork {
  readonly running: number;
  /** Prompt tokens that have to be read before the first event, of requests that have none yet. */
  readonly pendingTokens: number;
  /** Tokens that the running requests keep in the upstream's memory. */
  readonly heldTokens: number;
}

export interface Upstream {
  listed: ListedUpstream;
  /** Identifies this start of the upstream in messages between instances. */
  hash: number;
  readonly own: { -readonly [K in keyof OpenWork]: OpenWork[K] };
  readonly speed: Speed;
  reachability: Reachability;
  /** Time at which anything last came from the upstream. */
  lastHeardAt: Millis;
  /** Connections in a row that could not be opened. */
  failedConnects: number;
  /** Part of the recent requests that failed, from 0 to 1. */
  failureRate: number;
  /** Time at which the entry left the list while the platform had been away. */
  missingSince: Millis | undefined;
  /** Requests that were cut off lately. */
  cuts: CutRequest[];
}

export interface CutRequest {
  readonly fingerprint: number;
  readonly at: Millis;
}

export interface UpstreamsState extends PollState {
  readonly byId: Map<UpstreamId, Upstream>;
  readonly speeds: Map<PoolId, Speed>;
  readonly waits: Map<PoolId, PoolWait>;
  /** Time at which the platform answered again after it had been away. */
  regainedAt: Millis | undefined;
  /** Whether the list has been read at least once. */
  isKnown: boolean;
  /** Start of the last sound read. */
  readAt: Millis | undefined;
}

export function createUpstreamsState(): UpstreamsState {
  return {
    byId: new Map(),
    speeds: new Map(),
    waits: new Map(),
    cursor: undefined,
    failures: 0,
    regainedAt: undefined,
    isKnown: false,
    readAt: undefined,
  };
}

export function createUpstream(listed: ListedUpstream, now: Millis): Upstream {
  return {
    listed,
    hash: hashOf(listed),
    own: { running: 0, pendingTokens: 0, heldTokens: 0 },
    speed: createSpeed(),
    reachability: { kind: 'reachable' },
    lastHeardAt: now,
    failedConnects: 0,
    failureRate: 0,
    missingSince: undefined,
    cuts: [],
  };
}

/** Hash of an upstream's id and start. */
export function hashOf(listed: ListedUpstream): number {
  return hash32(`${listed.id}@${listed.bornAt}`);
}
