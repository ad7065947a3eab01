/**
 * Settings of a set of stand-ins as a YAML document, and the start of all that it lists.
 */
import { parse } from 'yaml';
import * as z from 'zod';
import { createEngineStandin, type EngineStandin } from './engine.js';
import { createPlatformStandin, type PlatformStandin } from './platform.js';
import { createServiceStandin, type ServiceStandin } from './service.js';

const listenShape = {
  host: z.string().optional(),
  port: z.number().int().min(0).optional(),
  seed: z.number().int().optional(),
};
const text = z.string().optional();
const flag = z.boolean().optional();
const share = z.number().min(0).max(1).optional();
const positive = z.number().positive().optional();
const notNegative = z.number().min(0).optional();

const engineSchema = z.strictObject({
  ...listenShape,
  name: z.string(),
  model: text,
  version: text,
  role: text,
  batchSize: positive,
  tokenIntervalMs: notNegative,
  prefillTokensPerSecond: positive,
  echoesRequestId: flag,
  cacheBlocks: notNegative,
  cacheEventDelayMs: notNegative,
  cacheEventLossRate: share,
  loadLagMs: notNegative,
  checksOrders: flag,
  modelLoadMs: notNegative,
  weightsUrl: text,
});

const serviceSchema = z.strictObject({
  ...listenShape,
  name: z.string(),
  latencyMs: notNegative,
  concurrency: positive,
  loadLagMs: notNegative,
});

const platformSchema = z.strictObject({
  ...listenShape,
  appendsPerSecond: positive,
  retentionRecords: positive,
  retentionMs: positive,
  listLagMs: notNegative,
  weightsPerSecond: positive,
  weightBytes: notNegative,
});

const standinSettingsSchema = z.strictObject({
  engines: z.array(engineSchema).default([]),
  services: z.array(serviceSchema).default([]),
  platform: platformSchema.optional(),
});

export type StandinSettings = z.infer<typeof standinSettingsSchema>;

/** Running stand-ins by the names of their settings. */
export interface StandinSet {
  readonly engines: ReadonlyMap<string, EngineStandin>;
  readonly services: ReadonlyMap<string, ServiceStandin>;
  readonly platform: PlatformStandin | undefined;
  stop: () => Promise<void>;
}

/** Parses settings of stand-ins. Throws a `ZodError` or a `YAMLParseError`. */
export function parseStandinSettings(yaml: string): StandinSettings {
  return standinSettingsSchema.parse(parse(yaml) ?? {});
}

/** Drops the keys without a value, so that the defaults of the factories apply. */
function withoutUndefined<T extends object>(
  options: T,
): { [K in keyof T]: Exclude<T[K], undefined> } {
  const entries = Object.entries(options).filter(([, value]) => value !== undefined);
  return Object.fromEntries(entries) as { [K in keyof T]: Exclude<T[K], undefined> };
}

async function startAll<O extends { readonly name: string }, S>(
  list: readonly O[],
  start: (options: { [K in keyof O]: Exclude<O[K], undefined> }) => Promise<S>,
): Promise<ReadonlyMap<string, S>> {
  const started = await Promise.all(
    list.map(async (options) => [options.name, await start(withoutUndefined(options))] as const),
  );
  return new Map(started);
}

/** Starts all stand-ins of the settings. Rejects if a port is taken. */
export async function startStandins(settings: StandinSettings): Promise<StandinSet> {
  const engines = await startAll(settings.engines, createEngineStandin);
  const services = await startAll(settings.services, createServiceStandin);
  const platform =
    settings.platform && (await createPlatformStandin(withoutUndefined(settings.platform)));
  const all = [...engines.values(), ...services.values(), ...(platform ? [platform] : [])];
  return {
    engines,
    services,
    platform,
    stop: async () => {
      await Promise.all(all.map(async (standin) => standin.stop()));
    },
  };
}
