import { expect } from 'chai';
import { createRequestProtocol } from '../../platform/headers.js';

describe('the limit that an engine states in its answers', () => {
  const { parseResponseHead } = createRequestProtocol();
  const rateOf = (text: string) => parseResponseHead(['Server-Limit', text]).statements.rate;

  it('is a decimal number of requests a second', () => {
    expect(rateOf('7.25')).to.deep.equal({ kind: 'limited', perSecond: 7.25 });
    expect(rateOf('0')).to.deep.equal({ kind: 'limited', perSecond: 0 });
    expect(rateOf('1e9')).to.deep.equal({ kind: 'limited', perSecond: 1e9 });
  });

  it('does not hold without the header', () => {
    const { statements } = parseResponseHead(['Content-Length', '2']);
    expect(statements.rate).to.deep.equal({ kind: 'unlimited' });
  });

  ['', ' ', '-3', 'NaN', 'Infinity', '1e400', 'seven', '7 8'].forEach((text) => {
    it(`is unreadable as '${text}'`, () => {
      expect(rateOf(text)).to.deep.equal({ kind: 'unreadable', text });
    });
  });
});
