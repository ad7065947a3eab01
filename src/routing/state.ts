/**
 * State of the routing core. Only the modules of a folder write to that folder's part of the state.
 */
import type { Millis } from '../core/clock.js';
import { createRandom, type Random } from '../core/random.js';
import type { InstanceIdentity } from '../core/types.js';
import { createPrefixCacheTable, type PrefixCacheTable } from './placement/prefixCacheTable.js';
import { createRequestsState, type RequestsState } from './attempts/attemptsState.js';
import { createExchangeState, type ExchangeState } from './exchange/exchangeState.js';
import { createFreshnessState, type FreshnessState } from './freshness/freshnessState.js';
import { createInstanceLoad, type InstanceLoad } from './load/instanceLoad.js';
import { createRateLimitsState, type RateLimitsState } from './rateLimits/rateLimitsState.js';
import type { RetryBudget } from './retries/retryBudget.js';
import type { RoutingSettings } from './settings.js';
import { createSharesState, type SharesState } from './shares/sharesState.js';
import { createSuspectsState, type SuspectsState } from './suspects/suspectsState.js';
import type { Era, FailureDomainId, PoolId, RegionId } from './types.js';
import { createUpstreamsState, type UpstreamsState } from './upstreams/upstreamsState.js';
import { createVersionsState, type VersionsState } from './versions/versionsState.js';

export type RoutingPhase = 'starting' | 'running' | 'stopping' | 'stopped';

export interface RoutingState {
  readonly self: InstanceIdentity;
  settings: RoutingSettings;
  readonly regions: ReadonlyMap<FailureDomainId, RegionId>;
  readonly random: Random;
  phase: RoutingPhase;
  isReady: boolean;
  stopRequestedAt: Millis | undefined;
  /** Latest era of the platform in which anything was read, if the platform tells. */
  platformEra: Era | undefined;
  readonly freshness: FreshnessState;
  readonly upstreams: UpstreamsState;
  readonly exchange: ExchangeState;
  readonly requests: RequestsState;
  readonly shares: SharesState;
  readonly prefixes: PrefixCacheTable;
  readonly retries: Map<PoolId, RetryBudget>;
  readonly suspects: SuspectsState;
  readonly rateLimits: RateLimitsState;
  readonly versions: VersionsState;
  readonly load: InstanceLoad;
}

export interface RoutingStateOptions {
  readonly self: InstanceIdentity;
  readonly settings: RoutingSettings;
  readonly regions: ReadonlyMap<FailureDomainId, RegionId>;
  readonly seed: number;
}

export function createRoutingState(options: RoutingStateOptions): RoutingState {
  return {
    self: options.self,
    settings: options.settings,
    regions: options.regions,
    random: createRandom(options.seed),
    phase: 'starting',
    isReady: false,
    stopRequestedAt: undefined,
    platformEra: undefined,
    freshness: createFreshnessState(),
    upstreams: createUpstreamsState(),
    exchange: createExchangeState(),
    requests: createRequestsState(),
    shares: createSharesState(),
    prefixes: createPrefixCacheTable(),
    retries: new Map(),
    suspects: createSuspectsState(),
    rateLimits: createRateLimitsState(),
    versions: createVersionsState(),
    load: createInstanceLoad(),
  };
}
