import { expect } from 'chai';
import fc from 'fast-check';
import { createToldWork, estimateUnseenTokens } from '../../src/routing/placement/unseenWork.js';

const NO_WORK = { requests: 0, tokens: 0 };

describe('work that other instances have not told of', () => {
  it('is expected to be as much as this instance has sent since, at each of the others', () => {
    const unread = { requests: 16, tokens: 80_000 };
    const fleet = { otherInstances: 66, upstreams: 42 };
    const expected = (80_000 * 66) / 42;
    const tokens = estimateUnseenTokens({ unread, told: NO_WORK, ...fleet });
    expect(tokens).to.be.within(0.9 * expected, expected);
  });

  it('is none once the others can have told, or if there are no others', () => {
    const unread = { requests: 16, tokens: 80_000 };
    const fleet = { otherInstances: 66, upstreams: 42 };
    expect(estimateUnseenTokens({ unread, told: unread, ...fleet })).to.equal(0);
    expect(estimateUnseenTokens({ unread, told: NO_WORK, ...fleet, otherInstances: 0 })).to.equal(
      0,
    );
  });

  it('is none if a request more or less is chance', () => {
    const fleet = { otherInstances: 66, upstreams: 42 };
    const unread = { requests: 3, tokens: 30_000 };
    const told = { requests: 2, tokens: 1_000 };
    expect(estimateUnseenTokens({ unread, told, ...fleet })).to.equal(0);
  });

  it('is never negative or more than all would send together', () => {
    const work = fc.record({ requests: fc.nat(200), tokens: fc.nat(2_000_000) });
    fc.assert(
      fc.property(work, work, fc.nat(200), fc.nat(100), (unread, told, others, upstreams) => {
        const tokens = estimateUnseenTokens({ unread, told, otherInstances: others, upstreams });
        expect(tokens).to.be.within(0, (unread.tokens * others) / Math.max(1, upstreams));
      }),
      { seed: 50, numRuns: 500 },
    );
  });

  it('is compared with what was told when the news of the others left', () => {
    const told = createToldWork();
    expect(told.at(1_000)).to.deep.equal(NO_WORK);
    const early = { requests: 1, tokens: 10 };
    const late = { requests: 2, tokens: 20 };
    told.record(early, 100);
    told.record(late, 300);
    expect(told.at(99)).to.deep.equal(NO_WORK);
    expect(told.at(299)).to.deep.equal(early);
    expect(told.at(300)).to.deep.equal(late);
  });
});
