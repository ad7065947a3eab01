/** Load on a fake network that keeps every customer's queue filled, and what came of it. */
import type { SharingConditions } from '../../src/core/shares/bound.js';
import { createRandom } from '../../src/core/random.js';
import { createTestView } from './configuration.js';
import {
  createFakeNetwork,
  type FakeNetwork,
  type FakeNetworkOptions,
} from '../../src/bench/support/fakeNetwork.js';

export const LINK_DELAY_MS = 12;
export const TOKENS_PER_SECOND = 100;

/** Price of an output token in the test configuration. */
export const PER_OUTPUT_TOKEN = 2;

const CHARGE_STEP = 100;
const CROSSING_PRICE_MS = 100;
const REFILL_MS = 20;

export interface FloodingCustomer {
  readonly weight: number;
  /** Index of the one instance that takes its requests; absent for all. */
  readonly instance?: number;
  readonly tokens: number;
  /** Factor on the true cost in the hint; absent for no hint. */
  readonly hint?: number;
  /** Time, after the load began, at which the customer's requests begin. */
  readonly startsAfterMs?: number;
}

export interface SharingLoad {
  readonly seed: number;
  /** Instances and slots of the upstreams, by failure domain. */
  readonly domains: readonly {
    readonly instances: number;
    readonly upstreams: readonly number[];
  }[];
  readonly customers: readonly FloodingCustomer[];
  readonly suspendShare?: number;
  readonly network?: Partial<FakeNetworkOptions>;
}

export interface SharingRun {
  readonly network: FakeNetwork;
  readonly conditions: SharingConditions;
  readonly slots: number;
  /** True service in cost units per weight, by customer from 1. */
  readonly virtualServed: () => readonly number[];
}

/** Builds the fleet, waits until it knows itself and fills the queues from then on. */
export function startSharing(load: SharingLoad): SharingRun {
  const slots = load.domains.flatMap(({ upstreams }) => upstreams).reduce((a, b) => a + b, 0);
  const network = createNetwork(load);
  network.runUntil(8_000);
  const random = createRandom(load.seed);
  const ids = [...network.nodes.keys()];
  const start = network.now();
  const refill = () => {
    load.customers.forEach((customer, i) => {
      if (network.now() < start + (customer.startsAfterMs ?? 0)) return;
      const number = i + 1;
      while ((network.waiting.get(number)?.size ?? 0) < 2 * slots) {
        const at = customer.instance ?? random.nextInt(ids.length);
        const tokens = 1 + random.nextInt(customer.tokens);
        const hint = customer.hint === undefined ? {} : { costHint: tokens * customer.hint };
        const instance = ids[at % ids.length] as string;
        network.submit({ instance, customer: number, tokens, ...hint });
      }
    });
    network.at(network.now() + REFILL_MS, refill);
  };
  refill();
  return {
    network,
    slots,
    conditions: conditionsOf(load, slots),
    virtualServed: () =>
      load.customers.map(
        ({ weight }, i) => ((network.served.get(i + 1) ?? 0) * PER_OUTPUT_TOKEN) / weight,
      ),
  };
}

function createNetwork(load: SharingLoad): FakeNetwork {
  const upstreams = load.domains.flatMap((domain, d) =>
    domain.upstreams.map((slots, n) => ({
      id: `d${d}-e${n}`,
      domain: `d${d}`,
      region: `r${d}`,
      slots,
    })),
  );
  const view = createTestView({
    upstreams,
    customers: load.customers.length,
    weights: new Map(load.customers.map(({ weight }, i) => [i + 1, weight])),
    pool: { suspendShare: load.suspendShare ?? 0.25, crossRegionPriceMs: CROSSING_PRICE_MS },
  });
  return createFakeNetwork({
    seed: load.seed,
    view,
    instances: load.domains.flatMap((domain, d) =>
      Array.from({ length: domain.instances }, (_, n) => ({
        id: `d${d}-i${n}`,
        domain: `d${d}`,
        region: `r${d}`,
      })),
    ),
    delayMs: (from, to) => (from.region === to.region ? 1 : LINK_DELAY_MS),
    tokensPerSecond: TOKENS_PER_SECOND,
    ...load.network,
  });
}

function conditionsOf(load: SharingLoad, slots: number): SharingConditions {
  const { customers } = load;
  return {
    slots,
    largestRequest: Math.max(...customers.map(({ tokens }) => tokens)) * PER_OUTPUT_TOKEN,
    chargeStep: CHARGE_STEP,
    slotRate: TOKENS_PER_SECOND * PER_OUTPUT_TOKEN,
    leastWeight: Math.min(...customers.map(({ weight }) => weight)),
    delayMs: LINK_DELAY_MS + (load.network?.jitterMs ?? 0),
    crossRegionPriceMs: CROSSING_PRICE_MS,
    lostMessages: (load.network?.loss ?? 0) > 0 ? 2 : 0,
    customers: customers.length,
    instancesInDomain: Math.max(...load.domains.map(({ instances }) => instances)),
  };
}
