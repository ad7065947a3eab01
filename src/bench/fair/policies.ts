/**
 * Measures the sharing policy on the fake network for the shapes of two deployments and compares it
 * with three baselines: no exchange of service sums between instances, first come first served, and
 * a single owner of all upstreams.
 */
import { serviceGapBound, type SharingConditions } from '../../core/shares/bound.js';
import { createRandom } from '../../core/random.js';
import { topByRendezvousScore } from '../../core/membership/memberIndex.js';
import { DEFAULT_CORE_SETTINGS } from '../../core/settings.js';
import type { ConfigurationView, Member, UpstreamConfig } from '../../core/types.js';
import { createFakeNetwork, type FakeNetwork } from '../support/fakeNetwork.js';
import { createFleetView } from '../support/fleetView.js';
import { createProbe, type LinkClass } from './probe.js';

export interface Shape {
  readonly name: string;
  /** Number of instances in each of the three domains. Each domain is in its own region. */
  readonly instances: readonly number[];
  readonly engines: number;
}

export const SHAPES: readonly Shape[] = [
  { name: 'Cherry Net Hire', instances: [3, 3, 2], engines: 13 },
  { name: 'Lembah Salju', instances: [3, 3, 2], engines: 6 },
];

export const POLICIES = ['shared', 'no exchange', 'first come', 'one owner'] as const;
export type Policy = (typeof POLICIES)[number];

export interface PolicyResult {
  readonly shape: string;
  readonly policy: Policy;
  /** Largest difference in service between two large customers, divided by `serviceGapBound`. */
  readonly gapToBound: number;
  readonly utilisation: number;
  /** 95th percentile of the time to the first token of short requests. */
  readonly quickP95Ms: number;
  /** The same while the large customers send nothing. */
  readonly quickP95IdleMs: number;
  readonly requests: number;
  readonly bytesPerRequest: number;
  readonly bytesPerSecond: Readonly<Record<LinkClass, number>>;
}

const SEEDS = [1, 2, 3] as const;
const SLOTS = 8;
const TOKENS_PER_SECOND = 50;
const PER_OUTPUT_TOKEN = 2;
const CHARGE_STEP = 100;
const REGION_DELAY_MS = 12;
const TICK_MS = 20;
const WARM_UP_MS = 8_000;
const SETTLE_MS = 10_000;
const DURATION_MS = 60_000;
const SAMPLE_MS = 100;
const REFILL_MS = 20;

/** Maximum output tokens per request of each of the three large customers. */
const LARGE_TOKENS = [600, 200, 100] as const;
const SMALL_CUSTOMERS = 13;
const SHORT_TOKENS = 20;
const SHORT_INTERVAL_MS = 2_000;

/**
 * Measures a policy with several seeds. Returns the worst value of each metric, except for the number
 * of requests and the bytes, for which it returns the mean.
 */
export function measurePolicy(shape: Shape, policy: Policy): PolicyResult {
  const flooded = SEEDS.map((seed) => runPolicy(shape, policy, true, seed));
  const idle = SEEDS.map((seed) => runPolicy(shape, policy, false, seed));
  const worst = (of: readonly PolicyResult[], metric: (result: PolicyResult) => number) =>
    Math.max(...of.map(metric));
  const mean = (metric: (result: PolicyResult) => number) =>
    flooded.reduce((sum, result) => sum + metric(result), 0) / SEEDS.length;
  return {
    shape: shape.name,
    policy,
    gapToBound: worst(flooded, (result) => result.gapToBound),
    utilisation: Math.min(...flooded.map((result) => result.utilisation)),
    quickP95Ms: worst(flooded, (result) => result.quickP95Ms),
    quickP95IdleMs: worst(idle, (result) => result.quickP95Ms),
    requests: mean((result) => result.requests),
    bytesPerRequest: mean((result) => result.bytesPerRequest),
    bytesPerSecond: {
      sameDomain: mean((result) => result.bytesPerSecond.sameDomain),
      sameRegion: mean((result) => result.bytesPerSecond.sameRegion),
      crossRegion: mean((result) => result.bytesPerSecond.crossRegion),
    },
  };
}

function runPolicy(shape: Shape, policy: Policy, withFlood: boolean, seed: number): PolicyResult {
  const probe = createProbe();
  const instances = createInstances(shape, policy);
  const view = createPolicyView(shape, policy, instances);
  const noExchange = { exchangeMs: 1e9 };
  const network = createFakeNetwork({
    seed,
    view,
    instances,
    tickMs: TICK_MS,
    tokensPerSecond: TOKENS_PER_SECOND,
    jitterMs: 1,
    delayMs: (from, to) => (from.region === to.region ? 1 : REGION_DELAY_MS),
    ...(policy === 'no exchange' ? { settings: noExchange } : {}),
    ...probe.hooks,
  });
  network.runUntil(WARM_UP_MS);
  const load = startLoad(network, shape, policy, withFlood, seed);
  network.runUntil(network.now() + SETTLE_MS);
  probe.reset();
  const slots = shape.engines * SLOTS;
  const busyBefore = network.busySlotMs();
  const jobsBefore = network.jobs.size;
  const bound = serviceGapBound(DEFAULT_CORE_SETTINGS, createConditions(slots));
  const end = network.now() + DURATION_MS;
  let gap = 0;
  while (network.now() < end) {
    network.runUntil(network.now() + SAMPLE_MS);
    const served = LARGE_TOKENS.map((_, i) => (network.served.get(i + 1) ?? 0) * PER_OUTPUT_TOKEN);
    gap = Math.max(gap, Math.max(...served) - Math.min(...served));
  }
  const requests = network.jobs.size - jobsBefore;
  const bytes = probe.bytes();
  const perSecond = (amount: number) => (amount * 1_000) / DURATION_MS / instances.length;
  return {
    shape: shape.name,
    policy,
    gapToBound: gap / bound,
    utilisation: (network.busySlotMs() - busyBefore) / (DURATION_MS * slots),
    quickP95Ms: percentile(load.shortRequestWaits(), 0.95),
    quickP95IdleMs: 0,
    requests,
    bytesPerRequest: (bytes.sameDomain + bytes.sameRegion + bytes.crossRegion) / requests,
    bytesPerSecond: {
      sameDomain: perSecond(bytes.sameDomain),
      sameRegion: perSecond(bytes.sameRegion),
      crossRegion: perSecond(bytes.crossRegion),
    },
  };
}

/** Three large customers keep their queues filled; small customers send short requests occasionally. */
function startLoad(
  network: FakeNetwork,
  shape: Shape,
  policy: Policy,
  withFlood: boolean,
  seed: number,
) {
  const random = createRandom(seed);
  const ids = [...network.nodes.keys()];
  const depth = 2 * shape.engines * SLOTS;
  // If all requests carry the same key, they are served in order of arrival.
  const key = policy === 'first come' ? { keyOf: 1 } : {};
  const shortRequests: string[] = [];
  const refill = () => {
    LARGE_TOKENS.forEach((largest, i) => {
      const customer = i + 1;
      while ((network.waiting.get(customer)?.size ?? 0) < depth) {
        // The first customer sends all requests to one instance; the others use all instances.
        const instance = ids[i === 0 ? 0 : random.nextInt(ids.length)] as string;
        network.submit({ instance, customer, tokens: 1 + random.nextInt(largest), ...key });
      }
    });
    network.at(network.now() + REFILL_MS, refill);
  };
  if (withFlood) refill();
  for (let i = 0; i < SMALL_CUSTOMERS; i += 1) {
    const customer = LARGE_TOKENS.length + 1 + i;
    const submitShort = () => {
      const instance = ids[random.nextInt(ids.length)] as string;
      shortRequests.push(
        network.submit({ instance, customer, tokens: SHORT_TOKENS, ...key }).requestId,
      );
      network.at(network.now() + random.next() * 2 * SHORT_INTERVAL_MS, submitShort);
    };
    network.at(network.now() + random.next() * SHORT_INTERVAL_MS, submitShort);
  }
  return {
    /** Times to the first token. A request without one counts with its wait so far. */
    shortRequestWaits: () =>
      shortRequests.map((id) => {
        const job = network.jobs.get(id);
        return (job?.firstTokenAt ?? network.now()) - (job?.submittedAt ?? 0);
      }),
  };
}

function createInstances(shape: Shape, policy: Policy) {
  return shape.instances.flatMap((count, d) =>
    Array.from({ length: count }, (_, n) => ({
      id: `d${d}-i${n}`,
      domain: policy === 'one owner' ? 'd0' : `d${d}`,
      region: `r${d}`,
    })),
  );
}

function createPolicyView(
  shape: Shape,
  policy: Policy,
  instances: ReturnType<typeof createInstances>,
): ConfigurationView {
  const customers = LARGE_TOKENS.length + SMALL_CUSTOMERS;
  const view = createFleetView({
    customers,
    upstreams: shape.engines,
    slots: SLOTS,
    domains: 3,
    regions: 3,
  });
  if (policy !== 'one owner') return view;
  const upstreams = [...view.upstreams.values()].map((upstream) =>
    assignToFirstInstance(upstream, instances),
  );
  return {
    ...view,
    upstreams: new Map(upstreams.map((upstream) => [upstream.id, upstream])),
    upstreamsByPool: new Map([['pool0', upstreams]]),
  };
}

/** Changes the ID of an upstream until rendezvous hashing assigns it to the first instance. */
function assignToFirstInstance(
  upstream: UpstreamConfig,
  instances: ReturnType<typeof createInstances>,
): UpstreamConfig {
  const members = instances.map((instance) => instance as unknown as Member);
  for (let n = 0; ; n += 1) {
    const id = `${upstream.id}-${n}`;
    if (topByRendezvousScore(members, id, 1)[0]?.id === instances[0]?.id) {
      return { ...upstream, id, domain: 'd0', region: 'r0' };
    }
  }
}

function createConditions(slots: number): SharingConditions {
  return {
    slots,
    largestRequest: Math.max(...LARGE_TOKENS) * PER_OUTPUT_TOKEN,
    chargeStep: CHARGE_STEP,
    slotRate: TOKENS_PER_SECOND * PER_OUTPUT_TOKEN,
    leastWeight: 1,
    delayMs: REGION_DELAY_MS + 1,
    crossRegionPriceMs: 100,
    lostMessages: 0,
    customers: LARGE_TOKENS.length + SMALL_CUSTOMERS,
  };
}

function percentile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}
