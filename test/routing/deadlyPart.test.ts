import { expect } from 'chai';
import {
  CONTACT_MS,
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
});
