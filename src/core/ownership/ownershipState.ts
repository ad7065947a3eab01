/**
 * State of ownership: the owner of each upstream in the view of this instance, by failure domain.
 */
import type { FailureDomainId, InstanceId, UpstreamConfig, UpstreamId } from '../types.js';

/** The selected owner of an upstream and its rendezvous score. */
export interface ScoredOwner {
  readonly id: InstanceId;
  readonly score: number;
}

/** Owners of the upstreams of a domain; updated lazily on access. */
export interface DomainOwners {
  readonly owners: Map<UpstreamId, ScoredOwner>;
  candidates: ReadonlySet<InstanceId>;
  generation: number;
  configurationVersion: number;
}

export interface OwnershipState {
  readonly domains: Map<FailureDomainId, DomainOwners>;
  upstreamsByDomain: ReadonlyMap<FailureDomainId, readonly UpstreamConfig[]>;
  /** Version that `upstreamsByDomain` was computed from. */
  indexedVersion: number;
  owned: readonly UpstreamConfig[];
  /** Membership generation and configuration version that `owned` was computed from. */
  ownedGeneration: number;
  ownedVersion: number;
}

export function createOwnershipState(): OwnershipState {
  return {
    domains: new Map(),
    upstreamsByDomain: new Map(),
    indexedVersion: -1,
    owned: [],
    ownedGeneration: -1,
    ownedVersion: -1,
  };
}
