import { expect } from 'chai';
import * as fc from 'fast-check';
import { createByteBudget, SHORT_REQUEST_BYTES } from '../../src/routing/load/byteBudget.js';

const MIB = 1024 * 1024;
const LIMIT = 70 * MIB;

describe('budget of bytes that wait', () => {
  it('never exceeds its limit, and is empty once all holds are released', () => {
    const step = fc.record({
      request: fc.nat(19),
      part: fc.constantFrom('body' as const, 'answer' as const),
      bytes: fc.nat(5 * MIB),
      isReleased: fc.boolean(),
    });
    const property = fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const budget = createByteBudget(20 * MIB);
      const holds = Array.from({ length: 20 }, (_, i) => budget.open(`customer-${i % 3}`));
      steps.forEach(({ request, part, bytes, isReleased }) => {
        const before = budget.used();
        const isSet = holds[request]?.set(part, bytes);
        if (isSet === false) expect(budget.used()).to.equal(before);
        expect(budget.used()).to.be.within(0, budget.limitBytes);
        if (isReleased) holds[request]?.release();
      });
      holds.forEach((hold) => hold.release());
      expect(budget.used()).to.equal(0);
    });
    fc.assert(property, { numRuns: 300, seed: 47 });
  });

  // Load pattern: one customer sends long bodies without pause, beside others and short requests.
  it('keeps room for other customers and for short requests while one customer floods', () => {
    const budget = createByteBudget(LIMIT);
    const takes = (owner: string, bytes: number) => budget.open(owner).set('body', bytes);
    const taken = Array.from({ length: 250 }, () => takes('flood', 4 * MIB)).filter(Boolean);
    expect(taken).to.have.length(Math.floor(LIMIT / 2 / (4 * MIB)));
    expect(takes('other', 4 * MIB)).to.equal(true);
    Array.from({ length: 250 }, (_, i) => takes(`other-${i}`, 4 * MIB));
    expect(takes('late', 4 * MIB)).to.equal(false);
    expect(takes('late', SHORT_REQUEST_BYTES)).to.equal(true);
  });

  it('takes the only long request of a customer, however small the budget', () => {
    const budget = createByteBudget(6 * MIB);
    expect(budget.open('a').set('body', 4 * MIB)).to.equal(true);
  });

  // The answer of an attempt may go on for a moment after its caller has left.
  it('counts nothing for a request whose memory has been given back', () => {
    const budget = createByteBudget(LIMIT);
    const hold = budget.open('a');
    hold.release();
    expect(hold.set('answer', 10)).to.equal(false);
    expect(budget.used()).to.equal(0);
  });
});
