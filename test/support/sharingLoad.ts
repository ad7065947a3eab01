/** Runs a load on a simulated network in which every customer always has requests waiting. */
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

/** Cost of an output token in the test configuration. */
export const PER_OUTPUT_TOKEN = 2;

const CHARGE_STEP = 100;
const CROSS_REGION_PRICE_MS = 100;
const REFILL_INTERVAL_MS = 20;

export interface BackloggedCustomer {
  readonly weight: number;
  /** Index of the instance that receives all its requests; if absent, requests go to random instances. */
  readonly instance?: number;
  /** Maximum number of output tokens per request. */
  readonly tokens: number;
  /** Cost hint divided by the number of output tokens; if absent, requests carry no hint. */
  readonly hint?: number;
  /** Delay between the start of the load and the customer's first request. */
  readonly startsAfterMs?: number;
}

export interface SharingLoad {
  readonly seed: number;
  /** Number of instances and slots of each upstream, by failure domain. */
  readonly domains: readonly {
    readonly instances: number;
    readonly upstreams: readonly number[];
  }[];
  readonly customers: readonly BackloggedCustomer[];
  readonly suspendShare?: number;
  readonly network?: Partial<FakeNetworkOptions>;
}

export interface SharingRun {
  readonly network: FakeNetwork;
  readonly conditions: SharingConditions;
  readonly slots: number;
  /** Returns the service received by customers 1, 2, …, in cost units divided by weight. */
  readonly virtualService: () => readonly number[];
}

/** Creates the fleet, runs it until membership has converged and then keeps the queues filled. */
export function startSharingLoad(load: SharingLoad): SharingRun {
  const slots = load.domains.flatMap(({ upstreams }) => upstreams).reduce((a, b) => a + b, 0);
  const network = createNetwork(load);
  network.runUntil(8_000);
  const random = createRandom(load.seed);
  const instanceIds = [...network.nodes.keys()];
  const start = network.now();
  const refill = () => {
    load.customers.forEach((customer, i) => {
      if (network.now() < start + (customer.startsAfterMs ?? 0)) return;
      const number = i + 1;
      while ((network.waiting.get(number)?.size ?? 0) < 2 * slots) {
        const instanceIndex = customer.instance ?? random.nextInt(instanceIds.length);
        const tokens = 1 + random.nextInt(customer.tokens);
        const hint = customer.hint === undefined ? {} : { costHint: tokens * customer.hint };
        const instance = instanceIds[instanceIndex % instanceIds.length] as string;
        network.submit({ instance, customer: number, tokens, ...hint });
      }
    });
    network.at(network.now() + REFILL_INTERVAL_MS, refill);
  };
  refill();
  return {
    network,
    slots,
    conditions: conditionsOf(load, slots),
    virtualService: () =>
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
    pool: { suspendShare: load.suspendShare ?? 0.25, crossRegionPriceMs: CROSS_REGION_PRICE_MS },
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
    crossRegionPriceMs: CROSS_REGION_PRICE_MS,
    lostMessages: (load.network?.loss ?? 0) > 0 ? 2 : 0,
    customers: customers.length,
    instancesInDomain: Math.max(...load.domains.map(({ instances }) => instances)),
  };
}
