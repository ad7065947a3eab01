/** Measures control bytes and processor time per instance against fleet size, on the fake network. */
import { createRandom } from '../../core/random.js';
import { createFakeNetwork, type FakeNetwork } from '../support/fakeNetwork.js';
import { createFleetView } from '../support/fleetView.js';
import { createProbe } from './probe.js';

export interface FleetSize {
  readonly customers: number;
  readonly instances: number;
  readonly engines: number;
  readonly exchangeMs?: number;
}

export interface SlopeResult extends FleetSize {
  /** Per instance and second. */
  readonly bytes: number;
  readonly crossRegionBytes: number;
  /** Processor time for timers and peer messages, in milliseconds per instance and second. */
  readonly controlMs: number;
  /** The three kinds of message with the most bytes, and the bytes of each. */
  readonly largestKinds: string;
}

const BASE: FleetSize = { customers: 100, instances: 9, engines: 20 };

export const SLOPE_SIZES: readonly FleetSize[] = [
  ...[10, 100, 300, 900].map((customers) => ({ ...BASE, customers })),
  ...[3, 9, 27, 60].map((instances) => ({ ...BASE, instances })),
  ...[10, 100, 1_000].map((engines) => ({ ...BASE, engines })),
  { customers: 900, instances: 27, engines: 400, exchangeMs: 1_000 },
];

const INSTANCES_PER_DOMAIN = 9;
const REGIONS = 3;
const SLOTS = 4;
const TOKENS_PER_SECOND = 50;
const LARGEST_TOKENS = 400;
const TICK_MS = 100;
const WARM_UP_MS = 8_000;
const SETTLE_MS = 4_000;
const DURATION_MS = 10_000;
const REFILL_MS = 100;

/** Measures a fleet in which every customer has requests waiting throughout. */
export function measureSlope(size: FleetSize): SlopeResult {
  const probe = createProbe();
  const domains = Math.max(3, Math.ceil(size.instances / INSTANCES_PER_DOMAIN));
  const network = createFakeNetwork({
    seed: 1,
    view: createFleetView({
      customers: size.customers,
      upstreams: size.engines,
      slots: SLOTS,
      domains,
      regions: REGIONS,
    }),
    instances: Array.from({ length: size.instances }, (_, i) => ({
      id: `i${i}`,
      domain: `d${i % domains}`,
      region: `r${(i % domains) % REGIONS}`,
    })),
    tickMs: TICK_MS,
    settings: size.exchangeMs === undefined ? {} : { exchangeMs: size.exchangeMs },
    tokensPerSecond: TOKENS_PER_SECOND,
    delayMs: (from, to) => (from.region === to.region ? 1 : 12),
    ...probe.hooks,
  });
  network.runUntil(WARM_UP_MS);
  keepQueuesFilled(network, size);
  network.runUntil(network.now() + SETTLE_MS);
  probe.reset();
  network.runUntil(network.now() + DURATION_MS);
  const bytes = probe.bytes();
  const perInstance = (amount: number) => (amount * 1_000) / DURATION_MS / size.instances;
  return {
    ...size,
    bytes: perInstance(bytes.sameDomain + bytes.sameRegion + bytes.crossRegion),
    crossRegionBytes: perInstance(bytes.crossRegion),
    controlMs: perInstance(probe.controlMs()),
    largestKinds: [...probe.bytesByKind()]
      .sort((a, b) => b[1] - a[1])
      .slice(0, 3)
      .map(([kind, amount]) => `${kind} ${perInstance(amount).toFixed(0)}`)
      .join(', '),
  };
}

function keepQueuesFilled(network: FakeNetwork, size: FleetSize): void {
  const random = createRandom(5);
  const ids = [...network.nodes.keys()];
  // Twice as many waiting requests as slots, spread evenly over the customers.
  const depth = Math.max(2, Math.ceil((2 * size.engines * SLOTS) / size.customers));
  const refill = () => {
    for (let customer = 1; customer <= size.customers; customer += 1) {
      while ((network.waiting.get(customer)?.size ?? 0) < depth) {
        const instance = ids[random.nextInt(ids.length)] as string;
        network.submit({ instance, customer, tokens: 1 + random.nextInt(LARGEST_TOKENS) });
      }
    }
    network.at(network.now() + REFILL_MS, refill);
  };
  refill();
}
