import { createHash, createHmac } from 'node:crypto';
import { expect } from 'chai';
import fc from 'fast-check';
import { equalInConstantTime, hmacSha256Hex, sha256Hex } from '../../src/core/sha256.js';

describe('SHA-256 in the core', () => {
  it('agrees with node:crypto for any text', () => {
    fc.assert(
      fc.property(fc.string({ unit: 'grapheme', maxLength: 300 }), fc.string(), (text, key) => {
        expect(sha256Hex(text)).to.equal(createHash('sha256').update(text).digest('hex'));
        const expected = createHmac('sha256', key).update(text).digest('hex');
        const parts = [text.slice(0, 7), text.slice(7)];
        expect(hmacSha256Hex(key, [text])).to.equal(expected);
        const joined = createHmac('sha256', key);
        parts.forEach((part) => joined.update(part));
        expect(hmacSha256Hex(key, parts)).to.equal(joined.digest('hex'));
      }),
      { seed: 6, numRuns: 300 },
    );
  });

  it('handles every length around the block boundaries', () => {
    for (let length = 50; length < 140; length += 1) {
      const text = 'x'.repeat(length);
      expect(sha256Hex(text)).to.equal(createHash('sha256').update(text).digest('hex'));
    }
  });

  it('compares hashes for equality', () => {
    expect(equalInConstantTime('ab', 'ab')).to.equal(true);
    expect(equalInConstantTime('ab', 'ac')).to.equal(false);
    expect(equalInConstantTime('ab', 'abc')).to.equal(false);
  });
});
