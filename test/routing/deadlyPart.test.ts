import { expect } from 'chai';
import {
  CONTACT_MS,
  countWronglyRefused,
  deadlyArrivals,
  runWithDeadlyPart,
  soundDraftsBegun,
} from './support/deadlyPart.js';

describe('a prompt part that crashes every engine', () => {
  // No two requests with the part are alike, and they arrive at all instances.
  [1, 2, 3].forEach((seed) => {
    it(`reaches no more than three engines after the fifth crash (seed ${seed})`, () => {
      const run = runWithDeadlyPart({
        seed,
        durationMs: 18_000,
        from: 5_000,
        until: 21_000,
        share: 0.05,
      });
      const fifth = run.crashedAt[4] ?? Infinity;
      expect(run.crashedAt).to.have.length.of.at.least(2);
      expect(deadlyArrivals(run, fifth + CONTACT_MS)).to.be.at.most(3);
      const before = soundDraftsBegun(run, 3_000, 5_000);
      expect(soundDraftsBegun(run, 13_000, 21_000)).to.be.at.least(before / 2);
    });
  });

  it('is told apart from the parts that came with it', () => {
    const run = runWithDeadlyPart({
      seed: 4,
      durationMs: 18_000,
      from: 5_000,
      until: 21_000,
      share: 0.05,
    });
    expect(countWronglyRefused(run)).to.equal(0);
  });

  it('is served again after it has stopped to crash engines', () => {
    const run = runWithDeadlyPart({
      seed: 5,
      durationMs: 40_000,
      from: 5_000,
      until: 9_000,
      share: 0.05,
      isMended: true,
    });
    const begun = run.observations.filter(
      (seen) => seen.kind === 'begun' && seen.at > 35_000 && run.isDeadly(seen.offered),
    );
    expect(begun).to.have.length.of.at.least(5);
  });

  it('stays refused by an instance that has just started', () => {
    const run = runWithDeadlyPart({
      seed: 6,
      durationMs: 18_000,
      from: 5_000,
      until: 21_000,
      share: 0.05,
      disturb: (simulation, fleet) => {
        ['a-instance-0', 'b-instance-1', 'c-instance-0'].forEach((id, i) =>
          simulation.at(12_000 + i * 2_500, () => fleet.restartInstance(id)),
        );
      },
    });
    expect(deadlyArrivals(run, (run.crashedAt[4] ?? Infinity) + CONTACT_MS)).to.be.at.most(3);
  });

  it('is not blamed for engines that lose power, one by one or all at once', () => {
    const run = runWithDeadlyPart({
      seed: 7,
      durationMs: 14_000,
      from: 5_000,
      until: 5_000,
      share: 0,
      disturb: (simulation, fleet) => {
        [5_000, 5_000, 5_000, 5_000, 7_000, 8_500, 10_000, 11_500].forEach((at, i) =>
          simulation.at(at, () => fleet.failEngine(`${i % 2 === 0 ? 'a' : 'b'}-engine-${i >> 1}`)),
        );
      },
    });
    expect(run.crashedAt).to.have.lengthOf(8);
    expect(countWronglyRefused(run)).to.equal(0);
  });
});
