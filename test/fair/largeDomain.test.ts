import { expect } from 'chai';
import { DEFAULT_CORE_SETTINGS, type CoreSettings } from '../../src/core/settings.js';
import { serviceGapBound } from '../../src/core/shares/bound.js';
import { startSharingLoad } from '../support/sharingLoad.js';

const INSTANCES = 24;
const DURATION_MS = 60_000;
const SAMPLE_MS = 500;
const TICK_MS = 50;

/** Minimum share of slot time in use while work waits. */
const UTILISATION_TARGET = 0.97;

/** An interval longer than any run. */
const NEVER_MS = 1e9;

interface Observed {
  readonly gap: number;
  readonly bound: number;
  readonly utilisation: number;
}

/** Runs one customer through a single instance of the domain and another through all instances. */
function observe(settings: Partial<CoreSettings> = {}): Observed {
  const run = startSharingLoad({
    seed: 3,
    domains: [{ instances: INSTANCES, upstreams: Array.from({ length: INSTANCES }, () => 2) }],
    customers: [
      { weight: 1, tokens: 100, instance: 0 },
      { weight: 1, tokens: 100 },
    ],
    network: { tickMs: TICK_MS, settings },
  });
  const { network, slots, conditions } = run;
  const start = network.now();
  const busyBefore = network.busySlotMs();
  let gap = 0;
  while (network.now() < start + DURATION_MS) {
    network.runUntil(network.now() + SAMPLE_MS);
    const service = run.virtualService();
    gap = Math.max(gap, Math.max(...service) - Math.min(...service));
  }
  return {
    gap,
    bound: serviceGapBound(DEFAULT_CORE_SETTINGS, conditions),
    utilisation: (network.busySlotMs() - busyBefore) / (slots * DURATION_MS),
  };
}

describe('a failure domain of many instances', () => {
  it('keeps the bound and uses its slots while work is announced to a few owners only', () => {
    const { gap, bound, utilisation } = observe();
    expect(gap).to.be.below(bound);
    expect(utilisation).to.be.above(UTILISATION_TARGET);
  });

  it('exceeds the bound without the exchange of sums and pulling (control)', () => {
    const { gap, bound } = observe({ exchangeMs: NEVER_MS, pullMs: NEVER_MS });
    expect(gap).to.be.above(bound);
  });
});
