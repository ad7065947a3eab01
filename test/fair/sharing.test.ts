import { expect } from 'chai';
import fc from 'fast-check';
import { DEFAULT_CORE_SETTINGS } from '../../src/core/settings.js';
import { discoveryTime, serviceGapBound, waitBound } from '../../src/core/shares/bound.js';
import { startSharingLoad, type SharingLoad, type SharingRun } from '../support/sharingLoad.js';

const DURATION_MS = 30_000;
const SAMPLE_MS = 100;

/** Delay that the fake upstreams and their links add between two requests on one slot. */
const UPSTREAM_TURN_MS = 2 * 10 + 2 * 1;

const customerArbitrary = fc.record(
  {
    weight: fc.integer({ min: 1, max: 3 }),
    instance: fc.integer({ min: 0, max: 8 }),
    tokens: fc.integer({ min: 20, max: 300 }),
    hint: fc.constantFrom(0, 0.01, 1, 100),
  },
  { requiredKeys: ['weight', 'tokens'] },
);

const domainArbitrary = fc.record({
  instances: fc.integer({ min: 1, max: 3 }),
  upstreams: fc.array(fc.integer({ min: 1, max: 4 }), { maxLength: 2 }),
});

const loadArbitrary: fc.Arbitrary<SharingLoad> = fc.record({
  seed: fc.integer({ min: 1, max: 1e6 }),
  domains: fc
    .array(domainArbitrary, { minLength: 1, maxLength: 3 })
    .filter((domains) => domains.some(({ upstreams }) => upstreams.length > 0)),
  customers: fc.array(customerArbitrary, { minLength: 2, maxLength: 4 }),
  suspendShare: fc.constantFrom(0, 0.25),
});

interface Extremes {
  readonly gap: number;
  readonly longestWait: number;
  readonly longestIdle: number;
}

/** Runs the load and returns the largest service gap, unserved wait and slot idle time. */
function observe(run: SharingRun): Extremes {
  const { network } = run;
  const start = network.now();
  const servedAt = new Map<number, number>();
  let extremes: Extremes = { gap: 0, longestWait: 0, longestIdle: 0 };
  let last = run.virtualService();
  last.forEach((_, i) => servedAt.set(i, start));
  while (network.now() < start + DURATION_MS) {
    network.runUntil(network.now() + SAMPLE_MS);
    const service = run.virtualService();
    recordServed(servedAt, last, service, network.now());
    extremes = updateExtremes(extremes, run, service, servedAt, start);
    last = service;
  }
  return extremes;
}

function recordServed(
  servedAt: Map<number, number>,
  before: readonly number[],
  after: readonly number[],
  now: number,
): void {
  after.forEach((amount, i) => {
    if (amount > (before[i] ?? 0)) servedAt.set(i, now);
  });
}

function updateExtremes(
  extremes: Extremes,
  { network }: SharingRun,
  service: readonly number[],
  servedAt: ReadonlyMap<number, number>,
  start: number,
): Extremes {
  const now = network.now();
  const waits = [...servedAt.values()].map((at) => now - at);
  const idle = [...network.view.upstreams.keys()].map((id) =>
    Math.min(network.idleFor(id), now - start),
  );
  return {
    gap: Math.max(extremes.gap, Math.max(...service) - Math.min(...service)),
    longestWait: Math.max(extremes.longestWait, ...waits),
    longestIdle: Math.max(extremes.longestIdle, ...idle),
  };
}

function expectWithinBounds(run: SharingRun, greatestWeight: number): void {
  const { gap, longestWait } = observe(run);
  const { conditions } = run;
  expect(gap, 'gap').to.be.at.most(serviceGapBound(DEFAULT_CORE_SETTINGS, conditions));
  const maxWaitMs = waitBound(DEFAULT_CORE_SETTINGS, conditions, greatestWeight);
  expect(longestWait, 'wait').to.be.at.most(maxWaitMs + SAMPLE_MS);
}

const greatestWeight = (load: SharingLoad) =>
  Math.max(...load.customers.map(({ weight }) => weight));

describe('fair/sharing', () => {
  it('keeps the service gap and the waiting time of customers within the bounds', () => {
    fc.assert(
      fc.property(loadArbitrary, (load) =>
        expectWithinBounds(startSharingLoad(load), greatestWeight(load)),
      ),
      { seed: 7, numRuns: 14 },
    );
  });

  it('keeps the bounds despite loss, duplication and reordering of messages', () => {
    const network = { loss: 0.03, duplication: 0.03, jitterMs: 30 };
    fc.assert(
      fc.property(loadArbitrary, (load) =>
        expectWithinBounds(startSharingLoad({ ...load, network }), greatestWeight(load)),
      ),
      { seed: 8, numRuns: 8 },
    );
  });

  it('leaves no slot idle for longer than the discovery time while work waits', () => {
    fc.assert(
      fc.property(loadArbitrary, (load) => {
        const run = startSharingLoad(load);
        const { longestIdle } = observe(run);
        const maxIdleMs = discoveryTime(DEFAULT_CORE_SETTINGS, run.conditions) + UPSTREAM_TURN_MS;
        expect(longestIdle).to.be.at.most(maxIdleMs + SAMPLE_MS);
      }),
      { seed: 9, numRuns: 10 },
    );
  });

  it('exceeds the bound without the exchange of sums and pulling (control)', () => {
    const load: SharingLoad = {
      seed: 1,
      domains: [
        { instances: 2, upstreams: [4] },
        { instances: 2, upstreams: [4, 4, 4] },
      ],
      customers: [
        { weight: 1, instance: 0, tokens: 40 },
        { weight: 1, instance: 2, tokens: 40 },
        { weight: 1, instance: 3, tokens: 40 },
        { weight: 1, instance: 1, tokens: 40 },
      ],
      network: { settings: { exchangeMs: 1e9, pullMs: 1e9 } },
    };
    const run = startSharingLoad(load);
    const { gap } = observe(run);
    expect(gap).to.be.above(serviceGapBound(DEFAULT_CORE_SETTINGS, run.conditions));
  });
});
