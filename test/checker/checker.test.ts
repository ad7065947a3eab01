import { expect } from 'chai';
import { createClaimsCheck } from '../../src/checker/claims.js';
import { createConfigurationCheck } from '../../src/checker/configuration.js';
import { explore } from '../../src/checker/explore.js';

const SMALL = { instances: 2, faults: 0, maxDepth: 7 };
const FAULTY = { instances: 2, faults: 1, maxDepth: 4 };

describe('exhaustive checker', () => {
  it('finds no rule broken by claims', () => {
    [SMALL, FAULTY].forEach((options) => {
      const result = explore(createClaimsCheck(options));
      expect(result.failure).to.equal(undefined);
      expect(result.isComplete).to.equal(true);
    });
  });

  it('finds a double run if the order of the log does not decide', () => {
    const result = explore(createClaimsCheck({ ...SMALL, withoutLogOrder: true }));
    expect(result.failure?.rule).to.equal('a keyed request ran twice');
  });

  it('finds no rule broken by racing edits', () => {
    [SMALL, FAULTY].forEach((options) => {
      const result = explore(createConfigurationCheck(options));
      expect(result.failure).to.equal(undefined);
      expect(result.isComplete).to.equal(true);
    });
  });

  it('finds two winners if the base version is not checked', () => {
    const result = explore(createConfigurationCheck({ ...SMALL, withoutBaseCheck: true }));
    expect(result.failure?.rule).to.equal('two edits from one base version were accepted');
  });
});
