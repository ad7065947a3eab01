import { expect } from 'chai';
import fc from 'fast-check';
import { accountByNumber, settledServiceIn } from '../../src/core/shares/accounts.js';
import { serviceGapBound } from '../../src/core/shares/bound.js';
import { describeShares } from '../../src/core/shares/describe.js';
import { applyOriginSums } from '../../src/core/shares/relay.js';
import { fleetSumOf } from '../../src/core/shares/relayState.js';
import { encodeSums, SumScope } from '../../src/core/shares/sumsCodec.js';
import { DEFAULT_CORE_SETTINGS } from '../../src/core/settings.js';
import { createCore } from '../../src/core/core.js';
import { createTestView } from '../support/configuration.js';
import { PER_OUTPUT_TOKEN, startSharingLoad, type SharingLoad } from '../support/sharingLoad.js';

const EXCHANGE_MS = DEFAULT_CORE_SETTINGS.exchangeMs;
/** Covers the exchange over two relays, a refresh, and the learning phase of a new relay. */
const SETTLE_MS = 16 * EXCHANGE_MS;

const LOAD: SharingLoad = {
  seed: 3,
  domains: [
    { instances: 3, upstreams: [4] },
    { instances: 3, upstreams: [4, 2] },
  ],
  customers: [
    { weight: 1, tokens: 100, instance: 0 },
    { weight: 2, tokens: 60 },
    { weight: 1, tokens: 200, instance: 4 },
  ],
};

/** Returns the largest error, in cost units, of the sums of any live instance. */
function largestError(run: ReturnType<typeof startSharingLoad>): number {
  let maxError = 0;
  run.network.nodes.forEach(({ core, isUp }) => {
    if (!isUp) return;
    const account = accountByNumber(core.state, 1);
    LOAD.customers.forEach(({ weight }, i) => {
      const lift = account.lift[i + 1] ?? 0;
      const known = (settledServiceIn(core.state, account, i + 1) - lift) * weight;
      const actual = (run.network.served.get(i + 1) ?? 0) * PER_OUTPUT_TOKEN;
      maxError = Math.max(maxError, Math.abs(known - actual));
    });
  });
  return maxError;
}

/** Returns the service that may be unreported: that of all slots until the sums arrive. */
function maxUnreported(run: ReturnType<typeof startSharingLoad>, exchanges: number): number {
  return (run.slots * run.conditions.slotRate * exchanges * EXCHANGE_MS) / 1_000;
}

describe('fair/exchange', () => {
  it('gives every instance the actual sums, except for the service of the last exchanges', () => {
    const run = startSharingLoad(LOAD);
    run.network.runUntil(run.network.now() + 20_000);
    expect(largestError(run)).to.be.at.most(maxUnreported(run, 4));
  });

  it('keeps the sums when instances, including relays, restart without state', () => {
    fc.assert(
      fc.property(fc.integer({ min: 0, max: 5 }), fc.integer({ min: 0, max: 5 }), (a, b) => {
        const run = startSharingLoad(LOAD);
        const { network } = run;
        network.runUntil(network.now() + 10_000);
        [a, b].forEach((index) => {
          const id = [...network.nodes.keys()][index] as string;
          network.crash(id);
          network.at(network.now() + 2_000, () => network.restart(id));
          network.runUntil(network.now() + 6_000 + SETTLE_MS);
        });
        // Each crash may lose the sums that the instance, or its relay, had not sent yet.
        expect(largestError(run)).to.be.at.most(maxUnreported(run, 4 + 2 * 4));
      }),
      { seed: 5, numRuns: 6 },
    );
  });

  it('merges sums that arrive reordered, duplicated or late', () => {
    const message = fc.record({
      origin: fc.constantFrom('x', 'y'),
      incarnation: fc.integer({ min: 1, max: 2 }),
      sequence: fc.integer({ min: 1, max: 6 }),
    });
    fc.assert(
      fc.property(fc.array(message, { minLength: 1, maxLength: 20 }), (messages) => {
        const self = { id: 'a', incarnation: 1, address: 'a', domain: 'd1', region: 'r1' };
        const core = createCore({ self, seed: 1, initialConfiguration: createTestView() });
        const ctx = { state: core.state, now: 1e6, emit: () => {}, deliverToSelf: () => {} };
        const largestSums = new Map<string, number>();
        const latest = new Map<string, number>();
        core.state.shares.relay.groups.set(1, 0);
        messages.forEach(({ origin, incarnation, sequence }) => {
          const sum = incarnation * 100 + sequence * 10;
          const header = { scope: SumScope.instance, account: 1, sequence };
          const value = encodeSums(header, [], [{ customer: 1, sum, lift: 0 }]);
          applyOriginSums(ctx, origin, incarnation, value);
          // Messages of an incarnation are ignored once a later one is known.
          if (incarnation < (latest.get(origin) ?? 0)) return;
          latest.set(origin, incarnation);
          const key = `${origin} ${incarnation}`;
          largestSums.set(key, Math.max(largestSums.get(key) ?? 0, sum));
        });
        const expected = [...largestSums.values()].reduce((a, b) => a + b, 0);
        const entry = core.state.shares.relay.entries.get(1)?.get(1);
        expect(entry && fleetSumOf(entry)).to.equal(expected);
      }),
      { seed: 6, numRuns: 200 },
    );
  });

  it('gives no credit for idling', () => {
    const run = startSharingLoad({
      ...LOAD,
      customers: [
        { weight: 1, tokens: 100, instance: 0 },
        { weight: 1, tokens: 60 },
        { weight: 1, tokens: 60, instance: 3, startsAfterMs: 15_000 },
      ],
    });
    const { network } = run;
    network.runUntil(network.now() + 15_000);
    const before = new Map(network.served);
    network.runUntil(network.now() + 15_000);
    const servedSince = (customer: number) =>
      (network.served.get(customer) ?? 0) - (before.get(customer) ?? 0);
    const bound = serviceGapBound(DEFAULT_CORE_SETTINGS, run.conditions);
    expect(servedSince(3)).to.be.above(0);
    expect(Math.abs(servedSince(3) - servedSince(1)) * PER_OUTPUT_TOKEN).to.be.at.most(bound);
  });

  it('keeps the bound on each side of a partition and repays service up to the debt cap', () => {
    const run = startSharingLoad({
      ...LOAD,
      customers: [
        { weight: 1, tokens: 60, instance: 0 },
        { weight: 1, tokens: 60, instance: 1 },
        { weight: 1, tokens: 60, instance: 3 },
        { weight: 1, tokens: 60, instance: 4 },
      ],
    });
    const { network } = run;
    network.runUntil(network.now() + 5_000);
    network.partition((a, b) => a.slice(0, 2) !== b.slice(0, 2));
    network.runUntil(network.now() + 20_000);
    const bound = serviceGapBound(DEFAULT_CORE_SETTINGS, run.conditions);
    const [a = 0, b = 0, c = 0, d = 0] = run.virtualService();
    expect(Math.abs(a - b)).to.be.at.most(bound);
    expect(Math.abs(c - d)).to.be.at.most(bound);
    const gapBeforeHealing = c + d - a - b;
    network.heal();
    network.runUntil(network.now() + 20_000);
    const [a2 = 0, b2 = 0, c2 = 0, d2 = 0] = run.virtualService();
    // The side with fewer slots lags and must catch up.
    expect(c2 + d2 - a2 - b2).to.be.below(gapBeforeHealing / 2);
  });

  it('describes which customers wait and why', () => {
    const run = startSharingLoad(LOAD);
    run.network.runUntil(run.network.now() + 5_000);
    const node = run.network.nodes.get('d0-i0');
    const described = node && describeShares(node.core.state, run.network.now());
    const first = described?.customers.find(({ customer }) => customer === 'c1');
    expect(first).to.include({ isWaitingInFleet: true, share: 0.25 });
    expect(first?.waitReason).to.be.oneOf(['others', 'slots']);
    expect(first?.service).to.be.above(0);
    const owned = [...run.network.nodes.values()].flatMap(
      ({ core }) => describeShares(core.state, run.network.now()).upstreams,
    );
    expect(owned.map(({ upstream }) => upstream).sort()).to.deep.equal(['d0-e0', 'd1-e0', 'd1-e1']);
  });
});
