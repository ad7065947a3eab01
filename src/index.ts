/**
 * Entry point of the library. Exports the core with its events, effects and messages, the codec of
 * peer messages, the types of the hosts, the instance that combines them, and the parsers of
 * settings and configuration documents.
 */
export * from './core/core.js';
export * from './core/clock.js';
export * from './core/settings.js';
export * from './core/diagnostics.js';
export type * from './core/types.js';
export { parseDocument } from './configuration/document.js';
export { parseInitialView, type InitialViewResult } from './configuration/initialView.js';
export * from './configuration/settings.js';
export * from './protocol/codec.js';
export type * from './hosts/types.js';
export * from './daemon/instance.js';
export * from './daemon/loop.js';
export { createEffectRunner, type EffectRunnerOptions, type Hosts } from './daemon/effects.js';
