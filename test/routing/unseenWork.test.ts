import { expect } from 'chai';
import fc from 'fast-check';
import { createToldHistory, estimateUnseenTokens } from '../../src/routing/placement/unseenWork.js';

const nothing = { unread: { requests: 0, tokens: 0 }, asked: 0 };
const unread = { requests: 16, tokens: 80_000 };
const fleet = { otherInstances: 66, upstreams: 42, othersAsked: 0 };

describe('work that other instances have not told of', () => {
  it('is expected to be as much as this instance has sent since, at each of the others', () => {
    const expected = (80_000 * 66) / 42;
    const told = { ...nothing, asked: 10_000 };
    const equal = { ...fleet, othersAsked: 66 * 10_000 };
    const tokens = estimateUnseenTokens({ unread, told, ...equal });
    expect(tokens).to.be.within(0.9 * expected, expected);
  });

  it('is expected to be half of that before anything is known of the others', () => {
    const tokens = estimateUnseenTokens({ unread, told: nothing, ...fleet });
    expect(tokens).to.be.within((0.45 * 80_000 * 66) / 42, (0.5 * 80_000 * 66) / 42);
  });

  // The callers of a hot customer all reached one instance, which refused them for a queue that was not there.
  it('is expected in proportion to what the others were asked, once that is known', () => {
    const told = { ...nothing, asked: 100_000 };
    const tokens = estimateUnseenTokens({ unread, told, ...fleet, othersAsked: 200_000 });
    expect(tokens).to.be.within(0, (80_000 * 2.5) / 42);
  });

  it('is none once the others can have told, or if there are no others', () => {
    const told = { unread, asked: 1_000 };
    expect(estimateUnseenTokens({ unread, told, ...fleet })).to.equal(0);
    const alone = { ...fleet, otherInstances: 0 };
    expect(estimateUnseenTokens({ unread, told: nothing, ...alone })).to.equal(0);
  });

  it('is none if a request more or less is chance', () => {
    const told = { ...nothing, unread: { requests: 2, tokens: 1_000 } };
    const few = { requests: 3, tokens: 30_000 };
    expect(estimateUnseenTokens({ unread: few, told, ...fleet })).to.equal(0);
  });

  it('is never negative or more than all would send together', () => {
    const work = fc.record({ requests: fc.nat(200), tokens: fc.nat(2_000_000) });
    const state = fc.record({ unread: work, asked: fc.nat(1_000_000) });
    fc.assert(
      fc.property(
        work,
        state,
        fc.nat(9_000_000),
        fc.nat(200),
        fc.nat(100),
        (now, told, othersAsked, otherInstances, upstreams) => {
          const input = { unread: now, told, othersAsked, otherInstances, upstreams };
          const most = (now.tokens * otherInstances) / Math.max(1, upstreams);
          expect(estimateUnseenTokens(input)).to.be.within(0, most);
        },
      ),
      { seed: 50, numRuns: 500 },
    );
  });

  it('is compared with what was told when the news of the others left', () => {
    const history = createToldHistory();
    expect(history.at(1_000)).to.deep.equal(nothing);
    const early = { unread: { requests: 1, tokens: 10 }, asked: 5 };
    const late = { unread: { requests: 2, tokens: 20 }, asked: 9 };
    history.record(early, 100);
    history.record(late, 300);
    expect(history.at(99)).to.deep.equal(nothing);
    expect(history.at(299)).to.deep.equal(early);
    expect(history.at(300)).to.deep.equal(late);
  });
});
