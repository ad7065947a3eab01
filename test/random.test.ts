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
});
