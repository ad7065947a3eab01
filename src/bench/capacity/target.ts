/** The target size, the limits on control load, and the sizes at which slopes are measured. */
import type { FleetRunSize } from './fleetRun.js';

export const TARGET = {
  instances: 400,
  engines: 12_000,
  regions: 4,
  domains: 14,
  customers: 9_000,
  waiting: 900,
  pools: 8,
  requestsPerSecond: 24_000,
  tokensPerSecond: 9_900_000,
  changesPerDay: 7_700,
  restartsPerDay: 2_300,
  failuresPerDay: 100,
} as const;

export const LIMITS = {
  /** Processor time, in milliseconds per second: 1.6% of a core. */
  controlMs: 16,
  memoryBytes: 64 * 1024 * 1024,
  bytesPerSecond: 21 * 1024,
} as const;

/** An independent variable of the slopes. */
export type Dimension =
  'waiting' | 'instancesPerDomain' | 'enginesPerInstance' | 'domains' | 'requestsPerInstance';

const SLOTS = 8;
const REQUESTS_PER_ENGINE = TARGET.requestsPerSecond / TARGET.engines;
const TOKENS_PER_REQUEST = TARGET.tokensPerSecond / TARGET.requestsPerSecond;

/** The value of each dimension at the target size. */
export const TARGET_VALUES: Readonly<Record<Dimension, number>> = {
  waiting: TARGET.waiting,
  instancesPerDomain: TARGET.instances / TARGET.domains,
  enginesPerInstance: TARGET.engines / TARGET.instances,
  domains: TARGET.domains,
  requestsPerInstance: TARGET.requestsPerSecond / TARGET.instances,
};

interface Shape {
  readonly waiting: number;
  readonly instancesPerDomain: number;
  readonly enginesPerInstance: number;
  readonly domains: number;
  readonly requestsPerInstance: number;
}

const BASE: Shape = {
  waiting: 100,
  instancesPerDomain: 8,
  enginesPerInstance: 10,
  domains: 2,
  requestsPerInstance: 10 * REQUESTS_PER_ENGINE,
};

const SWEEP_VALUES: Readonly<Record<Dimension, readonly number[]>> = {
  waiting: [50, 200, 450, 900],
  instancesPerDomain: [4, 8, 16, 29],
  enginesPerInstance: [5, 10, 20, 30],
  domains: [1, 2, 4, 8],
  requestsPerInstance: [5, 10, 20, 40],
};

/** Returns run sizes that vary one dimension and take the others from `BASE`. */
export function createSweep(
  dimension: Dimension,
): readonly { readonly at: number; readonly size: FleetRunSize }[] {
  return SWEEP_VALUES[dimension].map((at) => {
    const shape = { ...BASE, [dimension]: at };
    // The request rate per engine stays constant when the number of engines varies.
    const requestsPerInstance =
      dimension === 'enginesPerInstance' ? at * REQUESTS_PER_ENGINE : shape.requestsPerInstance;
    return { at, size: toRunSize({ ...shape, requestsPerInstance }) };
  });
}

/** One full failure domain at the target size. */
export const DOMAIN_SLICE: FleetRunSize = toRunSize({
  waiting: TARGET.waiting,
  instancesPerDomain: Math.ceil(TARGET_VALUES.instancesPerDomain),
  enginesPerInstance: TARGET_VALUES.enginesPerInstance,
  domains: 1,
  requestsPerInstance: TARGET_VALUES.requestsPerInstance,
});

function toRunSize(shape: Shape): FleetRunSize {
  const instances = shape.instancesPerDomain * shape.domains;
  const engines = shape.enginesPerInstance * instances;
  const slotRate = (shape.requestsPerInstance * instances) / (engines * SLOTS);
  return {
    instances,
    domains: shape.domains,
    regions: Math.min(TARGET.regions, shape.domains),
    pools: TARGET.pools,
    engines,
    slots: SLOTS,
    waiting: shape.waiting,
    customers: shape.waiting,
    tokensPerRequest: TOKENS_PER_REQUEST,
    tokensPerSecondAndSlot: slotRate * TOKENS_PER_REQUEST,
    durationMs: 3_000,
  };
}
