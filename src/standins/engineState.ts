/**
 * State of one model engine: its attempts, prefix cache, orders and load report, and the faults that
 * affect the engine as a whole.
 */
import type { Millis } from '../core/clock.js';
import { createRandom } from '../core/random.js';
import type { Attempt, AttemptRecord } from './attempts.js';
import type { Batch, BatchStats } from './batch.js';
import { createCacheEvents, type CacheEvents } from './cacheEvents.js';
import { createEngineWork, type EngineWork } from './engineWork.js';
import { engineFaultSchema, type EngineFault } from './faults.js';
import type { HttpServer } from './http.js';
import { createCachedReport, createRateMeter, type LoadReport } from './loadReport.js';
import { createOrders, type OrderRecord, type Orders } from './orders.js';
import { createPrefixCache, type PrefixCache } from './prefixCache.js';

export interface EngineStateOptions {
  readonly seed: number;
  readonly model: string;
  readonly version: string;
  readonly role: string;
  readonly batchSize: number;
  readonly tokenIntervalMs: Millis;
  readonly prefillTokensPerSecond: number;
  readonly cacheBlocks: number;
  readonly cacheEventDelayMs: Millis;
  readonly cacheEventLossRate: number;
  readonly loadLagMs: Millis;
  readonly checksOrders: boolean;
  readonly modelLoadMs: Millis;
  readonly weightsUrl?: string | undefined;
}

/** Body of `GET /_control/log`, which test checks read. */
export interface EngineLog {
  readonly attempts: readonly AttemptRecord[];
  readonly orders: readonly OrderRecord[];
  readonly crashes: readonly EngineCrash[];
}

export interface EngineCrash {
  readonly at: Millis;
  /** Id of the poisoned request that caused the crash, if any. */
  readonly poisonedBy: string | undefined;
  /** Ids of the requests that were in the batch. */
  readonly running: readonly string[];
}

/** Utilization of the engine since its start, from `GET /_control/stats`. */
export interface EngineStats extends BatchStats {
  readonly slots: number;
}

export interface EngineState {
  readonly work: EngineWork;
  readonly batch: Batch<Attempt>;
  readonly orders: Orders;
  readonly cache: PrefixCache;
  readonly cacheEvents: CacheEvents;
  /** See `LoadReport.cacheEpoch`. */
  cacheEpoch: () => number;
  setFault: (fault: EngineFault) => void;
  load: () => LoadReport;
  stats: () => EngineStats;
  log: () => EngineLog;
  stop: () => void;
}

/** Creates the state of the engine that listens on `server`. */
export function createEngineState(cfg: EngineStateOptions, server: HttpServer): EngineState {
  const random = createRandom(cfg.seed);
  const now = () => Date.now();
  const crashes: EngineCrash[] = [];
  let cacheEpoch = 1;
  let isHanging = false;

  const cacheEvents = createCacheEvents({
    delayMs: cfg.cacheEventDelayMs,
    lossRate: cfg.cacheEventLossRate,
    random,
    now,
  });
  const cache = createPrefixCache({ capacity: cfg.cacheBlocks, onChange: cacheEvents.add });
  const work = createEngineWork({
    batchSize: cfg.batchSize,
    tokenIntervalMs: cfg.tokenIntervalMs,
    prefillTokensPerSecond: cfg.prefillTokensPerSecond,
    cache,
    random,
    now,
    onPoisoned: (attempt, restartAfterMs) => crash(restartAfterMs, attempt),
  });
  const { batch } = work;
  const orders = createOrders({
    initial: {
      model: cfg.model,
      version: cfg.version,
      role: cfg.role,
      adapters: {},
      orderNumber: 0,
    },
    checksOrders: cfg.checksOrders,
    loadMs: cfg.modelLoadMs,
    weightsUrl: cfg.weightsUrl,
    onChange: () => {
      if (orders.isLoadingModel()) resetCache();
      updatePause();
    },
  });

  function resetCache(): void {
    cache.clear();
    cacheEvents.clear();
    cacheEpoch += 1;
  }

  function updatePause(): void {
    batch.setPaused(isHanging || orders.isLoadingModel());
  }

  function crash(restartAfterMs: Millis, poisonedBy?: Attempt): void {
    if (!server.isListening()) return;
    const running = work.records().filter(({ outcome }) => outcome === 'running');
    crashes.push({ at: now(), poisonedBy: poisonedBy?.id, running: running.map(({ id }) => id) });
    server.crash(restartAfterMs);
    work.crash();
    resetCache();
    orders.reset();
    updatePause();
  }

  function setFault(input: EngineFault): void {
    const fault = engineFaultSchema.parse(input);
    switch (fault.kind) {
      case 'crash':
        crash(fault.restartAfterMs);
        return;
      case 'hang':
        isHanging = true;
        server.holdRequests();
        updatePause();
        return;
      case 'silent':
        server.silenceConnections();
        return;
      case 'slow':
        batch.setSlowdown(fault.factor);
        return;
      case 'clear':
        isHanging = false;
        work.clearFaults();
        batch.setSlowdown(1);
        updatePause();
        server.releaseRequests();
        return;
      default:
        work.setFault(fault);
    }
  }

  const readTokenRate = createRateMeter(() => batch.stats().tokens);
  const report = createCachedReport<LoadReport>(
    () => ({
      running: batch.running(),
      queued: batch.queued(),
      slots: cfg.batchSize,
      tokensPerSecond: readTokenRate(),
      ...orders.current(),
      cacheEpoch,
    }),
    cfg.loadLagMs,
  );
  const stats = () => ({ ...batch.stats(), slots: cfg.batchSize });
  const log = () => ({ attempts: work.records(), orders: orders.history(), crashes });

  return {
    work,
    batch,
    orders,
    cache,
    cacheEvents,
    cacheEpoch: () => cacheEpoch,
    setFault,
    load: report.current,
    stats,
    log,
    stop: () => {
      report.stop();
      batch.clear();
    },
  };
}
