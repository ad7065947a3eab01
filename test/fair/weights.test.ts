import { expect } from 'chai';
import fc from 'fast-check';
import { DEFAULT_CORE_SETTINGS } from '../../src/core/settings.js';
import { serviceGapBound } from '../../src/core/shares/bound.js';
import { PER_OUTPUT_TOKEN, startSharingLoad } from '../support/sharingLoad.js';

const BEFORE_MS = 30_000;
const AFTER_MS = 30_000;
const SAMPLE_MS = 100;

const customerArbitrary = fc.record({
  weight: fc.integer({ min: 1, max: 3 }),
  nextWeight: fc.integer({ min: 1, max: 3 }),
  tokens: fc.integer({ min: 20, max: 100 }),
});

const loadArbitrary = fc.record({
  seed: fc.integer({ min: 1, max: 1e6 }),
  domains: fc.array(
    fc.record({
      instances: fc.integer({ min: 1, max: 2 }),
      upstreams: fc.array(fc.integer({ min: 1, max: 4 }), { minLength: 1, maxLength: 2 }),
    }),
    { minLength: 1, maxLength: 2 },
  ),
  customers: fc.array(customerArbitrary, { minLength: 2, maxLength: 4 }),
});

describe('fair/weights', () => {
  it('keeps the bound for the new weights when weights change while requests wait', () => {
    fc.assert(
      fc.property(loadArbitrary, (load) => {
        const run = startSharingLoad(load);
        const { network, conditions } = run;
        network.runUntil(network.now() + BEFORE_MS);
        const newWeights = load.customers.map(({ nextWeight }) => nextWeight);
        const weightOf = (number: number) => newWeights[number - 1] ?? 1;
        network.publish({ ...network.view, version: network.view.version + 1, weightOf });
        const served = () => newWeights.map((_, i) => network.served.get(i + 1) ?? 0);
        const atChange = served();
        // The lag of a customer at the time of the change may be repaid afterwards.
        const maxGap =
          serviceGapBound(DEFAULT_CORE_SETTINGS, conditions) +
          serviceGapBound(DEFAULT_CORE_SETTINGS, {
            ...conditions,
            leastWeight: Math.min(...newWeights),
          });
        for (const until = network.now() + AFTER_MS; network.now() < until;) {
          network.runUntil(network.now() + SAMPLE_MS);
          const since = served().map(
            (tokens, i) => ((tokens - (atChange[i] ?? 0)) * PER_OUTPUT_TOKEN) / weightOf(i + 1),
          );
          expect(Math.max(...since) - Math.min(...since)).to.be.at.most(maxGap);
        }
      }),
      { seed: 10, numRuns: 8 },
    );
  });
});
