import { expect } from 'chai';
import fc from 'fast-check';
import { createToldHistory, estimateUnseenTokens } from '../../src/routing/placement/unseenWork.js';

const none = { requests: 0, tokens: 0 };
const input = {
  unread: { requests: 16, tokens: 80_000 },
  toldUnread: none,
  othersAsked: 0,
  ownAsked: 0,
  otherInstances: 66,
  upstreams: 42,
};
/** Tokens at each upstream if all instances had sent what this one has sent. */
const equalPart = (80_000 * 66) / 42;

describe('work that other instances have not told of', () => {
  it('is expected to be as much as this instance has sent since, at each of the others', () => {
    const tokens = estimateUnseenTokens({ ...input, ownAsked: 10_000, othersAsked: 660_000 });
    expect(tokens).to.be.within(0.9 * equalPart, equalPart);
  });

  it('is expected to be a quarter of that before anything is known of the others', () => {
    expect(estimateUnseenTokens(input)).to.be.within(0.2 * equalPart, 0.25 * equalPart);
  });

  // The callers of a hot customer all reached one instance, which refused them for a queue that was not there.
  it('is expected in proportion to what the others were asked, once that is known', () => {
    const tokens = estimateUnseenTokens({ ...input, ownAsked: 100_000, othersAsked: 200_000 });
    expect(tokens).to.be.within(0, (80_000 * 2.5) / 42);
  });

  it('is none once the others can have told, or if there are no others', () => {
    expect(estimateUnseenTokens({ ...input, toldUnread: input.unread })).to.equal(0);
    expect(estimateUnseenTokens({ ...input, otherInstances: 0 })).to.equal(0);
  });

  it('is none if a request more or less is chance', () => {
    const unread = { requests: 3, tokens: 30_000 };
    const toldUnread = { requests: 2, tokens: 1_000 };
    expect(estimateUnseenTokens({ ...input, unread, toldUnread })).to.equal(0);
  });

  it('is never negative or more than all would send together', () => {
    const work = fc.record({ requests: fc.nat(200), tokens: fc.nat(2_000_000) });
    const drawn = fc.record({
      unread: work,
      toldUnread: work,
      othersAsked: fc.nat(9_000_000),
      ownAsked: fc.nat(1_000_000),
      otherInstances: fc.nat(200),
      upstreams: fc.nat(100),
    });
    fc.assert(
      fc.property(drawn, (one) => {
        const most = (one.unread.tokens * one.otherInstances) / Math.max(1, one.upstreams);
        expect(estimateUnseenTokens(one)).to.be.within(0, most);
      }),
      { seed: 50, numRuns: 500 },
    );
  });

  it('is compared with what was told when the news of the others left', () => {
    const history = createToldHistory();
    expect(history.at(1_000)).to.deep.equal({ unread: none, asked: 0 });
    const early = { unread: { requests: 1, tokens: 10 }, asked: 5 };
    const late = { unread: { requests: 2, tokens: 20 }, asked: 9 };
    history.record(early, 100);
    history.record(late, 300);
    expect(history.at(99)).to.deep.equal({ unread: none, asked: 0 });
    expect(history.at(299)).to.deep.equal(early);
    expect(history.at(300)).to.deep.equal(late);
  });
});
