import { expect } from 'chai';
import { createRandom } from '../src/core/random.js';

describe('random', () => {
  it('repeats its sequence for the same seed and differs for another', () => {
    const draw = (seed: number) => {
      const random = createRandom(seed);
      return Array.from({ length: 20 }, () => random.nextInt(1_000_000));
    };
    expect(draw(7)).to.deep.equal(draw(7));
    expect(draw(7)).to.not.deep.equal(draw(8));
  });

  // Without discarded draws, the sequences of adjacent seeds are correlated.
  it('distributes the first draws of adjacent seeds evenly', () => {
    const SEEDS = 10_000;
    const BUCKETS = 10;
    const counts = new Array<number>(BUCKETS).fill(0);
    for (let seed = 0; seed < SEEDS; seed += 1) {
      const bucket = createRandom(seed).nextInt(BUCKETS);
      counts[bucket] = (counts[bucket] ?? 0) + 1;
    }
    // Five standard deviations of the binomial distribution.
    const tolerance = 5 * Math.sqrt(SEEDS * (1 / BUCKETS) * (1 - 1 / BUCKETS));
    counts.forEach((count) => expect(count).to.be.closeTo(SEEDS / BUCKETS, tolerance));
  });
});
