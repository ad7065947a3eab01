import { expect } from 'chai';
import { createClaimsCheck } from '../../src/checker/claims.js';
import { createConfigurationCheck } from '../../src/checker/configuration.js';
import { explore } from '../../src/checker/explore.js';

const SMALL = { instances: 2, faults: 0, maxDepth: 7 };
const FAULTY = { instances: 2, faults: 1, maxDepth: 4 };

describe('model checker', () => {
  it('finds no violation in the claims protocol', () => {
    [SMALL, FAULTY].forEach((options) => {
      const result = explore(createClaimsCheck(options));
      expect(result.failure).to.equal(undefined);
      expect(result.isComplete).to.equal(true);
    });
  });

  it('finds a double execution if the log order is ignored', () => {
    const result = explore(createClaimsCheck({ ...SMALL, withoutLogOrder: true }));
    expect(result.failure?.violation).to.equal(
      'a request with an idempotency key was executed twice',
    );
  });

  it('finds no violation with concurrent edits', () => {
    [SMALL, FAULTY].forEach((options) => {
      const result = explore(createConfigurationCheck(options));
      expect(result.failure).to.equal(undefined);
      expect(result.isComplete).to.equal(true);
    });
  });

  it('finds two accepted edits if the base version is not checked', () => {
    const result = explore(createConfigurationCheck({ ...SMALL, withoutBaseCheck: true }));
    expect(result.failure?.violation).to.equal('two edits of the same base version were accepted');
  });
});
