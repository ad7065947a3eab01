/** Software versions of upstreams, and the streams that they began. */
import type { Millis } from '../../core/clock.js';
import { hash32 } from '../../core/hash.js';
import type { ListedUpstream, PoolId } from '../types.js';

/** Identifies a software version within a pool. */
export type VersionHash = number;
/** Hash of the id of the request that began a stream. */
export type StreamHash = number;

/** The software version that a stream needs. */
export type VersionNeed =
  /** It has no event yet. */
  | { readonly kind: 'any' }
  | { readonly kind: 'only'; readonly version: VersionHash }
  /** It was begun by an upstream whose version is unknown, so that it cannot go on anywhere. */
  | { readonly kind: 'none' };

/** Where a stream began. */
export interface StreamOrigin {
  /** Undefined if its upstream did not tell its version. */
  readonly version: VersionHash | undefined;
  readonly at: Millis;
}

/** A stream that the other instances may have to learn of. */
export interface UntoldStream {
  readonly version: VersionHash;
  /** Number of messages that are still to contain it. */
  readonly sendsLeft: number;
}

/** A version that upstreams of a pool had, and when the last of them left the list. */
export interface FormerVersion {
  /** Undefined if only another instance knows its upstreams. */
  readonly pool: PoolId | undefined;
  readonly version: VersionHash | undefined;
  readonly at: Millis;
}

export interface VersionsState {
  /** Streams that began lately at any instance, oldest first. */
  readonly streams: Map<StreamHash, StreamOrigin>;
  readonly untold: Map<StreamHash, UntoldStream>;
  /** Whether streams of any pool can have been begun by several versions, as of the last message. */
  areSeveral: boolean;
  /** Versions of upstreams that have left the list, by pool and version. */
  readonly former: Map<string, FormerVersion>;
  /** Times since which the versions in the list are known. */
  readonly listedSince: Map<VersionHash, Millis>;
  /** Time since which all versions are known that upstreams of the list had. */
  knownSince: Millis;
  /** Whether the history of the list has been read, which tells of versions of before the start. */
  history: 'unread' | 'pending' | 'read';
  /** Longest deadline of a resumable stream that callers have asked for. */
  longestDeadlineMs: Millis;
}

export function createVersionsState(): VersionsState {
  return {
    streams: new Map(),
    untold: new Map(),
    areSeveral: false,
    former: new Map(),
    listedSince: new Map(),
    knownSince: Infinity,
    history: 'unread',
    longestDeadlineMs: 0,
  };
}

/** Returns the hash of an upstream's version; undefined if it does not tell it. */
export function versionOf({ pool, version }: ListedUpstream): VersionHash | undefined {
  return version === '' ? undefined : hashVersion(pool, version);
}

export function hashVersion(pool: PoolId, version: string): VersionHash {
  return hash32(`${pool}\n${version}`);
}

export function hashStream(requestId: string): StreamHash {
  return hash32(requestId);
}
