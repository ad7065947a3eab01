/** Failure domains, customers and configuration document of the demo fleet. */
import { createHash } from 'node:crypto';
import { stringify } from 'yaml';
import { SECTION_NAMES } from '../../configuration/types.js';

export interface DemoDomain {
  readonly domain: string;
  readonly region: string;
}

export interface DemoCustomer {
  readonly name: string;
  readonly key: string;
  readonly weight: number;
}

/** A running upstream. */
export interface DemoUpstream extends DemoDomain {
  readonly id: string;
  readonly pool: string;
  readonly url: string;
  readonly slots: number;
}

export const MODEL_POOL = 'assistant';
export const SERVICE_POOL = 'booking';

export const DEMO_DOMAINS: readonly DemoDomain[] = [
  { domain: 'iasi-a', region: 'moldova' },
  { domain: 'cluj-a', region: 'transilvania' },
  { domain: 'pitesti-a', region: 'muntenia' },
];

export const DEMO_CUSTOMERS: readonly DemoCustomer[] = [
  { name: 'orchard-north', key: 'demo-orchard-north', weight: 2 },
  { name: 'orchard-south', key: 'demo-orchard-south', weight: 1 },
  { name: 'depot-clerks', key: 'demo-depot-clerks', weight: 1 },
  { name: 'installers', key: 'demo-installers', weight: 1 },
];

const OPERATORS_KEY = 'demo-operators';

/** Creates the configuration document for the given upstreams. */
export function createDemoDocument(upstreams: readonly DemoUpstream[]): string {
  return stringify({
    teams: { operators: { keyHashes: [hashOf(OPERATORS_KEY)], sections: SECTION_NAMES } },
    customers: Object.fromEntries(
      DEMO_CUSTOMERS.map(({ name, key }) => [name, { keyHashes: [hashOf(key)] }]),
    ),
    entitlements: Object.fromEntries(
      DEMO_CUSTOMERS.map(({ name, weight }) => [name, { [MODEL_POOL]: weight }]),
    ),
    pools: {
      [MODEL_POOL]: { kind: 'model', cost: { perPromptToken: 1, perOutputToken: 2 } },
      [SERVICE_POOL]: { kind: 'service', cost: { perSlotMs: 1 } },
    },
    upstreams: Object.fromEntries(upstreams.map(({ id, ...upstream }) => [id, upstream])),
    routes: {
      [SERVICE_POOL]: [
        { pathPrefix: '/', methods: ['GET'], idempotent: true },
        { pathPrefix: '/', methods: ['POST'], idempotent: false },
      ],
    },
    fairness: { scope: 'pool', debtCap: 1_000_000, chargeStep: 64 },
  });
}

function hashOf(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
