/** The load that the demonstration sends: four customers, of which one floods. */
import { stringify } from 'yaml';
import { parseLoadFile, type LoadFile } from '../../bench/load/index.js';
import { DEMO_CUSTOMERS, MODEL_POOL, SERVICE_POOL } from './demoDocument.js';
import type { Millis } from '../../core/clock.js';
import type { DemoFleet } from './demoFleet.js';

/** Requests per second: more than the engines can run for the first two customers. */
const RATES: Readonly<Record<string, number>> = {
  'orchard-north': 40,
  'orchard-south': 60,
  'depot-clerks': 15,
  installers: 4,
};

/** Builds the load for a running fleet. */
export function createDemoLoad(fleet: DemoFleet, durationMs: Millis): LoadFile {
  const targets = (wanted: string) =>
    fleet.upstreams
      .filter(({ pool }) => pool === wanted)
      .map(({ id, pool, url }) => ({ name: id, pool, url }));
  const parsed = parseLoadFile(
    stringify({
      seed: 1,
      durationMs,
      sampleMs: 250,
      instances: fleet.instances.map(({ id, addresses }) => ({
        name: id,
        url: `http://${addresses.callers}`,
        statusUrl: `http://${addresses.operators}/status`,
      })),
      engines: targets(MODEL_POOL),
      services: targets(SERVICE_POOL),
      pools: [
        { name: MODEL_POOL, cost: { perPromptToken: 1, perOutputToken: 2 } },
        { name: SERVICE_POOL, cost: { perCall: 1 } },
      ],
      customers: DEMO_CUSTOMERS.map(({ name, key, weight }) => ({
        name,
        key,
        weight,
        ratePerSecond: RATES[name] ?? 1,
        mix: [
          { kind: 'completion', pool: MODEL_POOL, share: 4, maxTokens: [8, 48] },
          { kind: 'call', pool: SERVICE_POOL, method: 'POST', path: '/reserve', idempotent: false },
        ],
      })),
    }),
  );
  if (parsed.kind === 'rejected') throw new Error(JSON.stringify(parsed.issues));
  return parsed.value;
}
