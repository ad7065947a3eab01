import { expect } from 'chai';
import {
  begunFraction,
  createLoad,
  describeBroken,
  drawLoad,
  runFairLoad,
} from './support/fairDemand.js';

describe('a large fleet whose callers all come at once', () => {
  // What instances learnt of upstreams in the burst, without knowing what others had sent, stayed.
  it('serves a load that its upstreams can serve, once a burst is over', () => {
    const load = createLoad(1, {
      requestsPerSecond: 335,
      firstSecondFactor: 8,
      skew: 2,
      hotCustomers: 0,
      hotFactor: 1,
      stickiness: 0.4,
    });
    const run = runFairLoad({ ...load, seconds: 8 });
    expect(begunFraction(run, 2, 8)).to.be.at.least(0.9);
  });

  [1, 2, 3, 4, 5, 6].forEach((seed) => {
    it(`gives no customer that waits less than half of the best served one, seed ${seed}`, () => {
      expect(describeBroken(runFairLoad(drawLoad(seed)))).to.deep.equal([]);
    });
  });
});
