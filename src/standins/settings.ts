/** Settings of a set of stand-ins in YAML, and the function that starts all of them. */
import { parse } from 'yaml';
import * as z from 'zod';
import { createEngineStandin, type EngineStandin } from './engine.js';
import { createPlatformStandin, type PlatformStandin } from './platform.js';
import { createServiceStandin, type ServiceStandin } from './service.js';

const listenFields = {
  host: z.string().optional(),
  port: z.number().int().min(0).optional(),
  seed: z.number().int().optional(),
};
const text = z.string().optional();
const flag = z.boolean().optional();
const fraction = z.number().min(0).max(1).optional();
const positive = z.number().positive().optional();
const nonNegative = z.number().min(0).optional();

const engineSchema = z.strictObject({
  ...listenFields,
  name: z.string(),
  model: text,
  version: text,
  role: text,
  batchSize: positive,
  tokenIntervalMs: nonNegative,
  prefillTokensPerSecond: positive,
  echoesRequestId: flag,
  cacheBlocks: nonNegative,
  cacheEventDelayMs: nonNegative,
  cacheEventLossRate: fraction,
  loadLagMs: nonNegative,
  checksOrders: flag,
  modelLoadMs: nonNegative,
  weightsUrl: text,
});

const serviceSchema = z.strictObject({
  ...listenFields,
  name: z.string(),
  latencyMs: nonNegative,
  concurrency: positive,
  loadLagMs: nonNegative,
});

const platformSchema = z.strictObject({
  ...listenFields,
  appendsPerSecond: positive,
  retentionRecords: positive,
  retentionMs: positive,
  listLagMs: nonNegative,
  weightsPerSecond: positive,
  weightBytes: nonNegative,
});

const standinSettingsSchema = z.strictObject({
  engines: z.array(engineSchema).default([]),
  services: z.array(serviceSchema).default([]),
  platform: platformSchema.optional(),
});

export type StandinSettings = z.infer<typeof standinSettingsSchema>;

/** Running stand-ins, by their names in the settings. */
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

/** Removes the keys whose value is `undefined`, so that the defaults of the factories apply. */
function omitUndefined<T extends object>(options: T): { [K in keyof T]: Exclude<T[K], undefined> } {
  const entries = Object.entries(options).filter(([, value]) => value !== undefined);
  return Object.fromEntries(entries) as { [K in keyof T]: Exclude<T[K], undefined> };
}

async function startAll<O extends { readonly name: string }, S>(
  list: readonly O[],
  start: (options: { [K in keyof O]: Exclude<O[K], undefined> }) => Promise<S>,
): Promise<ReadonlyMap<string, S>> {
  const started = await Promise.all(
    list.map(async (options) => [options.name, await start(omitUndefined(options))] as const),
  );
  return new Map(started);
}

/** Starts all stand-ins of the settings. Rejects if a port is in use. */
export async function startStandins(settings: StandinSettings): Promise<StandinSet> {
  const engines = await startAll(settings.engines, createEngineStandin);
  const services = await startAll(settings.services, createServiceStandin);
  const platform =
    settings.platform && (await createPlatformStandin(omitUndefined(settings.platform)));
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
