/** Stand-ins for the systems around primroseswitch: model engines, plain services, the platform. */
export type { AttemptOutcome, AttemptRecord } from './attempts.js';
export * from './content.js';
export * from './engine.js';
export type { EngineCrash, EngineLog, EngineStats } from './engineState.js';
export type { EngineFault, PlatformFault, PlatformPart, ServiceFault } from './faults.js';
export type { LoadReport } from './loadReport.js';
export type { EngineOrder, NumberedOrder, OrderRecord } from './orders.js';
export * from './platform.js';
export { TOKENS_PER_BLOCK } from './prefixCache.js';
export * from './service.js';
export * from './settings.js';
