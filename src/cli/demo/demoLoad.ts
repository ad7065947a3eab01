/** Load of the demo: four customers, of which `orchard-south` sends far more than its share. */
import { stringify } from 'yaml';
import { parseLoadFile, type LoadFile } from '../../bench/load/index.js';
import { DEMO_CUSTOMERS, MODEL_POOL, SERVICE_POOL } from './demoDocument.js';
import type { Millis } from '../../core/clock.js';
import type { DemoFleet } from './demoFleet.js';

/** Requests per second by customer. The engines cannot process all that the first two send. */
const RATES: Readonly<Record<string, number>> = {
  'orchard-north': 40,
  'orchard-south': 60,
  'depot-clerks': 15,
  installers: 4,
};

/** Creates the load for a running fleet. */
export function createDemoLoad(fleet: DemoFleet, durationMs: Millis): LoadFile {
  const targets = (poolName: string) =>
    fleet.upstreams
      .filter(({ pool }) => pool === poolName)
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
