import { expect } from 'chai';
import fc from 'fast-check';
import { FAULTS, type Fault } from '../../src/bench/exact/faults.js';
import { runScenario, type FaultInjection } from '../../src/bench/exact/scenario.js';

const instant = fc.integer({ min: 0, max: 6_000 });
const span = fc.integer({ min: 100, max: 9_000 });

const faultInjectionOf = (fault: Fault): fc.Arbitrary<FaultInjection> =>
  fc.record({
    fault: fc.constant(fault),
    at: instant,
    span,
    pick: fc.integer({ min: 0, max: 11 }),
  });

const check = (
  injectionLists: fc.Arbitrary<readonly FaultInjection[]>,
  seed: number,
  numRuns: number,
) =>
  fc.assert(
    fc.property(injectionLists, fc.integer({ min: 1, max: 1e6 }), (faultInjections, fleetSeed) => {
      const { violations } = runScenario({ fleet: { seed: fleetSeed }, faultInjections });
      expect(violations).to.deep.equal([]);
    }),
    { seed, numRuns },
  );

describe('exact outcomes under faults', () => {
  const covered: string[] = [];
  after(() => {
    process.stdout.write(`\nfaults and pairs covered (${covered.length}): ${covered.join(', ')}\n`);
  });

  FAULTS.forEach((first, i) => {
    it(`hold under ${first}`, () => {
      check(fc.tuple(faultInjectionOf(first)), i, 2);
      covered.push(first);
    });

    it(`hold under ${first} together with each fault`, () => {
      FAULTS.slice(i).forEach((second, j) => {
        check(fc.tuple(faultInjectionOf(first), faultInjectionOf(second)), 100 * i + j, 1);
        covered.push(`${first}+${second}`);
      });
    });
  });

  it('are reported as violated if the first claim of a key does not win (control)', () => {
    const { violations } = runScenario({
      fleet: { seed: 1, hidesForeignClaims: true },
      faultInjections: [],
    });
    expect(violations.join()).to.match(/ran \d times/);
  });
});
